"""Checks that the parts of a bundle fit together."""

from __future__ import annotations

import ipaddress
import itertools
import re
from collections.abc import Collection, Iterable, Iterator

from trefoilpitch.bundle._exceptions import Fault
from trefoilpitch.bundle._nodes import (
    ANY_VERSION,
    VERSION_SEPARATOR,
    Bundle,
    Model,
    Operation,
    Pool,
    RolloutPlan,
    Service,
    Task,
    Upstream,
    UpstreamKind,
    Workspace,
)

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
_MAX_VERSION = 2**53
_MAX_COST_NANO = 10**12
_MAX_CAPACITY = 100_000
_MAX_DEADLINE_MS = 86_400_000
_MAX_OUTPUT_TOKENS = 1_000_000
_MAX_WEIGHT = 10_000
_MAX_ANSWERS_PER_STEP = 10**9
_MAX_PORT = 65_535


def check_bundle(bundle: Bundle) -> tuple[Fault, ...]:
    """Returns every fault in how the parts of a bundle fit together."""
    return tuple(_Checker(bundle).run())


def _fault(place: str, message: str) -> Fault:
    return Fault(place=place, message=message)


def _check_range(
    place: str, value: float, low: float, high: float
) -> Iterator[Fault]:
    # The comparison is false for NaN, which is therefore out of range.
    if not low <= value <= high:
        yield _fault(place, f"{value} is not from {low} to {high}")


def _check_name(place: str, name: str) -> Iterator[Fault]:
    if not name:
        yield _fault(place, "is empty")
    elif not _NAME.fullmatch(name):
        yield _fault(
            place,
            f"{name!r} is not a name: up to 63 letters, digits, '.', '_' and "
            "'-', beginning with a letter or digit",
        )


def _check_unique(places: Iterable[tuple[str, str]]) -> Iterator[Fault]:
    """Yields a fault for each (place, value) whose value came before."""
    first: dict[str, str] = {}
    for place, value in places:
        if value and value in first:
            yield _fault(place, f"{value!r} stands already at {first[value]}")
        first.setdefault(value, place)


def _check_names(
    place: str, names: Iterable[str], *, attribute: str = ".name"
) -> Iterator[Fault]:
    places = [
        (f"{place}[{index}]{attribute}", name)
        for index, name in enumerate(names)
    ]
    for where, name in places:
        yield from _check_name(where, name)
    yield from _check_unique(places)


def _check_references(
    place: str, names: Iterable[str], known: Collection[str], what: str
) -> Iterator[Fault]:
    places = [(f"{place}[{index}]", name) for index, name in enumerate(names)]
    for where, name in places:
        if name not in known:
            yield _fault(where, f"no {what} is called {name!r}")
    yield from _check_unique(places)


def _check_address(place: str, address: str) -> Iterator[Fault]:
    host, _, port = address.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        valid = _is_ip(host[1:-1], version=6)
    else:
        valid = _is_ip(host, version=4)
    is_port = port.isascii() and port.isdigit() and len(port) <= 5
    if not (valid and is_port and 1 <= int(port) <= _MAX_PORT):
        yield _fault(
            place,
            f"{address!r} is not an IP number and a port, such as "
            "'127.0.0.1:9000' or '[::1]:9000'",
        )


def _is_ip(text: str, *, version: int) -> bool:
    try:
        return ipaddress.ip_address(text).version == version
    except ValueError:
        return False


class _Checker:
    """Walks one bundle; each method yields the faults of one kind of node."""

    def __init__(self, bundle: Bundle) -> None:
        self._bundle = bundle
        self._models = {model.name: model for model in bundle.models}
        self._pools = {pool.name: pool for pool in bundle.pools}
        self._tasks = {task.name: task for task in bundle.tasks}
        self._services = {service.name for service in bundle.services}
        self._failure_domains = frozenset(bundle.failure_domains)
        self._refs = {
            f"{model.name}{VERSION_SEPARATOR}{version.name}"
            for model in bundle.models
            for version in model.versions
        }
        self._any_refs = {
            f"{model.name}{VERSION_SEPARATOR}{ANY_VERSION}"
            for model in bundle.models
        }
        self._served = {
            ref
            for pool in bundle.pools
            if pool.kind is UpstreamKind.ENGINE and pool.upstreams
            for ref in pool.serves
        }

    def run(self) -> Iterator[Fault]:
        bundle = self._bundle
        yield from _check_name("name", bundle.name)
        yield from _check_range("version", bundle.version, 1, _MAX_VERSION)
        if not bundle.failure_domains:
            yield _fault("failure_domains", "is empty")
        yield from _check_names(
            "failure_domains", bundle.failure_domains, attribute=""
        )
        yield from self._check_models()
        yield from self._check_pools()
        yield from self._check_tasks()
        yield from self._check_services()
        yield from self._check_workspaces()
        yield from self._check_rollouts()

    def _check_models(self) -> Iterator[Fault]:
        models = self._bundle.models
        yield from _check_names("models", (model.name for model in models))
        for index, model in enumerate(models):
            yield from self._check_model(f"models[{index}]", model)

    def _check_model(self, place: str, model: Model) -> Iterator[Fault]:
        names = [version.name for version in model.versions]
        if not names:
            yield _fault(f"{place}.versions", "is empty")
        yield from _check_names(f"{place}.versions", names)
        for index, version in enumerate(model.versions):
            where = f"{place}.versions[{index}]"
            yield from _check_range(
                f"{where}.prompt_cost_nano",
                version.prompt_cost_nano,
                0,
                _MAX_COST_NANO,
            )
            yield from _check_range(
                f"{where}.output_cost_nano",
                version.output_cost_nano,
                0,
                _MAX_COST_NANO,
            )
            yield from _check_range(
                f"{where}.prior_quality", version.prior_quality, 0, 1
            )
        if model.default_version not in names:
            yield _fault(
                f"{place}.default_version",
                f"the model has no version {model.default_version!r}",
            )

    def _check_pools(self) -> Iterator[Fault]:
        pools = self._bundle.pools
        yield from _check_names("pools", (pool.name for pool in pools))
        upstreams = [
            (f"pools[{row}].upstreams[{column}]", upstream)
            for row, pool in enumerate(pools)
            for column, upstream in enumerate(pool.upstreams)
        ]
        yield from _check_unique(
            (f"{place}.name", upstream.name) for place, upstream in upstreams
        )
        yield from _check_unique(
            (f"{place}.address", upstream.address)
            for place, upstream in upstreams
        )
        for index, pool in enumerate(pools):
            yield from self._check_serves(f"pools[{index}].serves", pool)
        for place, upstream in upstreams:
            yield from self._check_upstream(place, upstream)

    def _check_serves(self, place: str, pool: Pool) -> Iterator[Fault]:
        if pool.kind is UpstreamKind.SERVICE and pool.serves:
            yield _fault(place, "a pool of services serves no model version")
        elif pool.kind is UpstreamKind.ENGINE and not pool.serves:
            yield _fault(place, "a pool of engines must serve a model version")
        else:
            yield from _check_references(
                place, pool.serves, self._refs, "model version"
            )

    def _check_upstream(
        self, place: str, upstream: Upstream
    ) -> Iterator[Fault]:
        yield from _check_name(f"{place}.name", upstream.name)
        yield from _check_address(f"{place}.address", upstream.address)
        if upstream.failure_domain not in self._failure_domains:
            yield _fault(
                f"{place}.failure_domain",
                f"no failure domain is called {upstream.failure_domain!r}",
            )
        yield from _check_range(
            f"{place}.capacity", upstream.capacity, 1, _MAX_CAPACITY
        )
        yield from _check_range(
            f"{place}.cold_capacity",
            upstream.cold_capacity,
            1,
            max(1, upstream.capacity),
        )

    def _check_tasks(self) -> Iterator[Fault]:
        tasks = self._bundle.tasks
        yield from _check_names("tasks", (task.name for task in tasks))
        for index, task in enumerate(tasks):
            yield from self._check_task(f"tasks[{index}]", task)

    def _check_task(self, place: str, task: Task) -> Iterator[Fault]:
        if not task.cascade:
            yield _fault(f"{place}.cascade", "is empty")
        yield from _check_references(
            f"{place}.cascade", task.cascade, self._models, "model"
        )
        for index, name in enumerate(task.cascade):
            yield from self._check_default_served(
                f"{place}.cascade[{index}]", name
            )
        yield from _check_range(
            f"{place}.quality_target", task.quality_target, 0, 1
        )
        if not 0.5 <= task.confidence < 1:
            yield _fault(
                f"{place}.confidence",
                f"{task.confidence} is not from 0.5 to below 1",
            )
        yield from _check_range(
            f"{place}.deadline_ms", task.deadline_ms, 1, _MAX_DEADLINE_MS
        )
        yield from _check_range(
            f"{place}.max_output_tokens",
            task.max_output_tokens,
            1,
            _MAX_OUTPUT_TOKENS,
        )

    def _check_default_served(self, place: str, name: str) -> Iterator[Fault]:
        model = self._models.get(name)
        if model is None:
            return
        ref = f"{name}{VERSION_SEPARATOR}{model.default_version}"
        if ref in self._refs and ref not in self._served:
            yield _fault(place, f"no pool with upstreams serves {ref!r}")

    def _check_services(self) -> Iterator[Fault]:
        services = self._bundle.services
        yield from _check_names(
            "services", (service.name for service in services)
        )
        for index, service in enumerate(services):
            yield from self._check_service(f"services[{index}]", service)

    def _check_service(self, place: str, service: Service) -> Iterator[Fault]:
        pool = self._pools.get(service.pool)
        if pool is None:
            yield _fault(f"{place}.pool", f"no pool is called {service.pool!r}")
        elif pool.kind is not UpstreamKind.SERVICE:
            yield _fault(
                f"{place}.pool", f"{service.pool!r} is a pool of engines"
            )
        if not service.operations:
            yield _fault(f"{place}.operations", "is empty")
        yield from _check_names(
            f"{place}.operations",
            (operation.name for operation in service.operations),
        )
        for index, operation in enumerate(service.operations):
            yield from _check_operation(
                f"{place}.operations[{index}]", operation
            )
        yield from _check_range(
            f"{place}.call_cost_nano",
            service.call_cost_nano,
            0,
            _MAX_COST_NANO,
        )

    def _check_workspaces(self) -> Iterator[Fault]:
        workspaces = self._bundle.workspaces
        yield from _check_names(
            "workspaces", (workspace.name for workspace in workspaces)
        )
        yield from _check_unique(
            (f"workspaces[{index}].token_sha256", workspace.token_sha256)
            for index, workspace in enumerate(workspaces)
        )
        for index, workspace in enumerate(workspaces):
            yield from self._check_workspace(f"workspaces[{index}]", workspace)

    def _check_workspace(
        self, place: str, workspace: Workspace
    ) -> Iterator[Fault]:
        if not _SHA256.fullmatch(workspace.token_sha256):
            yield _fault(
                f"{place}.token_sha256",
                "is not a SHA-256 in 64 lower-case hexadecimal digits",
            )
        yield from _check_references(
            f"{place}.allowed",
            workspace.allowed,
            self._refs | self._any_refs,
            "model version",
        )
        yield from _check_references(
            f"{place}.tasks", workspace.tasks, self._tasks, "task"
        )
        yield from _check_references(
            f"{place}.services", workspace.services, self._services, "service"
        )
        yield from _check_range(
            f"{place}.weight", workspace.weight, 1, _MAX_WEIGHT
        )
        yield from self._check_allowed_covers(place, workspace)

    def _check_allowed_covers(
        self, place: str, workspace: Workspace
    ) -> Iterator[Fault]:
        allowed_models = {
            ref.partition(VERSION_SEPARATOR)[0] for ref in workspace.allowed
        }
        for index, name in enumerate(workspace.tasks):
            task = self._tasks.get(name)
            if task is None or not allowed_models.isdisjoint(task.cascade):
                continue
            yield _fault(
                f"{place}.tasks[{index}]",
                f"the workspace is allowed no model of task {name!r}",
            )

    def _check_rollouts(self) -> Iterator[Fault]:
        rollouts = self._bundle.rollouts
        yield from _check_unique(
            (
                f"rollouts[{index}]",
                f"{plan.model}{VERSION_SEPARATOR}{plan.to_version}",
            )
            for index, plan in enumerate(rollouts)
        )
        for index, plan in enumerate(rollouts):
            yield from self._check_rollout(f"rollouts[{index}]", plan)

    def _check_rollout(self, place: str, plan: RolloutPlan) -> Iterator[Fault]:
        yield from self._check_rollout_target(place, plan)
        steps = plan.steps_percent
        ascending = all(low < high for low, high in itertools.pairwise(steps))
        if not steps or not ascending or steps[0] < 1 or steps[-1] != 100:
            yield _fault(
                f"{place}.steps_percent",
                f"{list(steps)} does not ascend from at least 1 to 100",
            )
        yield from _check_range(
            f"{place}.answers_per_step",
            plan.answers_per_step,
            1,
            _MAX_ANSWERS_PER_STEP,
        )
        yield from _check_range(f"{place}.tolerance", plan.tolerance, 0, 1)

    def _check_rollout_target(
        self, place: str, plan: RolloutPlan
    ) -> Iterator[Fault]:
        model = self._models.get(plan.model)
        ref = f"{plan.model}{VERSION_SEPARATOR}{plan.to_version}"
        if model is None:
            yield _fault(f"{place}.model", f"no model is called {plan.model!r}")
        elif ref not in self._refs:
            yield _fault(
                f"{place}.to_version",
                f"the model has no version {plan.to_version!r}",
            )
        elif plan.to_version == model.default_version:
            yield _fault(
                f"{place}.to_version",
                f"{plan.to_version!r} is the default version already",
            )
        elif ref not in self._served:
            yield _fault(
                f"{place}.to_version",
                f"no pool with upstreams serves {ref!r}",
            )


def _check_operation(place: str, operation: Operation) -> Iterator[Fault]:
    if operation.method not in _METHODS:
        yield _fault(
            f"{place}.method",
            f"{operation.method!r} is not one of {', '.join(sorted(_METHODS))}",
        )
    yield from _check_range(
        f"{place}.deadline_ms", operation.deadline_ms, 1, _MAX_DEADLINE_MS
    )

"""Validation of models, pools, tasks and services."""

from __future__ import annotations

from collections.abc import Iterator

from trefoilpitch.bundle._exceptions import Fault
from trefoilpitch.bundle._known_names import KnownNames
from trefoilpitch.bundle._rules import (
    check_address,
    check_name,
    check_names,
    check_range,
    check_references,
    check_unique,
    fault,
)
from trefoilpitch.bundle._schema import (
    VERSION_SEPARATOR,
    Bundle,
    Model,
    Operation,
    Pool,
    Service,
    Task,
    Upstream,
    UpstreamKind,
)

_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
_MAX_COST_NANO = 10**12
_MAX_CAPACITY = 100_000
_MAX_DEADLINE_MS = 86_400_000
_MAX_OUTPUT_TOKENS = 1_000_000


def check_models(bundle: Bundle) -> Iterator[Fault]:
    """Yields the faults of models and their versions."""
    models = bundle.models
    yield from check_names("models", (model.name for model in models))
    for index, model in enumerate(models):
        yield from _check_model(f"models[{index}]", model)


def _check_model(place: str, model: Model) -> Iterator[Fault]:
    names = [version.name for version in model.versions]
    if not names:
        yield fault(f"{place}.versions", "is empty")
    yield from check_names(f"{place}.versions", names)
    for index, version in enumerate(model.versions):
        item_place = f"{place}.versions[{index}]"
        yield from check_range(
            f"{item_place}.prompt_cost_nano",
            version.prompt_cost_nano,
            0,
            _MAX_COST_NANO,
        )
        yield from check_range(
            f"{item_place}.output_cost_nano",
            version.output_cost_nano,
            0,
            _MAX_COST_NANO,
        )
        yield from check_range(
            f"{item_place}.prior_quality", version.prior_quality, 0, 1
        )
    if model.default_version not in names:
        yield fault(
            f"{place}.default_version",
            f"the model has no version {model.default_version!r}",
        )


def check_pools(bundle: Bundle, known: KnownNames) -> Iterator[Fault]:
    """Yields the faults of pools and their upstreams."""
    pools = bundle.pools
    yield from check_names("pools", (pool.name for pool in pools))
    upstreams = [
        (f"pools[{row}].upstreams[{column}]", upstream)
        for row, pool in enumerate(pools)
        for column, upstream in enumerate(pool.upstreams)
    ]
    yield from check_unique(
        (f"{place}.name", upstream.name) for place, upstream in upstreams
    )
    yield from check_unique(
        (f"{place}.address", upstream.address) for place, upstream in upstreams
    )
    for index, pool in enumerate(pools):
        yield from _check_serves(known, f"pools[{index}].serves", pool)
    for place, upstream in upstreams:
        yield from _check_upstream(known, place, upstream)


def _check_serves(known: KnownNames, place: str, pool: Pool) -> Iterator[Fault]:
    if pool.kind is UpstreamKind.SERVICE and pool.serves:
        yield fault(place, "a pool of services must not list model versions")
    elif pool.kind is UpstreamKind.ENGINE and not pool.serves:
        yield fault(place, "a pool of engines must list a model version")
    else:
        yield from check_references(
            place, pool.serves, known.versions, "model version"
        )


def _check_upstream(
    known: KnownNames, place: str, upstream: Upstream
) -> Iterator[Fault]:
    yield from check_name(f"{place}.name", upstream.name)
    yield from check_address(f"{place}.address", upstream.address)
    if upstream.failure_domain not in known.failure_domains:
        yield fault(
            f"{place}.failure_domain",
            f"unknown failure domain {upstream.failure_domain!r}",
        )
    yield from check_range(
        f"{place}.capacity", upstream.capacity, 1, _MAX_CAPACITY
    )
    yield from check_range(
        f"{place}.cold_capacity",
        upstream.cold_capacity,
        1,
        max(1, upstream.capacity),
    )


def check_tasks(bundle: Bundle, known: KnownNames) -> Iterator[Fault]:
    """Yields the faults of tasks."""
    tasks = bundle.tasks
    yield from check_names("tasks", (task.name for task in tasks))
    for index, task in enumerate(tasks):
        yield from _check_task(known, f"tasks[{index}]", task)


def _check_task(known: KnownNames, place: str, task: Task) -> Iterator[Fault]:
    if not task.cascade:
        yield fault(f"{place}.cascade", "is empty")
    yield from check_references(
        f"{place}.cascade", task.cascade, known.models, "model"
    )
    for index, name in enumerate(task.cascade):
        yield from _check_default_served(
            known, f"{place}.cascade[{index}]", name
        )
    yield from check_range(f"{place}.quality_target", task.quality_target, 0, 1)
    if not 0.5 <= task.confidence < 1:
        yield fault(
            f"{place}.confidence",
            f"{task.confidence} is not from 0.5 to below 1",
        )
    yield from check_range(
        f"{place}.deadline_ms", task.deadline_ms, 1, _MAX_DEADLINE_MS
    )
    yield from check_range(
        f"{place}.max_output_tokens",
        task.max_output_tokens,
        1,
        _MAX_OUTPUT_TOKENS,
    )


def _check_default_served(
    known: KnownNames, place: str, name: str
) -> Iterator[Fault]:
    model = known.models.get(name)
    if model is None:
        return
    ref = f"{name}{VERSION_SEPARATOR}{model.default_version}"
    if ref in known.versions and ref not in known.served:
        yield fault(place, f"no pool with upstreams serves {ref!r}")


def check_services(bundle: Bundle, known: KnownNames) -> Iterator[Fault]:
    """Yields the faults of services and their operations."""
    services = bundle.services
    yield from check_names("services", (service.name for service in services))
    for index, service in enumerate(services):
        yield from _check_service(known, f"services[{index}]", service)


def _check_service(
    known: KnownNames, place: str, service: Service
) -> Iterator[Fault]:
    pool = known.pools.get(service.pool)
    if pool is None:
        yield fault(f"{place}.pool", f"unknown pool {service.pool!r}")
    elif pool.kind is not UpstreamKind.SERVICE:
        yield fault(f"{place}.pool", f"{service.pool!r} is a pool of engines")
    if not service.operations:
        yield fault(f"{place}.operations", "is empty")
    yield from check_names(
        f"{place}.operations",
        (operation.name for operation in service.operations),
    )
    for index, operation in enumerate(service.operations):
        yield from _check_operation(f"{place}.operations[{index}]", operation)
    yield from check_range(
        f"{place}.call_cost_nano",
        service.call_cost_nano,
        0,
        _MAX_COST_NANO,
    )


def _check_operation(place: str, operation: Operation) -> Iterator[Fault]:
    if operation.method not in _METHODS:
        yield fault(
            f"{place}.method",
            f"{operation.method!r} is not one of {', '.join(sorted(_METHODS))}",
        )
    yield from check_range(
        f"{place}.deadline_ms", operation.deadline_ms, 1, _MAX_DEADLINE_MS
    )

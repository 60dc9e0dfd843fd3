"""Validation of workspaces and roll-out plans."""

from __future__ import annotations

import itertools
import re
from collections.abc import Iterator

from trefoilpitch.bundle._exceptions import Fault
from trefoilpitch.bundle._known_names import KnownNames
from trefoilpitch.bundle._rules import (
    check_names,
    check_range,
    check_references,
    check_unique,
    fault,
)
from trefoilpitch.bundle._schema import (
    ANY_VERSION,
    VERSION_SEPARATOR,
    Bundle,
    RolloutPlan,
    Workspace,
)

_SHA256 = re.compile(r"[0-9a-f]{64}")
_MAX_WEIGHT = 10_000
_MAX_ANSWERS_PER_STEP = 10**9


def check_workspaces(bundle: Bundle, known: KnownNames) -> Iterator[Fault]:
    """Yields the faults of workspaces."""
    workspaces = bundle.workspaces
    yield from check_names(
        "workspaces", (workspace.name for workspace in workspaces)
    )
    yield from check_unique(
        (f"workspaces[{index}].token_sha256", workspace.token_sha256)
        for index, workspace in enumerate(workspaces)
    )
    for index, workspace in enumerate(workspaces):
        yield from _check_workspace(known, f"workspaces[{index}]", workspace)


def _check_workspace(
    known: KnownNames, place: str, workspace: Workspace
) -> Iterator[Fault]:
    if not _SHA256.fullmatch(workspace.token_sha256):
        yield fault(
            f"{place}.token_sha256",
            "is not a SHA-256 in 64 lower-case hexadecimal digits",
        )
    yield from check_references(
        f"{place}.allowed",
        workspace.allowed,
        known.versions | known.any_versions,
        "model version",
    )
    yield from check_references(
        f"{place}.tasks", workspace.tasks, known.tasks, "task"
    )
    yield from check_references(
        f"{place}.services", workspace.services, known.services, "service"
    )
    yield from check_range(f"{place}.weight", workspace.weight, 1, _MAX_WEIGHT)
    yield from _check_allowed_covers(known, place, workspace)


def _check_allowed_covers(
    known: KnownNames, place: str, workspace: Workspace
) -> Iterator[Fault]:
    served = _served_models(known, workspace)
    for index, name in enumerate(workspace.tasks):
        task = known.tasks.get(name)
        if task is None or not served.isdisjoint(task.cascade):
            continue
        yield fault(
            f"{place}.tasks[{index}]",
            f"no pool serves an allowed version of a model of task {name!r}",
        )


def _served_models(known: KnownNames, workspace: Workspace) -> set[str]:
    """Returns the models with an allowed version that some pool serves."""
    allowed = set(workspace.allowed)
    models: set[str] = set()
    for ref in known.served:
        model = ref.partition(VERSION_SEPARATOR)[0]
        any_version = f"{model}{VERSION_SEPARATOR}{ANY_VERSION}"
        if ref in allowed or any_version in allowed:
            models.add(model)
    return models


def check_rollouts(bundle: Bundle, known: KnownNames) -> Iterator[Fault]:
    """Yields the faults of roll-out plans."""
    rollouts = bundle.rollouts
    yield from check_unique(
        (
            f"rollouts[{index}]",
            f"{plan.model}{VERSION_SEPARATOR}{plan.to_version}",
        )
        for index, plan in enumerate(rollouts)
    )
    for index, plan in enumerate(rollouts):
        yield from _check_rollout(known, f"rollouts[{index}]", plan)


def _check_rollout(
    known: KnownNames, place: str, plan: RolloutPlan
) -> Iterator[Fault]:
    yield from _check_rollout_target(known, place, plan)
    steps = plan.steps_percent
    ascending = all(low < high for low, high in itertools.pairwise(steps))
    if not steps or not ascending or steps[0] < 1 or steps[-1] != 100:
        yield fault(
            f"{place}.steps_percent",
            f"{list(steps)} does not ascend from at least 1 to 100",
        )
    yield from check_range(
        f"{place}.answers_per_step",
        plan.answers_per_step,
        1,
        _MAX_ANSWERS_PER_STEP,
    )
    yield from check_range(f"{place}.tolerance", plan.tolerance, 0, 1)


def _check_rollout_target(
    known: KnownNames, place: str, plan: RolloutPlan
) -> Iterator[Fault]:
    model = known.models.get(plan.model)
    ref = f"{plan.model}{VERSION_SEPARATOR}{plan.to_version}"
    if model is None:
        yield fault(f"{place}.model", f"unknown model {plan.model!r}")
    elif ref not in known.versions:
        yield fault(
            f"{place}.to_version",
            f"the model has no version {plan.to_version!r}",
        )
    elif plan.to_version == model.default_version:
        yield fault(
            f"{place}.to_version",
            f"{plan.to_version!r} is already the default version",
        )
    elif ref not in known.served:
        yield fault(
            f"{place}.to_version",
            f"no pool with upstreams serves {ref!r}",
        )

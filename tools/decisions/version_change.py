"""Cost and quality right after the cheap version changes or turns bad."""

from __future__ import annotations

import dataclasses
import random

from tools.decisions import workload
from tools.decisions.cascade import ClairvoyantRule, LearntRule, Served
from tools.decisions.workload import Deployment, Prompt
from trefoilpitch.bundle import VersionRef
from trefoilpitch.cascade import CascadePolicy

_BEFORE = 60_000
_AFTER = 30_000
_SOON = 10_000
_WORSE_REACH = 0.4
_NEXT = VersionRef(workload.CHEAP.model, "2")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeFigures:
    """What a change of the cheap version did to the cascade."""

    # The deployment.
    deployment: str
    # What changed.
    change: str
    # Cost over the clairvoyant bound's, of the last requests before it.
    before_ratio: float
    # The same of the first 10,000 requests after it.
    soon_ratio: float
    # The same of the 20,000 requests after those.
    later_ratio: float
    # Mean quality over the target, of the first 10,000 requests after it.
    soon_surplus: float
    # The same of the 20,000 requests after those.
    later_surplus: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A change of the cheap version."""

    # Its name in the table.
    name: str
    # The version that answers after it.
    version: VersionRef
    # Whether its answers are worse.
    worse: bool


CHANGES = (
    Change(name="new version, alike", version=_NEXT, worse=False),
    Change(name="new version, worse", version=_NEXT, worse=True),
    Change(name="same version, worse", version=workload.CHEAP, worse=True),
)


def measure(seed: int) -> list[ChangeFigures]:
    """Changes the cheap version of each deployment in each way."""
    return [
        _run(seed, deployment, change)
        for deployment in workload.DEPLOYMENTS
        for change in CHANGES
    ]


def _run(seed: int, deployment: Deployment, change: Change) -> ChangeFigures:
    rng = random.Random(f"{seed}/{deployment.name}")
    before = [deployment.prompt(rng) for _ in range(_BEFORE)]
    worse = _worse(deployment) if change.worse else deployment
    after = [worse.prompt(rng) for _ in range(_AFTER)]
    learner = random.Random(f"{seed}/{deployment.name}/learner")
    rule = LearntRule(CascadePolicy("measured"), learner)
    served = [rule.serve(prompt) for prompt in before]
    rule.cheap = change.version
    served += [rule.serve(prompt) for prompt in after]
    bound = [*_bound(before), *_bound(after)]
    prompts = [*before, *after]
    last = slice(_BEFORE - _SOON, _BEFORE)
    soon = slice(_BEFORE, _BEFORE + _SOON)
    later = slice(_BEFORE + _SOON, _BEFORE + _AFTER)
    return ChangeFigures(
        deployment=deployment.name,
        change=change.name,
        before_ratio=_ratio(served[last], bound[last]),
        soon_ratio=_ratio(served[soon], bound[soon]),
        later_ratio=_ratio(served[later], bound[later]),
        soon_surplus=_surplus(served[soon], prompts[soon]),
        later_surplus=_surplus(served[later], prompts[later]),
    )


def _worse(deployment: Deployment) -> Deployment:
    tasks = tuple(
        dataclasses.replace(
            task, reach=(task.reach[0] - _WORSE_REACH, task.reach[1])
        )
        for task in deployment.tasks
    )
    return dataclasses.replace(deployment, tasks=tasks)


def _bound(prompts: list[Prompt]) -> list[Served]:
    rule = ClairvoyantRule(prompts)
    return [rule.serve(prompt) for prompt in prompts]


def _ratio(served: list[Served], bound: list[Served]) -> float:
    cost = sum(one.cost for one in served)
    return round(cost / sum(one.cost for one in bound), 3)


def _surplus(served: list[Served], prompts: list[Prompt]) -> float:
    pairs = zip(served, prompts, strict=True)
    total = sum(one.quality - prompt.task.target for one, prompt in pairs)
    return round(total / len(prompts), 4)

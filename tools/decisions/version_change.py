"""Cost and quality right after the cheap version changes or degrades."""

from __future__ import annotations

import dataclasses
import random

from tools.decisions import workload
from tools.decisions.cascade import ClairvoyantRule, LearnedRule, ServedRequest
from tools.decisions.workload import Deployment, Prompt
from trefoilpitch.bundle import VersionRef
from trefoilpitch.cascade import CascadePolicy

_REQUESTS_BEFORE = 60_000
_REQUESTS_AFTER = 30_000
_SOON_REQUESTS = 10_000
_REACH_DECREASE = 0.4
_NEXT_VERSION = VersionRef(workload.CHEAP.model, "2")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeFigures:
    """Effect of a change of the cheap version on the cascade."""

    deployment: str
    # Label of the change.
    change: str
    # Cost divided by that of the clairvoyant bound, for the last 10,000
    # requests before the change.
    before_ratio: float
    # The same for the first 10,000 requests after the change.
    soon_ratio: float
    # The same for the next 20,000 requests.
    later_ratio: float
    # Mean quality minus target, for the first 10,000 requests after the change.
    soon_surplus: float
    # The same for the next 20,000 requests.
    later_surplus: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A change of the cheap version."""

    # Label in the table.
    name: str
    # The cheap version after the change.
    version: VersionRef
    # Whether the quality of its responses is lower.
    degraded: bool


CHANGES = (
    Change(name="new version, alike", version=_NEXT_VERSION, degraded=False),
    Change(name="new version, worse", version=_NEXT_VERSION, degraded=True),
    Change(name="same version, worse", version=workload.CHEAP, degraded=True),
)


def measure(seed: int) -> list[ChangeFigures]:
    """Simulates each change on each deployment."""
    return [
        _run(seed, deployment, change)
        for deployment in workload.DEPLOYMENTS
        for change in CHANGES
    ]


def _run(seed: int, deployment: Deployment, change: Change) -> ChangeFigures:
    rng = random.Random(f"{seed}/{deployment.name}")
    before = [deployment.prompt(rng) for _ in range(_REQUESTS_BEFORE)]
    degraded = _degrade(deployment) if change.degraded else deployment
    after = [degraded.prompt(rng) for _ in range(_REQUESTS_AFTER)]
    policy_rng = random.Random(f"{seed}/{deployment.name}/learner")
    rule = LearnedRule(CascadePolicy("measured"), policy_rng)
    served = [rule.serve(prompt) for prompt in before]
    rule.cheap = change.version
    served += [rule.serve(prompt) for prompt in after]
    bound = [*_bound(before), *_bound(after)]
    prompts = [*before, *after]
    last = slice(_REQUESTS_BEFORE - _SOON_REQUESTS, _REQUESTS_BEFORE)
    soon = slice(_REQUESTS_BEFORE, _REQUESTS_BEFORE + _SOON_REQUESTS)
    later = slice(
        _REQUESTS_BEFORE + _SOON_REQUESTS, _REQUESTS_BEFORE + _REQUESTS_AFTER
    )
    return ChangeFigures(
        deployment=deployment.name,
        change=change.name,
        before_ratio=_ratio(served[last], bound[last]),
        soon_ratio=_ratio(served[soon], bound[soon]),
        later_ratio=_ratio(served[later], bound[later]),
        soon_surplus=_surplus(served[soon], prompts[soon]),
        later_surplus=_surplus(served[later], prompts[later]),
    )


def _degrade(deployment: Deployment) -> Deployment:
    tasks = tuple(
        dataclasses.replace(
            task, reach=(task.reach[0] - _REACH_DECREASE, task.reach[1])
        )
        for task in deployment.tasks
    )
    return dataclasses.replace(deployment, tasks=tasks)


def _bound(prompts: list[Prompt]) -> list[ServedRequest]:
    rule = ClairvoyantRule(prompts)
    return [rule.serve(prompt) for prompt in prompts]


def _ratio(served: list[ServedRequest], bound: list[ServedRequest]) -> float:
    cost = sum(one.cost for one in served)
    return round(cost / sum(one.cost for one in bound), 3)


def _surplus(served: list[ServedRequest], prompts: list[Prompt]) -> float:
    pairs = zip(served, prompts, strict=True)
    total = sum(one.quality - prompt.task.target for one, prompt in pairs)
    return round(total / len(prompts), 4)

"""Cost of the cascade policy, against fixed rules and a clairvoyant bound."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import math
import random
import statistics
from typing import Protocol, TypeAlias

from tools.decisions import workload
from tools.decisions.bound import (
    EXPENSIVE_ONLY,
    cheapest_mixture,
    group_by_cell,
)
from tools.decisions.workload import Prompt, TaskProfile
from trefoilpitch.bundle import VersionRef
from trefoilpitch.cascade import (
    Candidate,
    CascadePolicy,
    Finish,
    Rating,
    Target,
    Verdict,
)

CONFIDENCE = 0.9
REQUESTS = 240_000
_RATING_SHARE = 0.1
_LOST_RATING_SHARE = 0.2
_MAX_RATING_DELAY = 2_000
_REQUESTS_PER_EPOCH = 3_600
# A workspace and task misses its target if its mean quality is lower by more
# than this number of standard errors.
_MISS_STANDARD_ERRORS = 2.0

_Cell: TypeAlias = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class ServedRequest:
    """Cost and quality of one served request."""

    # Cost of all its runs.
    cost: float
    # Probability that the delivered response is good, from 0 to 1.
    quality: float


class Rule(Protocol):
    """Chooses the versions that serve a request."""

    def serve(self, prompt: Prompt) -> ServedRequest:
        """Serves a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class ThresholdRule:
    """Tries the cheap version first, with a fixed acceptance threshold."""

    # Lowest signal at which the cheap response is delivered; above 1 only the
    # expensive version is used.
    threshold: float

    def serve(self, prompt: Prompt) -> ServedRequest:
        """Serves a request."""
        return _serve_at(prompt, self.threshold)


class ClairvoyantRule:
    """The cheapest mixture for each workspace and task, chosen in hindsight."""

    def __init__(self, prompts: list[Prompt]) -> None:
        self._mixtures = {
            cell: cheapest_mixture(group)
            for cell, group in group_by_cell(prompts).items()
        }

    def serve(self, prompt: Prompt) -> ServedRequest:
        """Serves a request at the expected cost and quality of its mixture."""
        mixture = self._mixtures[prompt.workspace, prompt.task.name]
        first, second = (_serve_at(prompt, at) for at in mixture.thresholds)
        rest = 1.0 - mixture.share
        return ServedRequest(
            mixture.share * first.cost + rest * second.cost,
            mixture.share * first.quality + rest * second.quality,
        )


class LearnedRule:
    """The cascade policy with sampled ratings, some of them late or lost."""

    def __init__(self, policy: CascadePolicy, rng: random.Random) -> None:
        self.cheap = workload.CHEAP
        self._policy = policy
        self._rng = rng
        self._now = 0
        self._ratings: list[tuple[int, int, Rating]] = []

    def serve(self, prompt: Prompt) -> ServedRequest:
        """Serves a request, after the policy has observed all due ratings."""
        self._advance()
        task = prompt.task
        target = Target(quality=task.target, confidence=CONFIDENCE)
        plan = self._policy.plan(
            prompt.workspace,
            task.name,
            _candidates(task, self.cheap),
            target,
            self._rng,
        )
        cost = 0.0
        first_signal = 0.0
        for index, step in enumerate(plan.steps):
            expensive = int(step.version == workload.EXPENSIVE)
            cost += task.costs[expensive]
            if index == 0:
                first_signal = prompt.signals[expensive]
            finish = Finish(signal=prompt.signals[expensive], cost_nano=0)
            if self._policy.judge(plan, index, finish) is Verdict.ACCEPT:
                label = self._policy.label(plan, index, first_signal)
                good = self._rng.random() < prompt.chances[expensive]
                self._sample_rating(Rating(label=label, good=good))
                return ServedRequest(cost, prompt.chances[expensive])
        raise AssertionError("the last step of a plan must accept the response")

    def _sample_rating(self, rating: Rating) -> None:
        if self._rng.random() < _RATING_SHARE * (1.0 - _LOST_RATING_SHARE):
            due = self._now + self._rng.randint(1, _MAX_RATING_DELAY)
            heapq.heappush(self._ratings, (due, self._now, rating))

    def _advance(self) -> None:
        self._now += 1
        while self._ratings and self._ratings[0][0] <= self._now:
            self._policy.observe(heapq.heappop(self._ratings)[2])
        if self._now % _REQUESTS_PER_EPOCH == 0:
            self._policy.advance_epoch(self._now // _REQUESTS_PER_EPOCH)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CascadeFigures:
    """Cost and quality of one rule on one deployment."""

    deployment: str
    rule: str
    # Mean cost of a request over the whole run.
    cost: float
    # Cost of the whole run divided by that of the clairvoyant bound.
    cost_ratio: float
    # The same for the first quarter of the run.
    early_cost_ratio: float
    # The same for the second half of the run.
    late_cost_ratio: float
    # Share of requests, from 0 to 1, whose workspace and task misses the target
    # by more than its sampling error.
    missed: float
    # The same for the second half of the run.
    late_missed: float


def measure(seed: int, requests: int = REQUESTS) -> list[CascadeFigures]:
    """Runs every rule over the same requests of each deployment."""
    figures = []
    for deployment in workload.DEPLOYMENTS:
        rng = random.Random(f"{seed}/{deployment.name}")
        prompts = [deployment.prompt(rng) for _ in range(requests)]
        policy_rng = random.Random(f"{seed}/{deployment.name}/learner")
        rules: dict[str, Rule] = {
            "clairvoyant": ClairvoyantRule(prompts),
            "learnt": LearnedRule(CascadePolicy("measured"), policy_rng),
            "always dear": ThresholdRule(EXPENSIVE_ONLY),
            "always cheap first (0.5)": ThresholdRule(0.5),
            "fixed threshold (0.8)": ThresholdRule(0.8),
        }
        served = {
            name: [rule.serve(prompt) for prompt in prompts]
            for name, rule in rules.items()
        }
        bound = served["clairvoyant"]
        for name, served_requests in served.items():
            figures.append(
                _figures(deployment.name, name, prompts, served_requests, bound)
            )
    return figures


def _figures(
    deployment: str,
    rule: str,
    prompts: list[Prompt],
    served_requests: list[ServedRequest],
    bound: list[ServedRequest],
) -> CascadeFigures:
    half = len(served_requests) // 2
    cost = _mean_cost(served_requests)
    quarter = len(served_requests) // 4
    early = _mean_cost(served_requests[:quarter]) / _mean_cost(bound[:quarter])
    late = _mean_cost(served_requests[half:]) / _mean_cost(bound[half:])
    return CascadeFigures(
        deployment=deployment,
        rule=rule,
        cost=round(cost, 3),
        cost_ratio=round(cost / _mean_cost(bound), 3),
        early_cost_ratio=round(early, 3),
        late_cost_ratio=round(late, 3),
        missed=round(_missed(prompts, served_requests), 3),
        late_missed=round(_missed(prompts[half:], served_requests[half:]), 3),
    )


def _mean_cost(served_requests: list[ServedRequest]) -> float:
    return sum(one.cost for one in served_requests) / len(served_requests)


def _missed(
    prompts: list[Prompt], served_requests: list[ServedRequest]
) -> float:
    values: dict[_Cell, list[float]] = collections.defaultdict(list)
    targets: dict[_Cell, float] = {}
    for prompt, result in zip(prompts, served_requests, strict=True):
        cell = (prompt.workspace, prompt.task.name)
        values[cell].append(result.quality)
        targets[cell] = prompt.task.target
    missed = sum(
        len(group)
        for cell, group in values.items()
        if _misses_target(group, targets[cell])
    )
    return missed / len(prompts)


def _misses_target(values: list[float], target: float) -> bool:
    error = statistics.pstdev(values) / math.sqrt(len(values))
    return statistics.fmean(values) + _MISS_STANDARD_ERRORS * error < target


def _serve_at(prompt: Prompt, threshold: float) -> ServedRequest:
    cheap, expensive = prompt.task.costs
    if threshold > 1.0:
        return ServedRequest(expensive, prompt.chances[1])
    if prompt.signals[0] >= threshold:
        return ServedRequest(cheap, prompt.chances[0])
    return ServedRequest(cheap + expensive, prompt.chances[1])


def _candidates(task: TaskProfile, cheap: VersionRef) -> tuple[Candidate, ...]:
    return (
        Candidate(
            version=cheap,
            cost_nano=task.costs[0],
            prior_quality=0.6,
        ),
        Candidate(
            version=workload.EXPENSIVE,
            cost_nano=task.costs[1],
            prior_quality=0.9,
        ),
    )

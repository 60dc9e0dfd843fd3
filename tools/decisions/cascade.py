"""Cost at the quality target, against fixed rules and a clairvoyant bound."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import math
import random
import statistics
from typing import Protocol, TypeAlias

from tools.decisions import workload
from tools.decisions.bound import DEAR_ONLY, cells, cheapest_mixture
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
_RATED_SHARE = 0.1
_LOST_SHARE = 0.2
_MAX_DELAY = 2_000
_REQUESTS_PER_EPOCH = 3_600
# Standard errors by which a cell must fall short to count as missed.
_MISS_ERRORS = 2.0

_Cell: TypeAlias = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """What one request cost and how good its answer is."""

    # Cost of all its runs.
    cost: float
    # Chance that the delivered answer is good, from 0 to 1.
    quality: float


class Rule(Protocol):
    """A way to answer requests."""

    def serve(self, prompt: Prompt) -> Served:
        """Answers a request."""


@dataclasses.dataclass(frozen=True, slots=True)
class ThresholdRule:
    """Cheap first, delivered from a fixed signal on; above 1 is dear only."""

    # Least signal that is delivered.
    threshold: float

    def serve(self, prompt: Prompt) -> Served:
        """Answers a request."""
        return _serve_at(prompt, self.threshold)


class ClairvoyantRule:
    """The cheapest rule for each workspace and task, knowing the truth."""

    def __init__(self, prompts: list[Prompt]) -> None:
        self._mixtures = {
            cell: cheapest_mixture(group)
            for cell, group in cells(prompts).items()
        }

    def serve(self, prompt: Prompt) -> Served:
        """Answers a request at the expected cost and quality of a mixture."""
        mixture = self._mixtures[prompt.workspace, prompt.task.name]
        first, second = (_serve_at(prompt, at) for at in mixture.thresholds)
        rest = 1.0 - mixture.share
        return Served(
            mixture.share * first.cost + rest * second.cost,
            mixture.share * first.quality + rest * second.quality,
        )


class LearntRule:
    """The cascade policy, fed with sampled, late and lost ratings."""

    def __init__(self, policy: CascadePolicy, rng: random.Random) -> None:
        self.cheap = workload.CHEAP
        self._policy = policy
        self._rng = rng
        self._now = 0
        self._ratings: list[tuple[int, int, Rating]] = []

    def serve(self, prompt: Prompt) -> Served:
        """Answers a request and takes in the ratings that are due."""
        self._tick()
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
            dear = int(step.version == workload.DEAR)
            cost += task.costs[dear]
            if index == 0:
                first_signal = prompt.signals[dear]
            finish = Finish(signal=prompt.signals[dear], cost_nano=0)
            if self._policy.judge(plan, index, finish) is Verdict.ACCEPT:
                label = self._policy.label(plan, index, first_signal)
                good = self._rng.random() < prompt.chances[dear]
                self._sample(Rating(label=label, good=good))
                return Served(cost, prompt.chances[dear])
        raise AssertionError("the last step delivers every answer")

    def _sample(self, rating: Rating) -> None:
        if self._rng.random() < _RATED_SHARE * (1.0 - _LOST_SHARE):
            due = self._now + self._rng.randint(1, _MAX_DELAY)
            heapq.heappush(self._ratings, (due, self._now, rating))

    def _tick(self) -> None:
        self._now += 1
        while self._ratings and self._ratings[0][0] <= self._now:
            self._policy.observe(heapq.heappop(self._ratings)[2])
        if self._now % _REQUESTS_PER_EPOCH == 0:
            self._policy.advance_epoch(self._now // _REQUESTS_PER_EPOCH)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CascadeFigures:
    """What a rule cost and how good its answers were."""

    # The deployment.
    deployment: str
    # The rule.
    rule: str
    # Mean cost of an answer over the whole run.
    cost: float
    # Cost of the whole run over the clairvoyant bound's.
    cost_ratio: float
    # Cost of the first quarter of the run over the clairvoyant bound's.
    early_cost_ratio: float
    # Cost of the second half of the run over the clairvoyant bound's.
    late_cost_ratio: float
    # Share of traffic in workspaces and tasks that miss the target by more
    # than their sampling error.
    missed: float
    # The same for the second half of the run.
    late_missed: float


def measure(seed: int, requests: int = REQUESTS) -> list[CascadeFigures]:
    """Runs every rule over the same requests of each deployment."""
    figures = []
    for deployment in workload.DEPLOYMENTS:
        rng = random.Random(f"{seed}/{deployment.name}")
        prompts = [deployment.prompt(rng) for _ in range(requests)]
        learner = random.Random(f"{seed}/{deployment.name}/learner")
        rules: dict[str, Rule] = {
            "clairvoyant": ClairvoyantRule(prompts),
            "learnt": LearntRule(CascadePolicy("measured"), learner),
            "always dear": ThresholdRule(DEAR_ONLY),
            "always cheap first (0.5)": ThresholdRule(0.5),
            "fixed threshold (0.8)": ThresholdRule(0.8),
        }
        served = {
            name: [rule.serve(prompt) for prompt in prompts]
            for name, rule in rules.items()
        }
        bound = served["clairvoyant"]
        for name, answers in served.items():
            figures.append(
                _figures(deployment.name, name, prompts, answers, bound)
            )
    return figures


def _figures(
    deployment: str,
    rule: str,
    prompts: list[Prompt],
    answers: list[Served],
    bound: list[Served],
) -> CascadeFigures:
    half = len(answers) // 2
    cost = _mean_cost(answers)
    quarter = len(answers) // 4
    early = _mean_cost(answers[:quarter]) / _mean_cost(bound[:quarter])
    late = _mean_cost(answers[half:]) / _mean_cost(bound[half:])
    return CascadeFigures(
        deployment=deployment,
        rule=rule,
        cost=round(cost, 3),
        cost_ratio=round(cost / _mean_cost(bound), 3),
        early_cost_ratio=round(early, 3),
        late_cost_ratio=round(late, 3),
        missed=round(_missed(prompts, answers), 3),
        late_missed=round(_missed(prompts[half:], answers[half:]), 3),
    )


def _mean_cost(answers: list[Served]) -> float:
    return sum(one.cost for one in answers) / len(answers)


def _missed(prompts: list[Prompt], answers: list[Served]) -> float:
    values: dict[_Cell, list[float]] = collections.defaultdict(list)
    targets: dict[_Cell, float] = {}
    for prompt, answer in zip(prompts, answers, strict=True):
        cell = (prompt.workspace, prompt.task.name)
        values[cell].append(answer.quality)
        targets[cell] = prompt.task.target
    missed = sum(
        len(group)
        for cell, group in values.items()
        if _falls_short(group, targets[cell])
    )
    return missed / len(prompts)


def _falls_short(values: list[float], target: float) -> bool:
    error = statistics.pstdev(values) / math.sqrt(len(values))
    return statistics.fmean(values) + _MISS_ERRORS * error < target


def _serve_at(prompt: Prompt, threshold: float) -> Served:
    cheap, dear = prompt.task.costs
    if threshold > 1.0:
        return Served(dear, prompt.chances[1])
    if prompt.signals[0] >= threshold:
        return Served(cheap, prompt.chances[0])
    return Served(cheap + dear, prompt.chances[1])


def _candidates(task: TaskProfile, cheap: VersionRef) -> tuple[Candidate, ...]:
    return (
        Candidate(
            version=cheap,
            cost_nano=task.costs[0],
            prior_quality=0.6,
        ),
        Candidate(
            version=workload.DEAR,
            cost_nano=task.costs[1],
            prior_quality=0.9,
        ),
    )

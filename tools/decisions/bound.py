"""The lowest cost at which a set of requests can meet its quality target."""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Iterator, Sequence

from tools.decisions.workload import Prompt

EXPENSIVE_ONLY = 2.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Point:
    """A threshold with its mean cost and quality on a set of requests."""

    # Mean cost of a request.
    cost: float
    # Mean probability that a response is good, from 0 to 1.
    quality: float
    # Lowest signal at which the cheap version's response is delivered; above 1
    # only the expensive version is used.
    threshold: float


@dataclasses.dataclass(frozen=True, slots=True)
class Mixture:
    """Two thresholds, the first of them used for a share of the requests."""

    # Share of the requests that use the first threshold, from 0 to 1.
    share: float
    thresholds: tuple[float, float]


def group_by_cell(
    prompts: Sequence[Prompt],
) -> dict[tuple[str, str], list[Prompt]]:
    """Groups requests by workspace and task."""
    groups: dict[tuple[str, str], list[Prompt]] = collections.defaultdict(list)
    for prompt in prompts:
        groups[prompt.workspace, prompt.task.name].append(prompt)
    return groups


def cheapest_mixture(prompts: Sequence[Prompt]) -> Mixture:
    """Returns the cheapest mixture for the requests of one workspace and task.

    It is chosen in hindsight, from the requests themselves and the true
    probability that each response is good, so no rule that sees only signals
    does better.
    """
    target = prompts[0].task.target
    points = list(_points(prompts))
    sufficient = [point for point in points if point.quality >= target]
    if not sufficient:
        best = max(points, key=lambda point: point.quality)
        return Mixture(1.0, (best.threshold, best.threshold))
    cheapest = min(sufficient)
    best_cost = cheapest.cost
    mixture = Mixture(1.0, (cheapest.threshold, cheapest.threshold))
    expensive = points[0]
    for low in points:
        if low.quality >= target or expensive.quality < target:
            continue
        share = (target - low.quality) / (expensive.quality - low.quality)
        cost = share * expensive.cost + (1.0 - share) * low.cost
        if cost < best_cost:
            best_cost = cost
            mixture = Mixture(share, (expensive.threshold, low.threshold))
    return mixture


def _points(prompts: Sequence[Prompt]) -> Iterator[Point]:
    cheap, expensive = prompts[0].task.costs
    count = len(prompts)
    ordered = sorted(prompts, key=lambda prompt: -prompt.signals[0])
    all_expensive = sum(prompt.chances[1] for prompt in prompts)
    yield Point(expensive, all_expensive / count, EXPENSIVE_ONLY)
    gains = (prompt.chances[0] - prompt.chances[1] for prompt in ordered)
    totals = itertools.accumulate(gains, initial=all_expensive)
    for accepted, total in enumerate(totals):
        if accepted:
            cost = cheap + expensive * (count - accepted) / count
            threshold = ordered[accepted - 1].signals[0]
            yield Point(cost, total / count, threshold)

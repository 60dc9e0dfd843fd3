"""The least cost at which a set of requests can meet its target."""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Iterator, Sequence

from tools.decisions.workload import Prompt

DEAR_ONLY = 2.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Point:
    """A threshold with what it costs and yields on a set of requests."""

    # Mean cost of an answer.
    cost: float
    # Mean chance that an answer is good, from 0 to 1.
    quality: float
    # Least cheap signal that is delivered; above 1 the dear version alone.
    threshold: float


@dataclasses.dataclass(frozen=True, slots=True)
class Mixture:
    """Two thresholds, the first of them used for a share of the requests."""

    # Share of the first threshold, from 0 to 1.
    share: float
    # The thresholds.
    thresholds: tuple[float, float]


def cells(prompts: Sequence[Prompt]) -> dict[tuple[str, str], list[Prompt]]:
    """Groups requests by workspace and task."""
    groups: dict[tuple[str, str], list[Prompt]] = collections.defaultdict(list)
    for prompt in prompts:
        groups[prompt.workspace, prompt.task.name].append(prompt)
    return groups


def cheapest_mixture(prompts: Sequence[Prompt]) -> Mixture:
    """Returns the cheapest mixture for the requests of one cell.

    It is chosen in hindsight, from the requests themselves and the true
    chances of their answers, so no rule that sees only signals does better.
    """
    target = prompts[0].task.target
    points = list(_points(prompts))
    safe = [point for point in points if point.quality >= target]
    if not safe:
        best = max(points, key=lambda point: point.quality)
        return Mixture(1.0, (best.threshold, best.threshold))
    cheapest = min(safe)
    best_cost = cheapest.cost
    mixture = Mixture(1.0, (cheapest.threshold, cheapest.threshold))
    dear = points[0]
    for low in points:
        if low.quality >= target or dear.quality < target:
            continue
        share = (target - low.quality) / (dear.quality - low.quality)
        cost = share * dear.cost + (1.0 - share) * low.cost
        if cost < best_cost:
            best_cost = cost
            mixture = Mixture(share, (dear.threshold, low.threshold))
    return mixture


def _points(prompts: Sequence[Prompt]) -> Iterator[Point]:
    cheap, dear = prompts[0].task.costs
    count = len(prompts)
    ordered = sorted(prompts, key=lambda prompt: -prompt.signals[0])
    all_dear = sum(prompt.chances[1] for prompt in prompts)
    yield Point(dear, all_dear / count, DEAR_ONLY)
    gains = (prompt.chances[0] - prompt.chances[1] for prompt in ordered)
    totals = itertools.accumulate(gains, initial=all_dear)
    for accepted, total in enumerate(totals):
        if accepted:
            cost = cheap + dear * (count - accepted) / count
            threshold = ordered[accepted - 1].signals[0]
            yield Point(cost, total / count, threshold)

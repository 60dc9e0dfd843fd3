"""Search for the cheapest cascade that meets the target."""

from __future__ import annotations

import dataclasses
import math
import statistics
from collections.abc import Sequence

from trefoilpitch.cascade._counts import BIN_COUNT
from trefoilpitch.cascade._estimate import BinQuality

_STANDARD_NORMAL = statistics.NormalDist()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Option:
    """One way to answer: one version, or two with a threshold between."""

    # Index of the first version among the candidates.
    first: int
    # Index of the second version; None when the first delivers every answer.
    second: int | None
    # First bin of the signal whose answers are delivered.
    accept_from: int
    # Expected cost of an answer, in billionths of the accounting currency.
    cost_nano: float
    # Expected share of good answers, from 0 to 1.
    quality: float
    # Lower confidence bound of that share.
    lower_bound: float

    @property
    def upper_bound(self) -> float:
        """The upper confidence bound of the quality."""
        return 2.0 * self.quality - self.lower_bound


def confidence_factor(confidence: float) -> float:
    """Returns the standard deviations below the mean of a lower bound."""
    return max(_STANDARD_NORMAL.inv_cdf(min(confidence, 0.9999)), 0.0)


def direct_option(
    index: int, cost_nano: float, bins: Sequence[BinQuality], factor: float
) -> Option:
    """Returns the option that delivers every answer of one version."""
    quality = sum(one.share * one.mean for one in bins)
    variance = sum(one.share**2 * one.variance for one in bins)
    return Option(
        first=index,
        second=None,
        accept_from=0,
        cost_nano=cost_nano,
        quality=quality,
        lower_bound=quality - factor * math.sqrt(variance),
    )


def threshold_options(
    indices: tuple[int, int],
    costs_nano: tuple[float, float],
    first: Sequence[BinQuality],
    second: Sequence[BinQuality],
    factor: float,
) -> list[Option]:
    """Returns the two-step options of a pair of versions, by threshold.

    Args:
        indices: The two versions among the candidates.
        costs_nano: Their costs of an answer.
        first: Quality of the first version's answers by its own signal.
        second: Quality of the second version's answers by the signal of the
            rejected ones.
        factor: Standard deviations below the mean of the lower bound.
    """
    options = []
    for accept_from in range(1, BIN_COUNT + 1):
        used = (*second[:accept_from], *first[accept_from:])
        shares = [one.share for one in first]
        terms = list(zip(shares, used, strict=True))
        quality = sum(share * one.mean for share, one in terms)
        variance = sum(share**2 * one.variance for share, one in terms)
        rejected = sum(shares[:accept_from])
        options.append(
            Option(
                first=indices[0],
                second=indices[1],
                accept_from=accept_from,
                cost_nano=costs_nano[0] + rejected * costs_nano[1],
                quality=quality,
                lower_bound=quality - factor * math.sqrt(variance),
            )
        )
    return options


def cheapest_safe(options: Sequence[Option], target: float) -> Option:
    """Returns the cheapest option whose lower bound meets the target.

    When none does, the one with the highest lower bound.
    """
    safe = [option for option in options if option.lower_bound >= target]
    if safe:
        return min(safe, key=lambda option: option.cost_nano)
    return max(options, key=lambda option: option.lower_bound)


def cheapest_expected(options: Sequence[Option], target: float) -> Option:
    """Returns the cheapest option whose expected quality meets the target.

    When none does, the one with the highest expected quality.
    """
    enough = [option for option in options if option.quality >= target]
    if enough:
        return min(enough, key=lambda option: option.cost_nano)
    return max(options, key=lambda option: option.quality)


def cheapest_possible(options: Sequence[Option], target: float) -> Option:
    """Returns the cheapest option whose upper bound meets the target.

    When none does, the one with the highest upper bound.
    """
    possible = [option for option in options if option.upper_bound >= target]
    if possible:
        return min(possible, key=lambda option: option.cost_nano)
    return max(options, key=lambda option: option.upper_bound)

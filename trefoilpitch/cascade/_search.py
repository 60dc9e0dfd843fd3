"""Search for the cheapest cascade that meets the quality target."""

from __future__ import annotations

import dataclasses
import itertools
import math
import statistics
from collections.abc import Sequence

from trefoilpitch.cascade._counts import BIN_COUNT
from trefoilpitch.cascade._estimate import BinQuality, QualityCurve

# Smallest saving, as a share of the cost, for which a blend is used: a smaller
# one is not worth its lower quality.
_MIN_BLEND_SAVING = 0.03
_STANDARD_NORMAL = statistics.NormalDist()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Option:
    """One version, or two with an acceptance threshold for the first."""

    # Index of the first version among the candidates.
    first: int
    # Index of the second version; None when every response of the first is
    # delivered.
    second: int | None
    # Lowest bin of the signal in which the first version's responses are
    # delivered.
    accept_from: int
    # Expected cost of a response, in billionths of the accounting currency.
    cost_nano: float
    # Expected share of good responses, from 0 to 1.
    quality: float
    # Lower confidence bound of that share.
    lower_bound: float

    @property
    def cautious_quality(self) -> float:
        """Midpoint between the expected quality and its lower bound."""
        return (self.quality + self.lower_bound) / 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Blend:
    """A safe option, with a cheaper one for a share of the requests."""

    # The safe option; its margin over the target compensates for the other
    # one.
    main: Option
    # The cheaper option; the same one when no blend saves enough.
    other: Option
    # Share of requests that use the other option, from 0 to 1.
    other_share: float

    @property
    def cost_nano(self) -> float:
        """Expected cost of a response."""
        return self._mean(self.main.cost_nano, self.other.cost_nano)

    @property
    def lower_bound(self) -> float:
        """A lower confidence bound of the quality.

        The true bound is at least this weighted mean of the options' bounds,
        because the standard deviation of a sum is at most the sum of the
        standard deviations.
        """
        return self._mean(self.main.lower_bound, self.other.lower_bound)

    def _mean(self, main: float, other: float) -> float:
        return main + self.other_share * (other - main)


def pure_blend(option: Option) -> Blend:
    """Returns the blend that uses a single option."""
    return Blend(main=option, other=option, other_share=0.0)


def confidence_factor(confidence: float) -> float:
    """Returns how many standard deviations a lower bound is below the mean.

    The confidence is capped below 1, for which the result would be infinite.
    """
    return max(_STANDARD_NORMAL.inv_cdf(min(confidence, 0.9999)), 0.0)


def direct_option(
    index: int, cost_nano: float, curve: QualityCurve, factor: float
) -> Option:
    """Returns the option that delivers every response of one version."""
    shares = [one.share for one in curve.bins]
    quality, variance = _mixture(shares, curve.bins, curve.responses)
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
    first: QualityCurve,
    second: QualityCurve,
    factor: float,
) -> list[Option]:
    """Returns the two-step options of a pair of versions, by threshold.

    Args:
        indices: Indices of the two versions among the candidates.
        costs_nano: Expected cost of a response of each version.
        first: Quality of the first version's responses by its own signal.
        second: Quality of the second version's responses by the signal of the
            rejected first response.
        factor: How many standard deviations the lower bound is below the
            mean.
    """
    options = []
    shares = [one.share for one in first.bins]
    for accept_from in range(1, BIN_COUNT):
        used = (*second.bins[:accept_from], *first.bins[accept_from:])
        quality, variance = _mixture(shares, used, first.responses)
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


def _mixture(
    shares: Sequence[float], bins: Sequence[BinQuality], responses: float
) -> tuple[float, float]:
    """Returns the mean quality over the bins and its variance.

    The variance includes that of each bin's quality and that of the bins'
    shares, which are estimated from a limited number of responses.
    """
    terms = list(zip(shares, bins, strict=True))
    quality = sum(share * one.mean for share, one in terms)
    square = sum(share * one.mean**2 for share, one in terms)
    variance = sum(share**2 * one.variance for share, one in terms)
    spread = max(square - quality**2, 0.0) / responses
    return quality, variance + spread


def cheapest_safe(options: Sequence[Option], target: float) -> Blend:
    """Returns the cheapest blend whose lower bound meets the target.

    If no option meets the target, returns the single version with the highest
    lower bound.
    """
    safe = [option for option in options if option.lower_bound >= target]
    if not safe:
        direct_options = [option for option in options if option.second is None]
        return pure_blend(
            max(direct_options, key=lambda option: option.lower_bound)
        )
    simple = pure_blend(min(safe, key=lambda option: option.cost_nano))
    best = simple
    unsafe = [option for option in options if option.lower_bound < target]
    for main, other in itertools.product(safe, unsafe):
        if other.cost_nano >= best.cost_nano:
            continue
        margin = main.lower_bound - target
        share = margin / (main.lower_bound - other.lower_bound)
        blend = Blend(main=main, other=other, other_share=share)
        if blend.cost_nano < best.cost_nano:
            best = blend
    if best.cost_nano > simple.cost_nano * (1.0 - _MIN_BLEND_SAVING):
        return simple
    return best


def cheapest_expected(options: Sequence[Option], target: float) -> Option:
    """Returns the cheapest option whose expected quality meets the target.

    If none does, returns the one with the highest expected quality.
    """
    eligible = [option for option in options if option.quality >= target]
    if eligible:
        return min(eligible, key=lambda option: option.cost_nano)
    return max(options, key=lambda option: option.quality)

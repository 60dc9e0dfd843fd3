"""Search for the cheapest cascade that meets the target."""

from __future__ import annotations

import dataclasses
import itertools
import math
import statistics
from collections.abc import Sequence

from trefoilpitch.cascade._counts import BIN_COUNT
from trefoilpitch.cascade._estimate import BinQuality, QualityCurve

# Share of the cost below which a blend is not worth its lower quality.
_MIN_BLEND_SAVING = 0.03
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
    def cautious_quality(self) -> float:
        """A quality between the expected one and its lower bound."""
        return (self.quality + self.lower_bound) / 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Blend:
    """A safe option, of which a share of the requests uses a cheaper one."""

    # The option that most requests use or that makes up for the other.
    main: Option
    # The other option; the same one when there is nothing to gain.
    other: Option
    # Share of requests that use the other option, from 0 to 1.
    other_share: float

    @property
    def cost_nano(self) -> float:
        """Expected cost of an answer."""
        return self._mean(self.main.cost_nano, self.other.cost_nano)

    @property
    def lower_bound(self) -> float:
        """A lower confidence bound of the quality.

        The bound of a blend is at least the blend of the bounds, because
        standard deviations add up to no more than their sum.
        """
        return self._mean(self.main.lower_bound, self.other.lower_bound)

    def _mean(self, main: float, other: float) -> float:
        return main + self.other_share * (other - main)


def only(option: Option) -> Blend:
    """Returns the blend that uses one option alone."""
    return Blend(main=option, other=option, other_share=0.0)


def confidence_factor(confidence: float) -> float:
    """Returns the standard deviations below the mean of a lower bound."""
    return max(_STANDARD_NORMAL.inv_cdf(min(confidence, 0.9999)), 0.0)


def direct_option(
    index: int, cost_nano: float, curve: QualityCurve, factor: float
) -> Option:
    """Returns the option that delivers every answer of one version."""
    shares = [one.share for one in curve.bins]
    quality, variance = _mixture(shares, curve.bins, curve.answers)
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
        indices: The two versions among the candidates.
        costs_nano: Their costs of an answer.
        first: Quality of the first version's answers by its own signal.
        second: Quality of the second version's answers by the signal of the
            rejected ones.
        factor: Standard deviations below the mean of the lower bound.
    """
    options = []
    shares = [one.share for one in first.bins]
    for accept_from in range(1, BIN_COUNT):
        used = (*second.bins[:accept_from], *first.bins[accept_from:])
        quality, variance = _mixture(shares, used, first.answers)
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
    shares: Sequence[float], bins: Sequence[BinQuality], answers: float
) -> tuple[float, float]:
    """Returns the mean quality over the bins and its variance.

    The variance counts that of each bin's quality, and that of the shares,
    which rest on a number of answers themselves.
    """
    terms = list(zip(shares, bins, strict=True))
    quality = sum(share * one.mean for share, one in terms)
    square = sum(share * one.mean**2 for share, one in terms)
    variance = sum(share**2 * one.variance for share, one in terms)
    spread = max(square - quality**2, 0.0) / answers
    return quality, variance + spread


def cheapest_safe(options: Sequence[Option], target: float) -> Blend:
    """Returns the cheapest blend whose lower bound meets the target.

    When no option meets it, the one version with the highest lower bound.
    """
    safe = [option for option in options if option.lower_bound >= target]
    if not safe:
        directs = [option for option in options if option.second is None]
        return only(max(directs, key=lambda option: option.lower_bound))
    simple = only(min(safe, key=lambda option: option.cost_nano))
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

    When none does, the one with the highest expected quality.
    """
    enough = [option for option in options if option.quality >= target]
    if enough:
        return min(enough, key=lambda option: option.cost_nano)
    return max(options, key=lambda option: option.quality)

"""Sequential likelihood-ratio tests on the outcomes of two versions."""

from __future__ import annotations

import dataclasses
import math

# Alternative rates over which the likelihood ratio is averaged.
_GRID_POINTS = 12
# Standard errors added to the old version's rate: a one-sided 95% bound.
_BASELINE_Z_SCORE = 1.64
# Prior outcomes added to those of the old version, and the bad ones among them.
_PRIOR_COUNT = 10.0
_PRIOR_BAD = 1.0
# Range of the rates, which keeps the logarithms finite.
_MIN_RATE = 0.002
_MAX_RATE = 0.995


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Trials:
    """Binary outcomes: of responses (errors) or of ratings (bad ones)."""

    count: int = 0
    # How many of `count` were bad.
    bad: int = 0

    def __add__(self, other: Trials) -> Trials:
        return Trials(count=self.count + other.count, bad=self.bad + other.bad)

    @property
    def rate(self) -> float:
        """The share of bad outcomes, shrunk towards 0.5 if there are few."""
        return (self.bad + 0.5) / (self.count + 1.0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionEvidence:
    """Cumulative outcomes of a version, on one node or on several."""

    # Requests to the version; bad ones ended in an error.
    responses: Trials = Trials()
    # Rated responses of the version.
    ratings: Trials = Trials()

    def __add__(self, other: VersionEvidence) -> VersionEvidence:
        return VersionEvidence(
            responses=self.responses + other.responses,
            ratings=self.ratings + other.ratings,
        )


NO_EVIDENCE = VersionEvidence()


def tolerated_rate(baseline: Trials, tolerance: float) -> float:
    """Returns the highest rate at which a new version counts as no worse.

    This is an upper confidence bound of the old version's rate, plus the
    tolerance. A prior stands in for an old version with few outcomes, so that
    clear harm is detected from the first requests on.
    """
    count = baseline.count + _PRIOR_COUNT
    rate = (baseline.bad + _PRIOR_BAD) / count
    error = math.sqrt(rate * (1.0 - rate) / count)
    upper = rate + _BASELINE_Z_SCORE * error + tolerance
    return min(max(upper, _MIN_RATE), _MAX_RATE)


def evidence_of_harm(candidate: Trials, tolerated: float) -> float:
    """Returns the evidence that the rate is above the tolerated one.

    This is the mean likelihood ratio over a grid of higher rates. While the
    true rate is within the tolerated one, it is a supermartingale that starts
    at 1, so that the probability that it ever reaches ``1 / alpha`` is at most
    ``alpha``, however often it is evaluated.
    """
    step = (1.0 - tolerated) / (_GRID_POINTS + 1)
    rates = [tolerated + step * (index + 1) for index in range(_GRID_POINTS)]
    return _mean_likelihood_ratio(candidate, tolerated, rates)


def evidence_of_safety(
    candidate: Trials, baseline_rate: float, limit: float
) -> float:
    """Returns the evidence that the rate is below a limit.

    Args:
        candidate: Outcomes of the new version.
        baseline_rate: The old version's rate, expected of the new one too.
        limit: The rate of the null hypothesis.
    """
    low = min(baseline_rate, limit * 0.9)
    rates = [low * 0.5, low, (low + limit) / 2]
    bounded = [min(max(rate, _MIN_RATE / 2), _MAX_RATE) for rate in rates]
    return _mean_likelihood_ratio(candidate, limit, bounded)


def _mean_likelihood_ratio(
    trials: Trials, null_rate: float, rates: list[float]
) -> float:
    good = trials.count - trials.bad
    log_ratios = [
        trials.bad * math.log(rate / null_rate)
        + good * math.log((1.0 - rate) / (1.0 - null_rate))
        for rate in rates
    ]
    # Beyond 709, math.exp overflows.
    return sum(math.exp(min(log, 700.0)) for log in log_ratios) / len(rates)

"""What is known of a version's answers, and how sure a harm is."""

from __future__ import annotations

import dataclasses
import math

_GRID = 12
_OLD_SIGMAS = 1.64
# Outcomes, and bad ones among them, given to every old version.
_PRIOR_COUNT = 10.0
_PRIOR_BAD = 1.0
_FLOOR = 0.002
_CEILING = 0.995


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Trials:
    """Outcomes of one kind: errors of answers, or bad ones of ratings."""

    # Outcomes seen.
    count: int = 0
    # Those that were bad.
    bad: int = 0

    def __add__(self, other: Trials) -> Trials:
        return Trials(count=self.count + other.count, bad=self.bad + other.bad)

    @property
    def rate(self) -> float:
        """The share of bad outcomes, drawn to one half when few were seen."""
        return (self.bad + 0.5) / (self.count + 1.0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionEvidence:
    """Cumulative outcomes of a version; those of several nodes add up."""

    # Answers that were asked for; bad ones ended in an error.
    responses: Trials = Trials()
    # Answers that were rated; bad ones were rated bad.
    ratings: Trials = Trials()

    def __add__(self, other: VersionEvidence) -> VersionEvidence:
        return VersionEvidence(
            responses=self.responses + other.responses,
            ratings=self.ratings + other.ratings,
        )


NO_EVIDENCE = VersionEvidence()


def tolerated_rate(old: Trials, tolerance: float) -> float:
    """Returns the highest rate at which a new version counts as no worse.

    It is an upper bound of the old version's rate, plus the tolerance. An
    old version of which little is known is given a few outcomes of its own,
    so that clear harm is seen from the first requests on.
    """
    count = old.count + _PRIOR_COUNT
    rate = (old.bad + _PRIOR_BAD) / count
    error = math.sqrt(rate * (1.0 - rate) / count)
    upper = rate + _OLD_SIGMAS * error + tolerance
    return min(max(upper, _FLOOR), _CEILING)


def evidence_of_harm(new: Trials, tolerated: float) -> float:
    """Returns how strongly outcomes speak against the tolerated rate.

    The mean likelihood ratio over a grid of higher rates. While the true
    rate is tolerated, this is a supermartingale that starts at 1, so the
    chance that it ever reaches ``1 / alpha`` is at most ``alpha``, however
    often it is looked at.
    """
    step = (1.0 - tolerated) / (_GRID + 1)
    rates = [tolerated + step * (index + 1) for index in range(_GRID)]
    return _mean_likelihood_ratio(new, tolerated, rates)


def evidence_of_safety(new: Trials, old_rate: float, limit: float) -> float:
    """Returns how strongly outcomes speak for a rate below a limit.

    Args:
        new: The outcomes.
        old_rate: The old version's rate, which the new one should have.
        limit: The rate that is spoken against.
    """
    low = min(old_rate, limit * 0.9)
    rates = [low * 0.5, low, (low + limit) / 2]
    bounded = [min(max(rate, _FLOOR / 2), _CEILING) for rate in rates]
    return _mean_likelihood_ratio(new, limit, bounded)


def _mean_likelihood_ratio(
    trials: Trials, null_rate: float, rates: list[float]
) -> float:
    good = trials.count - trials.bad
    exponents = [
        trials.bad * math.log(rate / null_rate)
        + good * math.log((1.0 - rate) / (1.0 - null_rate))
        for rate in rates
    ]
    return sum(math.exp(min(one, 700.0)) for one in exponents) / len(rates)

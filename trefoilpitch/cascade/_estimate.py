"""Posterior quality of responses by bin of the confidence signal."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from trefoilpitch.cascade._counts import BinCounts

# Weight of the bundle's prior quality, in ratings over all bins.
BUNDLE_PRIOR_RATINGS = 4.0
# Largest weight of other workspaces' ratings, over all bins.
_MAX_POOLED_RATINGS = 4_000.0
# Keeps expected means off 0 and 1, where their variance vanishes.
_MIN_MEAN = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class BinQuality:
    """Estimated quality of the responses in one bin."""

    # Share of the responses that fall into the bin, from 0 to 1.
    share: float
    # Posterior mean of the share of good responses, from 0 to 1.
    mean: float
    # Posterior variance of the share of good responses.
    variance: float


@dataclasses.dataclass(frozen=True, slots=True)
class QualityCurve:
    """Estimated quality as a function of the confidence signal."""

    # One entry for each bin, by rising signal.
    bins: tuple[BinQuality, ...]
    # Number of responses that the shares of the bins are based on.
    responses: float


def quality_curve(
    own: Sequence[BinCounts],
    pooled: Sequence[BinCounts],
    prior_quality: Sequence[float],
    prior_ratings: float = BUNDLE_PRIOR_RATINGS,
) -> QualityCurve:
    """Estimates the quality in each bin from sampled ratings.

    Computes beta posteriors: the ratings of all workspaces together, with a
    bounded weight, are the prior for a workspace's own ratings. The means are
    then made monotone in the signal by isotonic regression.

    Args:
        own: The workspace's counts by bin.
        pooled: The counts of all workspaces by bin.
        prior_quality: Expected quality by bin before any rating is known.
        prior_ratings: Weight of the prior quality, in ratings over all bins.
    """
    shares = _shares(own, pooled)
    others = [_subtract(*pair) for pair in zip(pooled, own, strict=True)]
    agreement = _agreement(own, others)
    means, weights = [], []
    rows = zip(shares, own, others, prior_quality, strict=True)
    for share, own_counts, other_counts, prior in rows:
        prior_weight = max(prior_ratings * share, 0.01)
        mean, weight = _posterior(
            BinCounts(0.0, prior_weight, prior_weight * prior),
            own_counts,
            other_counts,
            max_pooled=agreement * _MAX_POOLED_RATINGS * share,
            agreement=agreement,
        )
        means.append(mean)
        weights.append(weight)
    monotone = isotonic(means, weights)
    bins = tuple(
        BinQuality(share, mean, mean * (1.0 - mean) / (weight + 1.0))
        for share, mean, weight in zip(shares, monotone, weights, strict=True)
    )
    responses = sum(counts.responses for counts in own)
    return QualityCurve(bins, responses + len(bins))


def isotonic(
    values: Sequence[float], weights: Sequence[float]
) -> tuple[float, ...]:
    """Returns the closest non-decreasing sequence in weighted least squares.

    Uses the pool-adjacent-violators algorithm: neighbours out of order are
    replaced by their weighted mean until none is left.
    """
    blocks: list[tuple[float, float, int]] = []
    for value, weight in zip(values, weights, strict=True):
        blocks.append((value, weight, 1))
        while len(blocks) > 1 and blocks[-2][0] > blocks[-1][0]:
            right = blocks.pop()
            left = blocks.pop()
            total = left[1] + right[1]
            mean = (left[0] * left[1] + right[0] * right[1]) / total
            blocks.append((mean, total, left[2] + right[2]))
    return tuple(value for value, _, length in blocks for _ in range(length))


def _subtract(pooled: BinCounts, own: BinCounts) -> BinCounts:
    ratings = max(pooled.ratings - own.ratings, 0.0)
    return BinCounts(
        responses=max(pooled.responses - own.responses, 0.0),
        ratings=ratings,
        good=min(max(pooled.good - own.good, 0.0), ratings),
    )


def _agreement(own: Sequence[BinCounts], others: Sequence[BinCounts]) -> float:
    """Returns how well a workspace's ratings agree with all others.

    Returns:
        From 0 to 1; 1 when they differ by no more than one standard error.
    """
    surplus, variance = 0.0, 0.0
    for own_counts, other_counts in zip(own, others, strict=True):
        if own_counts.ratings <= 0.0 or other_counts.ratings <= 0.0:
            continue
        mean = (other_counts.good + 1.0) / (other_counts.ratings + 2.0)
        mean = min(max(mean, _MIN_MEAN), 1.0 - _MIN_MEAN)
        spread = 1.0 + own_counts.ratings / other_counts.ratings
        surplus += own_counts.good - own_counts.ratings * mean
        variance += own_counts.ratings * mean * (1.0 - mean) * spread
    if variance <= 0.0:
        return 1.0
    return 1.0 / (1.0 + max(surplus**2 / variance - 1.0, 0.0))


def _posterior(
    prior: BinCounts,
    own: BinCounts,
    others: BinCounts,
    *,
    max_pooled: float,
    agreement: float,
) -> tuple[float, float]:
    """Returns the posterior mean of a bin and its weight in ratings."""
    pooled = min(agreement * others.ratings, max_pooled)
    pooled_mean = others.good / others.ratings if others.ratings else 0.0
    weight = prior.ratings + pooled + own.ratings
    good = prior.good + pooled * pooled_mean + own.good
    return good / weight, weight


def _shares(
    own: Sequence[BinCounts], pooled: Sequence[BinCounts]
) -> tuple[float, ...]:
    """Estimates the share of the workspace's responses in each bin.

    The distribution over all workspaces is the prior, with a weight of at
    most one response for each bin.
    """
    total = sum(counts.responses for counts in pooled)
    if total <= 0.0:
        return (1.0 / len(own),) * len(own)
    strength = min(total, float(len(own)))
    prior = [strength * counts.responses / total for counts in pooled]
    own_total = sum(counts.responses for counts in own)
    return tuple(
        (counts.responses + base) / (own_total + strength)
        for counts, base in zip(own, prior, strict=True)
    )

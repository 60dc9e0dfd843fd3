"""Posterior quality of answers by bin of the confidence signal."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from trefoilpitch.cascade._counts import BinCounts

# Ratings that the bundle's prior quality counts for, over all bins.
BUNDLE_PRIOR_RATINGS = 4.0
# Ratings that those of other workspaces count for at most, over all bins.
_MAX_POOLED_RATINGS = 4_000.0
_MIN_MEAN = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class BinQuality:
    """What is known of the quality in one bin."""

    # Share of the answers that fall into the bin, from 0 to 1.
    share: float
    # Posterior mean of the share of good answers, from 0 to 1.
    mean: float
    # Posterior variance of that share.
    variance: float


@dataclasses.dataclass(frozen=True, slots=True)
class QualityCurve:
    """What is known of a kind of answer over all bins."""

    # What is known of each bin.
    bins: tuple[BinQuality, ...]
    # Answers that the shares of the bins rest on.
    answers: float


def quality_curve(
    own: Sequence[BinCounts],
    pooled: Sequence[BinCounts],
    prior_quality: Sequence[float],
    prior_ratings: float = BUNDLE_PRIOR_RATINGS,
) -> QualityCurve:
    """Estimates the quality in each bin from sampled ratings.

    Beta posteriors: the ratings of all workspaces together, at a bounded
    weight, are the prior of a workspace's own. The means are then made
    monotone in the signal.

    Args:
        own: The workspace's counts by bin.
        pooled: The counts of all workspaces by bin.
        prior_quality: Mean quality by bin before any rating has been seen.
        prior_ratings: Ratings that it counts for, over all bins.
    """
    shares = _shares(own, pooled)
    others = [_without(*pair) for pair in zip(pooled, own, strict=True)]
    trust = _likeness(own, others)
    means, weights = [], []
    rows = zip(shares, own, others, prior_quality, strict=True)
    for share, mine, rest, prior in rows:
        prior_weight = max(prior_ratings * share, 0.01)
        mean, weight = _posterior(
            BinCounts(0.0, prior_weight, prior_weight * prior),
            mine,
            rest,
            most=trust * _MAX_POOLED_RATINGS * share,
            trust=trust,
        )
        means.append(mean)
        weights.append(weight)
    monotone = isotonic(means, weights)
    bins = tuple(
        BinQuality(share, mean, mean * (1.0 - mean) / (weight + 1.0))
        for share, mean, weight in zip(shares, monotone, weights, strict=True)
    )
    answers = sum(counts.answers for counts in own)
    return QualityCurve(bins, answers + len(bins))


def isotonic(
    values: Sequence[float], weights: Sequence[float]
) -> tuple[float, ...]:
    """Returns the nearest non-decreasing sequence, by weighted squares.

    Neighbours out of order are replaced by their weighted mean until none
    is left.
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


def _without(everyone: BinCounts, mine: BinCounts) -> BinCounts:
    ratings = max(everyone.ratings - mine.ratings, 0.0)
    return BinCounts(
        answers=max(everyone.answers - mine.answers, 0.0),
        ratings=ratings,
        good=min(max(everyone.good - mine.good, 0.0), ratings),
    )


def _likeness(own: Sequence[BinCounts], others: Sequence[BinCounts]) -> float:
    """Returns how far a workspace's ratings agree with the others'.

    Returns:
        From 0 to 1; 1 when they differ by no more than one standard error.
    """
    surplus, variance = 0.0, 0.0
    for mine, rest in zip(own, others, strict=True):
        if mine.ratings <= 0.0 or rest.ratings <= 0.0:
            continue
        mean = (rest.good + 1.0) / (rest.ratings + 2.0)
        mean = min(max(mean, _MIN_MEAN), 1.0 - _MIN_MEAN)
        spread = 1.0 + mine.ratings / rest.ratings
        surplus += mine.good - mine.ratings * mean
        variance += mine.ratings * mean * (1.0 - mean) * spread
    if variance <= 0.0:
        return 1.0
    return 1.0 / (1.0 + max(surplus**2 / variance - 1.0, 0.0))


def _posterior(
    prior: BinCounts,
    mine: BinCounts,
    others: BinCounts,
    *,
    most: float,
    trust: float,
) -> tuple[float, float]:
    pooled = min(trust * others.ratings, most)
    pooled_mean = others.good / others.ratings if others.ratings else 0.0
    weight = prior.ratings + pooled + mine.ratings
    good = prior.good + pooled * pooled_mean + mine.good
    return good / weight, weight


def _shares(
    own: Sequence[BinCounts], pooled: Sequence[BinCounts]
) -> tuple[float, ...]:
    total = sum(counts.answers for counts in pooled)
    if total <= 0.0:
        return (1.0 / len(own),) * len(own)
    strength = min(total, float(len(own)))
    prior = [strength * counts.answers / total for counts in pooled]
    mine = sum(counts.answers for counts in own)
    return tuple(
        (counts.answers + base) / (mine + strength)
        for counts, base in zip(own, prior, strict=True)
    )

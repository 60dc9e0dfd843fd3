"""Posterior quality of answers by bin of the confidence signal."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from trefoilpitch.cascade._counts import BinCounts

_PRIOR_RATINGS = 1.0
_POOL_SHARE = 0.25
_MAX_POOLED_RATINGS = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class BinQuality:
    """What is known of the quality in one bin."""

    # Share of the answers that fall into the bin, from 0 to 1.
    share: float
    # Posterior mean of the share of good answers, from 0 to 1.
    mean: float
    # Posterior variance of that share.
    variance: float


def bin_qualities(
    own: Sequence[BinCounts],
    pooled: Sequence[BinCounts],
    prior_quality: float,
) -> tuple[BinQuality, ...]:
    """Estimates the quality in each bin from sampled ratings.

    Beta posteriors: the ratings of all workspaces together, at a bounded
    weight, are the prior of a workspace's own. The means are then made
    monotone in the signal.

    Args:
        own: The workspace's counts by bin.
        pooled: The counts of all workspaces by bin.
        prior_quality: Mean quality before any rating has been seen.
    """
    shares = _shares(own, pooled)
    means, weights = [], []
    for mine, everyone in zip(own, pooled, strict=True):
        mean, weight = _posterior(mine, everyone, prior_quality)
        means.append(mean)
        weights.append(weight)
    monotone = isotonic(means, weights)
    return tuple(
        BinQuality(share, mean, mean * (1.0 - mean) / (weight + 1.0))
        for share, mean, weight in zip(shares, monotone, weights, strict=True)
    )


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


def _posterior(
    mine: BinCounts, everyone: BinCounts, prior_quality: float
) -> tuple[float, float]:
    others = max(everyone.ratings - mine.ratings, 0.0)
    others_good = max(everyone.good - mine.good, 0.0)
    scale = min(
        _POOL_SHARE, _MAX_POOLED_RATINGS / others if others else _POOL_SHARE
    )
    good = _PRIOR_RATINGS * prior_quality + scale * others_good + mine.good
    weight = _PRIOR_RATINGS + scale * others + mine.ratings
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

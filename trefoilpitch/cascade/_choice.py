"""Chooses the plan strategy of a task from counts of responses and ratings."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Sequence

from trefoilpitch.cascade._counts import (
    BIN_COUNT,
    BIN_MIDPOINTS,
    BinCounts,
    CountsTable,
)
from trefoilpitch.cascade._delivered import DeliveredQuality
from trefoilpitch.cascade._estimate import (
    BUNDLE_PRIOR_RATINGS,
    QualityCurve,
    quality_curve,
)
from trefoilpitch.cascade._nodes import Candidate, ResponseKey, Target
from trefoilpitch.cascade._search import (
    Blend,
    Option,
    cheapest_expected,
    cheapest_safe,
    confidence_factor,
    direct_option,
    pure_blend,
    threshold_options,
)
from trefoilpitch.cascade._settings import CascadeSettings

# Workspace name under which the counts of all workspaces are pooled.
ALL_WORKSPACES = "*"
# Largest weight of the ratings of another version of the same model, over all
# bins.
_MAX_SIBLING_RATINGS = 40.0
# Share of the quality margin over the target that exploration may use up.
_EXPLORATION_MARGIN_SHARE = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class PlanQuery:
    """The inputs of a plan; also the key under which it is cached."""

    # The workspace that sent the request.
    workspace: str
    # The task that it requested.
    task: str
    # Eligible versions, cheapest first.
    candidates: tuple[Candidate, ...]
    # The quality target of the task.
    target: Target
    # Most versions that one request may run on, one after the other.
    max_steps: int


@dataclasses.dataclass(frozen=True, slots=True)
class Strategy:
    """The options for a query and how often to use each of them."""

    # The cheapest blend that meets the target with confidence.
    safe: Blend
    # The cheapest option whose expected quality meets the target.
    optimistic: Option
    # Share of requests that use the optimistic option, from 0 to 1.
    optimistic_share: float
    # Share of requests that use a random threshold, from 0 to 1.
    random_share: float


class StrategyFinder:
    """Searches the thresholds and blends of a query's candidates.

    Args:
        counts: Counts of the versions' responses and ratings.
        delivered: Quality of the recently delivered responses.
        settings: Settings of the cascade policy.
    """

    def __init__(
        self,
        counts: CountsTable,
        delivered: DeliveredQuality,
        settings: CascadeSettings,
    ) -> None:
        self._counts = counts
        self._delivered = delivered
        self._settings = settings

    def find(self, query: PlanQuery) -> Strategy:
        """Returns the strategy for a query by the current counts."""
        ordered = query.candidates
        factor = confidence_factor(query.target.confidence)
        first_curves = [self._first_step_curve(query, one) for one in ordered]
        direct_options = [
            direct_option(index, one.cost_nano, first_curves[index], factor)
            for index, one in enumerate(ordered)
        ]
        if not self._has_enough_ratings(query):
            return Strategy(
                pure_blend(direct_options[-1]), direct_options[-1], 0.0, 0.0
            )
        options = list(direct_options)
        if query.max_steps > 1:
            for pair in itertools.combinations(range(len(ordered)), 2):
                options += self._pair_options(query, first_curves, pair, factor)
        return self._strategy(query, options, direct_options[0])

    def _strategy(
        self, query: PlanQuery, options: Sequence[Option], cheapest: Option
    ) -> Strategy:
        """Returns the strategy whose safe blend compensates for exploration.

        The target of the safe blend is raised by the quality that explored
        requests are expected to lose.
        """
        direct_options = [option for option in options if option.second is None]
        safest = max(direct_options, key=lambda option: option.lower_bound)
        # Raising the target beyond what the best single version reaches is
        # pointless.
        max_target = max(safest.lower_bound, query.target.quality)
        target = min(self._raised_target(query), max_target)
        optimistic = cheapest_expected(options, target)
        optimistic_share = self._optimistic_share(
            cheapest_safe(options, target), optimistic
        )
        random_quality = (safest.lower_bound + cheapest.quality) / 2.0
        optimistic_loss = optimistic_share * max(
            target - optimistic.cautious_quality, 0.0
        )
        affordable = _affordable_share(
            target, safest.lower_bound, optimistic_loss, random_quality
        )
        random_share = self._random_share(query, cheapest, affordable)
        loss = optimistic_loss + random_share * max(
            target - random_quality, 0.0
        )
        safe_share = max(1.0 - optimistic_share - random_share, 0.1)
        safe = cheapest_safe(
            options, min(target + loss / safe_share, max_target)
        )
        return Strategy(safe, optimistic, optimistic_share, random_share)

    def _raised_target(self, query: PlanQuery) -> float:
        """Returns the target plus the shortfall of recent responses."""
        target = query.target.quality
        return target + max(
            self._delivered.shortfall(workspace, query.task, target)
            for workspace in (query.workspace, ALL_WORKSPACES)
        )

    def _pair_options(
        self,
        query: PlanQuery,
        first_curves: Sequence[QualityCurve],
        pair: tuple[int, int],
        factor: float,
    ) -> list[Option]:
        first, second = (query.candidates[index] for index in pair)
        key = ResponseKey(
            workspace=query.workspace,
            task=query.task,
            version=second.version,
            rejected_version=first.version,
        )
        prior = sum(one.share * one.mean for one in first_curves[pair[1]].bins)
        second_curve = self._estimate(key, (prior,) * BIN_COUNT)
        costs = (first.cost_nano, second.cost_nano)
        return threshold_options(
            pair, costs, first_curves[pair[0]], second_curve, factor
        )

    def _first_step_curve(
        self, query: PlanQuery, candidate: Candidate
    ) -> QualityCurve:
        key = ResponseKey(
            workspace=query.workspace,
            task=query.task,
            version=candidate.version,
        )
        return self._estimate(key, _signal_prior(candidate.prior_quality))

    def _estimate(
        self, key: ResponseKey, prior_quality: Sequence[float]
    ) -> QualityCurve:
        own = self._counts.bins(key)
        pooled = self._counts.bins(pooled_key(key))
        sibling = self._most_rated_sibling(pooled_key(key))
        if sibling is None:
            return quality_curve(own, pooled, prior_quality)
        prior_quality = tuple(
            (counts.good + prior) / (counts.ratings + 1.0)
            for counts, prior in zip(sibling, prior_quality, strict=True)
        )
        sibling_ratings = sum(counts.ratings for counts in sibling)
        prior_ratings = BUNDLE_PRIOR_RATINGS + min(
            sibling_ratings, _MAX_SIBLING_RATINGS
        )
        return quality_curve(own, pooled, prior_quality, prior_ratings)

    def _most_rated_sibling(
        self, key: ResponseKey
    ) -> tuple[BinCounts, ...] | None:
        """Returns the counts of the model's other version with most ratings."""
        rows = [
            self._counts.bins(one) for one in self._counts.sibling_keys(key)
        ]
        return max(
            rows, key=lambda row: sum(one.ratings for one in row), default=None
        )

    def _has_enough_ratings(self, query: PlanQuery) -> bool:
        key = ResponseKey(
            workspace=ALL_WORKSPACES,
            task=query.task,
            version=query.candidates[-1].version,
        )
        ratings = sum(one.ratings for one in self._counts.bins(key))
        return ratings >= self._settings.min_ratings

    def _optimistic_share(self, safe: Blend, optimistic: Option) -> float:
        """Returns how often to use the optimistic option.

        The share rises with the cost that the option would save.
        """
        saving = 1.0 - optimistic.cost_nano / max(safe.cost_nano, 1e-9)
        share = min(max(2.0 * saving, 0.0), 1.0)
        return self._settings.exploration_share * share

    def _random_share(
        self, query: PlanQuery, cheapest: Option, affordable: float
    ) -> float:
        """Returns how often to use a random threshold.

        The fewer ratings the cheapest version has, the more often; but never
        so often that the quality would fall below the target, except for the
        minimum exploration share.
        """
        settings = self._settings
        key = ResponseKey(
            workspace=ALL_WORKSPACES,
            task=query.task,
            version=query.candidates[0].version,
        )
        ratings = sum(one.ratings for one in self._counts.bins(key))
        damping = 1.0 + (ratings / settings.halving_ratings) ** 2
        highest_cost_nano = query.candidates[-1].cost_nano
        potential = 1.0 - cheapest.cost_nano / max(highest_cost_nano, 1e-9)
        share = settings.exploration_share * potential / damping
        min_share = min(
            settings.min_exploration_share, settings.exploration_share
        )
        return max(min(share, affordable), min_share)


def _signal_prior(quality: float) -> tuple[float, ...]:
    """Returns a prior quality by bin that rises with the signal."""
    return tuple((quality + midpoint) / 2.0 for midpoint in BIN_MIDPOINTS)


def _affordable_share(
    target: float, safest: float, optimistic_loss: float, random_quality: float
) -> float:
    """Returns the share of random plans that the safest plan can offset.

    Args:
        target: The quality to reach.
        safest: Lower bound of the quality of the safest plan.
        optimistic_loss: Quality that optimistic plans are expected to lose.
        random_quality: Expected quality of random plans.
    """
    margin = (
        _EXPLORATION_MARGIN_SHARE * max(safest - target, 0.0) - optimistic_loss
    )
    return min(max(margin, 0.0) / max(safest - random_quality, 1e-9), 1.0)


def pooled_key(key: ResponseKey) -> ResponseKey:
    """Returns the key under which all workspaces' counts are pooled."""
    return dataclasses.replace(key, workspace=ALL_WORKSPACES)

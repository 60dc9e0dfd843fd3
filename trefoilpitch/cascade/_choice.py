"""Finds the plans to follow from the counts of answers and ratings."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Sequence

from trefoilpitch.cascade._counts import (
    BIN_COUNT,
    BIN_MIDDLES,
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
    only,
    threshold_options,
)
from trefoilpitch.cascade._settings import CascadeSettings

# The workspace of the counts of all workspaces together.
ALL_WORKSPACES = "*"
# Ratings that those of a model's other version count for, over all bins.
_RELATIVE_RATINGS = 40.0
# Share of the margin over the target that exploration may spend.
_SPENT_SLACK = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """What a plan is asked for."""

    # The workspace that asks.
    workspace: str
    # The task that it asks for.
    task: str
    # Eligible versions, cheapest first.
    candidates: tuple[Candidate, ...]
    # What the answers must reach.
    target: Target
    # Most versions that one request may run on.
    max_steps: int


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The plans to follow for a question, until more is known."""

    # The cheapest blend that meets the target with confidence.
    safe: Blend
    # The cheapest option that is expected to meet it.
    hopeful: Option
    # Share of requests that try the hopeful option, from 0 to 1.
    hopeful_share: float
    # Share of requests that try any threshold, from 0 to 1.
    random_share: float


class ChoiceFinder:
    """Searches the thresholds and blends of a question's candidates.

    Args:
        counts: What is known of the versions.
        delivered: What is known of the answers that were delivered.
        settings: How cautious and how curious the plans are.
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

    def find(self, question: Question) -> Choice:
        """Returns the plans for a question by what is known now."""
        ordered = question.candidates
        factor = confidence_factor(question.target.confidence)
        firsts = [self._qualities(question, one) for one in ordered]
        directs = [
            direct_option(index, one.cost_nano, firsts[index], factor)
            for index, one in enumerate(ordered)
        ]
        if not self._has_evidence(question):
            return Choice(only(directs[-1]), directs[-1], 0.0, 0.0)
        options = list(directs)
        if question.max_steps > 1:
            for pair in itertools.combinations(range(len(ordered)), 2):
                options += self._pair_options(question, firsts, pair, factor)
        return self._choice(question, options, directs[0])

    def _choice(
        self, question: Question, options: Sequence[Option], cheapest: Option
    ) -> Choice:
        """Returns the safe plan that makes up for what exploration loses."""
        directs = [option for option in options if option.second is None]
        safest = max(directs, key=lambda option: option.lower_bound)
        # More than the best version gives cannot be asked for.
        most = max(safest.lower_bound, question.target.quality)
        target = min(self._raised_target(question), most)
        hopeful = cheapest_expected(options, target)
        hopeful_share = self._hopeful_share(
            cheapest_safe(options, target), hopeful
        )
        random_quality = (safest.lower_bound + cheapest.quality) / 2.0
        hopeful_loss = hopeful_share * max(
            target - hopeful.cautious_quality, 0.0
        )
        affordable = _affordable_share(
            target, safest.lower_bound, hopeful_loss, random_quality
        )
        random_share = self._random_share(question, cheapest, affordable)
        loss = hopeful_loss + random_share * max(target - random_quality, 0.0)
        rest = max(1.0 - hopeful_share - random_share, 0.1)
        safe = cheapest_safe(options, min(target + loss / rest, most))
        return Choice(safe, hopeful, hopeful_share, random_share)

    def _raised_target(self, question: Question) -> float:
        """Returns the target, raised by what recent answers missed."""
        target = question.target.quality
        return target + max(
            self._delivered.shortfall(workspace, question.task, target)
            for workspace in (question.workspace, ALL_WORKSPACES)
        )

    def _pair_options(
        self,
        question: Question,
        firsts: Sequence[QualityCurve],
        pair: tuple[int, int],
        factor: float,
    ) -> list[Option]:
        first, second = (question.candidates[index] for index in pair)
        key = ResponseKey(
            workspace=question.workspace,
            task=question.task,
            version=second.version,
            after=first.version,
        )
        prior = sum(one.share * one.mean for one in firsts[pair[1]].bins)
        after = self._estimate(key, (prior,) * BIN_COUNT)
        costs = (first.cost_nano, second.cost_nano)
        return threshold_options(pair, costs, firsts[pair[0]], after, factor)

    def _qualities(
        self, question: Question, candidate: Candidate
    ) -> QualityCurve:
        key = ResponseKey(
            workspace=question.workspace,
            task=question.task,
            version=candidate.version,
        )
        return self._estimate(key, _signal_prior(candidate.prior_quality))

    def _estimate(
        self, key: ResponseKey, prior_quality: Sequence[float]
    ) -> QualityCurve:
        own = self._counts.bins(key)
        everyone = self._counts.bins(pooled(key))
        relative = self._best_known_relative(pooled(key))
        if relative is None:
            return quality_curve(own, everyone, prior_quality)
        prior_quality = tuple(
            (counts.good + prior) / (counts.ratings + 1.0)
            for counts, prior in zip(relative, prior_quality, strict=True)
        )
        known = sum(counts.ratings for counts in relative)
        prior_ratings = BUNDLE_PRIOR_RATINGS + min(known, _RELATIVE_RATINGS)
        return quality_curve(own, everyone, prior_quality, prior_ratings)

    def _best_known_relative(
        self, key: ResponseKey
    ) -> tuple[BinCounts, ...] | None:
        """Returns the counts of the model's version that is known best."""
        rows = [self._counts.bins(one) for one in self._counts.relatives(key)]
        return max(
            rows, key=lambda row: sum(one.ratings for one in row), default=None
        )

    def _has_evidence(self, question: Question) -> bool:
        key = ResponseKey(
            workspace=ALL_WORKSPACES,
            task=question.task,
            version=question.candidates[-1].version,
        )
        ratings = sum(one.ratings for one in self._counts.bins(key))
        return ratings >= self._settings.min_ratings

    def _hopeful_share(self, safe: Blend, hopeful: Option) -> float:
        """Returns how often to try what is expected to meet the target."""
        saving = 1.0 - hopeful.cost_nano / max(safe.cost_nano, 1e-9)
        share = min(max(2.0 * saving, 0.0), 1.0)
        return self._settings.exploration_share * share

    def _random_share(
        self, question: Question, cheapest: Option, affordable: float
    ) -> float:
        """Returns how often to try any threshold.

        The less is known of the cheapest version the more often, but never
        so often that quality would fall to the target.
        """
        settings = self._settings
        key = ResponseKey(
            workspace=ALL_WORKSPACES,
            task=question.task,
            version=question.candidates[0].version,
        )
        rated = sum(one.ratings for one in self._counts.bins(key))
        doubt = 1.0 + (rated / settings.halving_ratings) ** 2
        dearest = question.candidates[-1].cost_nano
        potential = 1.0 - cheapest.cost_nano / max(dearest, 1e-9)
        share = settings.exploration_share * potential / doubt
        least = min(settings.min_exploration_share, settings.exploration_share)
        return max(min(share, affordable), least)


def _signal_prior(quality: float) -> tuple[float, ...]:
    """Returns a prior by bin that rises with the signal."""
    return tuple((quality + middle) / 2.0 for middle in BIN_MIDDLES)


def _affordable_share(
    target: float, safest: float, hopeful_loss: float, random_quality: float
) -> float:
    """Returns the share of random plans that the safest plan makes up for.

    Args:
        target: The quality to reach.
        safest: Lower bound of the safest plan's quality.
        hopeful_loss: Quality that hopeful plans are expected to lose.
        random_quality: Quality that random plans are expected to have.
    """
    slack = _SPENT_SLACK * max(safest - target, 0.0) - hopeful_loss
    return min(max(slack, 0.0) / max(safest - random_quality, 1e-9), 1.0)


def pooled(key: ResponseKey) -> ResponseKey:
    """Returns the same kind of answer in all workspaces together."""
    return dataclasses.replace(key, workspace=ALL_WORKSPACES)

"""Recommends whether a roll-out advances, holds or is rolled back."""

from __future__ import annotations

import dataclasses
import enum
import math

from trefoilpitch.bundle import RolloutPlan
from trefoilpitch.configuration import RolloutPhase, RolloutState
from trefoilpitch.rollout._evidence import (
    NO_EVIDENCE,
    Trials,
    VersionEvidence,
    evidence_of_harm,
    evidence_of_safety,
    tolerated_rate,
)

# Number of tests among which `AdviceSettings.harm_alpha` is divided: errors and
# ratings, each over the whole current step and over the recent outcomes.
_TESTS = 4
# The sum of 1 / (k * ln(k)**2) over all k >= 2, which normalizes the shares of
# successive tests in `_harm_threshold`.
_SHARES_SUM = 2.10975


class Move(enum.Enum):
    """What to do next with a roll-out."""

    ADVANCE = "advance"
    HOLD = "hold"
    ROLL_BACK = "go_back"


class AdviceReason(enum.Enum):
    """Why a move is recommended."""

    NOT_RUNNING = "not_running"
    WITHDRAWN = "withdrawn"
    MORE_ERRORS = "more_errors"
    WORSE_RATINGS = "worse_ratings"
    TOO_FEW_RESPONSES = "few_answers"
    TOO_FEW_RATINGS = "few_ratings"
    UNPROVEN = "unproven"
    NO_WORSE = "no_worse"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdviceSettings:
    """Thresholds of the statistical tests.

    Evidence is a likelihood ratio, see `trefoilpitch.rollout.evidence_of_harm`.
    """

    # Probability of rolling back a version that is no worse, per step.
    harm_alpha: float = 0.005
    # Evidence of safety required to advance.
    safety_evidence: float = 3.0
    # Evidence of harm in the recent outcomes above which a roll-out holds.
    hold_evidence: float = 2.0
    # Evidence of harm below which the recent outcomes are discarded.
    reset_evidence: float = 0.05
    # Ratings of the new version required to advance.
    min_ratings: int = 30
    # Tolerated increase of the error rate, from 0 to 1.
    error_tolerance: float = 0.01


DEFAULT_SETTINGS = AdviceSettings()


def settings_for_nodes(nodes: int) -> AdviceSettings:
    """Returns the settings for each of several nodes that test on their own.

    The false-alarm probability is divided among the nodes, because any one of
    them can stop the roll-out.

    Args:
        nodes: Number of nodes that each test their own outcomes.
    """
    alpha = DEFAULT_SETTINGS.harm_alpha / max(1, nodes)
    return dataclasses.replace(DEFAULT_SETTINGS, harm_alpha=alpha)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Advice:
    """A recommendation, which operators or an automated process carry out."""

    move: Move
    reason: AdviceReason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HarmMonitor:
    """Detects a version that becomes harmful after a good start.

    Like a CUSUM test, it discards its outcomes whenever they clearly favour
    the version, so that they can't outweigh later harm. Each reset starts a
    new test with a smaller share of the false-alarm probability, so that all
    tests together stay within it. The state may be lost; the monitor then
    starts from no outcomes.
    """

    # Outcomes since the last reset; responses and ratings reset separately.
    evidence: VersionEvidence = NO_EVIDENCE
    # How often the responses were reset.
    response_resets: int = 0
    # How often the ratings were reset.
    rating_resets: int = 0

    def updated(
        self,
        plan: RolloutPlan,
        baseline: VersionEvidence,
        added: VersionEvidence,
        settings: AdviceSettings = DEFAULT_SETTINGS,
    ) -> HarmMonitor:
        """Returns the monitor after further outcomes.

        Args:
            plan: The roll-out's plan.
            baseline: Outcomes of the old version, from all nodes.
            added: Outcomes of the new version since the last update.
            settings: Says when outcomes are reset.
        """
        combined = self.evidence + added
        error_tolerance = settings.error_tolerance
        errors = _harm_evidence(
            combined.responses, baseline.responses, error_tolerance
        )
        ratings = _harm_evidence(
            combined.ratings, baseline.ratings, plan.tolerance
        )
        resets_responses = errors < settings.reset_evidence
        resets_ratings = ratings < settings.reset_evidence
        return HarmMonitor(
            evidence=VersionEvidence(
                responses=Trials() if resets_responses else combined.responses,
                ratings=Trials() if resets_ratings else combined.ratings,
            ),
            response_resets=self.response_resets + resets_responses,
            rating_resets=self.rating_resets + resets_ratings,
        )


EMPTY_MONITOR = HarmMonitor()


def advise(
    plan: RolloutPlan,
    state: RolloutState,
    baseline: VersionEvidence,
    candidate: VersionEvidence,
    *,
    monitor: HarmMonitor = EMPTY_MONITOR,
    withdrawn: bool = False,
    settings: AdviceSettings = DEFAULT_SETTINGS,
) -> Advice:
    """Recommends whether a roll-out advances, holds or is rolled back.

    The function is stateless, so that an interrupted roll-out can resume at any
    step. Without ratings it never recommends to advance.

    Args:
        plan: The roll-out's plan.
        state: The roll-out's current state.
        baseline: Outcomes of the old version, from all nodes.
        candidate: Outcomes of the new version since the current step began,
            from all nodes. Outcomes of earlier steps do not count, because a
            version that served 1% of the traffic well may have changed since.
        monitor: Recent outcomes of the new version; they show whether it
            became harmful after a good start.
        withdrawn: Whether operators withdrew the new version.
        settings: Thresholds of the tests.
    """
    if withdrawn:
        return Advice(move=Move.ROLL_BACK, reason=AdviceReason.WITHDRAWN)
    if state.phase in (RolloutPhase.ROLLED_BACK, RolloutPhase.COMPLETED):
        return Advice(move=Move.HOLD, reason=AdviceReason.NOT_RUNNING)
    harm = _proven_harm(
        plan, baseline, HarmMonitor(evidence=candidate), settings
    )
    harm = harm or _proven_harm(plan, baseline, monitor, settings)
    if harm is not None:
        return Advice(move=Move.ROLL_BACK, reason=harm)
    if state.phase is RolloutPhase.PAUSED:
        return Advice(move=Move.HOLD, reason=AdviceReason.NOT_RUNNING)
    reason = _missing_evidence(plan, baseline, candidate, settings)
    reason = reason or _possible_harm(
        plan, baseline, monitor.evidence, settings
    )
    if reason is not None:
        return Advice(move=Move.HOLD, reason=reason)
    return Advice(move=Move.ADVANCE, reason=AdviceReason.NO_WORSE)


def next_state(
    plan: RolloutPlan, state: RolloutState, move: Move
) -> RolloutState:
    """Returns the state after a move; every such state may serve requests."""
    if move is Move.ROLL_BACK:
        return dataclasses.replace(state, phase=RolloutPhase.ROLLED_BACK)
    if move is Move.HOLD or state.phase is not RolloutPhase.RUNNING:
        return state
    last = len(plan.steps_percent) - 1
    if state.step >= last:
        return dataclasses.replace(state, phase=RolloutPhase.COMPLETED)
    return dataclasses.replace(state, step=state.step + 1)


def _proven_harm(
    plan: RolloutPlan,
    baseline: VersionEvidence,
    monitor: HarmMonitor,
    settings: AdviceSettings,
) -> AdviceReason | None:
    candidate = monitor.evidence
    errors = _harm_evidence(
        candidate.responses, baseline.responses, settings.error_tolerance
    )
    if errors >= _harm_threshold(monitor.response_resets, settings):
        return AdviceReason.MORE_ERRORS
    ratings = _harm_evidence(
        candidate.ratings, baseline.ratings, plan.tolerance
    )
    if ratings >= _harm_threshold(monitor.rating_resets, settings):
        return AdviceReason.WORSE_RATINGS
    return None


def _harm_threshold(resets: int, settings: AdviceSettings) -> float:
    """Returns the evidence at which harm counts as proven.

    Args:
        resets: How often the test was reset before. The shares of the
            false-alarm probability of all successive tests add up to one.
        settings: The false-alarm probability.
    """
    number = resets + 2
    share = 1.0 / (_SHARES_SUM * number * math.log(number) ** 2)
    return _TESTS / (settings.harm_alpha * share)


def _possible_harm(
    plan: RolloutPlan,
    baseline: VersionEvidence,
    recent: VersionEvidence,
    settings: AdviceSettings,
) -> AdviceReason | None:
    errors = _harm_evidence(
        recent.responses, baseline.responses, settings.error_tolerance
    )
    ratings = _harm_evidence(recent.ratings, baseline.ratings, plan.tolerance)
    if max(errors, ratings) > settings.hold_evidence:
        return AdviceReason.UNPROVEN
    return None


def _harm_evidence(
    candidate: Trials, baseline: Trials, tolerance: float
) -> float:
    return evidence_of_harm(candidate, tolerated_rate(baseline, tolerance))


def _missing_evidence(
    plan: RolloutPlan,
    baseline: VersionEvidence,
    candidate: VersionEvidence,
    settings: AdviceSettings,
) -> AdviceReason | None:
    if candidate.responses.count < plan.answers_per_step:
        return AdviceReason.TOO_FEW_RESPONSES
    if candidate.ratings.count < settings.min_ratings:
        return AdviceReason.TOO_FEW_RATINGS
    kinds = (
        (baseline.responses, candidate.responses, settings.error_tolerance),
        (baseline.ratings, candidate.ratings, plan.tolerance),
    )
    for before, after, tolerance in kinds:
        limit = tolerated_rate(before, 2.0 * tolerance)
        safety = evidence_of_safety(after, before.rate, limit)
        if safety < settings.safety_evidence:
            return AdviceReason.UNPROVEN
    return None

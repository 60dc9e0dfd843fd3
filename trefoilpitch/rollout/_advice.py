"""Recommends the next move of a roll-out."""

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

# Tests that share the chance of a false alarm: errors and ratings, each of the
# present step as a whole and of the recent outcomes.
_TESTS = 4
# The sum of 1 / (k * ln(k)**2) over all k from 2 on.
_SHARES_SUM = 2.10975


class Move(enum.Enum):
    """What to do with a roll-out."""

    ADVANCE = "advance"
    HOLD = "hold"
    GO_BACK = "go_back"


class AdviceReason(enum.Enum):
    """Why a move is recommended."""

    NOT_RUNNING = "not_running"
    WITHDRAWN = "withdrawn"
    MORE_ERRORS = "more_errors"
    WORSE_RATINGS = "worse_ratings"
    FEW_ANSWERS = "few_answers"
    FEW_RATINGS = "few_ratings"
    UNPROVEN = "unproven"
    NO_WORSE = "no_worse"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdviceSettings:
    """How sure a recommendation must be."""

    # Chance that a version that is no worse is sent back in one step.
    harm_alpha: float = 0.005
    # Evidence for safety that an advance needs.
    safety_evidence: float = 3.0
    # Evidence for harm above which there is no advance.
    suspicion_evidence: float = 2.0
    # Evidence for harm below which recent outcomes are forgotten.
    forgetting_evidence: float = 0.05
    # Ratings that an advance needs.
    min_ratings: int = 30
    # Tolerated rise of the share of errors, from 0 to 1.
    error_tolerance: float = 0.01


DEFAULT_SETTINGS = AdviceSettings()


def settings_for_nodes(nodes: int) -> AdviceSettings:
    """Returns how sure each of several nodes must be by itself.

    They share the chance that a version that is no worse is held up by any
    of them.

    Args:
        nodes: Nodes that judge by outcomes of their own.
    """
    alpha = DEFAULT_SETTINGS.harm_alpha / max(1, nodes)
    return dataclasses.replace(DEFAULT_SETTINGS, harm_alpha=alpha)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Advice:
    """A recommendation; operators or an automaton carry it out."""

    # What to do.
    move: Move
    # Why.
    reason: AdviceReason


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HarmMonitor:
    """The recent outcomes of a version, as far as they may matter.

    Outcomes that clearly speak for the version are forgotten, so that a
    good start does not speak for it later. Each time is a new test, which
    gets a smaller share of the chance of a false alarm, so that all of them
    keep to it together. Feed it what came since the last time; if its state
    is lost, it starts afresh.
    """

    # Outcomes since there last was nothing to suspect.
    evidence: VersionEvidence = NO_EVIDENCE
    # Times that answers were forgotten.
    answers_forgotten: int = 0
    # Times that ratings were forgotten.
    ratings_forgotten: int = 0

    def updated(
        self,
        plan: RolloutPlan,
        old: VersionEvidence,
        seen: VersionEvidence,
        settings: AdviceSettings = DEFAULT_SETTINGS,
    ) -> HarmMonitor:
        """Returns the watch after further outcomes.

        Args:
            plan: The roll-out's plan.
            old: Outcomes of the version in place, of all nodes.
            seen: Outcomes of the new version since the last time.
            settings: When outcomes are forgotten.
        """
        kept = self.evidence + seen
        error_tolerance = settings.error_tolerance
        errors = _harm_of(kept.responses, old.responses, error_tolerance)
        ratings = _harm_of(kept.ratings, old.ratings, plan.tolerance)
        forgets_answers = errors < settings.forgetting_evidence
        forgets_ratings = ratings < settings.forgetting_evidence
        return HarmMonitor(
            evidence=VersionEvidence(
                responses=Trials() if forgets_answers else kept.responses,
                ratings=Trials() if forgets_ratings else kept.ratings,
            ),
            answers_forgotten=self.answers_forgotten + forgets_answers,
            ratings_forgotten=self.ratings_forgotten + forgets_ratings,
        )


NOTHING_WATCHED = HarmMonitor()


def advise(
    plan: RolloutPlan,
    state: RolloutState,
    old: VersionEvidence,
    new: VersionEvidence,
    *,
    monitor: HarmMonitor = NOTHING_WATCHED,
    withdrawn: bool = False,
    settings: AdviceSettings = DEFAULT_SETTINGS,
) -> Advice:
    """Recommends whether a roll-out advances, holds or goes back.

    A roll-out that stopped at any step resumes from its state alone; the
    evidence of its step needs no memory here. Without ratings it
    never advances by itself.

    Args:
        plan: The roll-out's plan.
        state: Where it stands.
        old: Outcomes of the version in place, of all nodes.
        new: Outcomes of the new version since its present step began, of
            all nodes. Earlier ones do not count: what served 1% well may
            have changed since.
        monitor: Its recent outcomes; they tell of a version that turned bad
            after a good start.
        withdrawn: Whether operators withdrew the new version.
        settings: How sure the recommendation must be.
    """
    if withdrawn:
        return Advice(move=Move.GO_BACK, reason=AdviceReason.WITHDRAWN)
    if state.phase in (RolloutPhase.ROLLED_BACK, RolloutPhase.COMPLETED):
        return Advice(move=Move.HOLD, reason=AdviceReason.NOT_RUNNING)
    harm = _harm(plan, old, HarmMonitor(evidence=new), settings)
    harm = harm or _harm(plan, old, monitor, settings)
    if harm is not None:
        return Advice(move=Move.GO_BACK, reason=harm)
    if state.phase is RolloutPhase.PAUSED:
        return Advice(move=Move.HOLD, reason=AdviceReason.NOT_RUNNING)
    doubt = _doubt(plan, old, new, settings)
    doubt = doubt or _suspicion(plan, old, monitor.evidence, settings)
    if doubt is not None:
        return Advice(move=Move.HOLD, reason=doubt)
    return Advice(move=Move.ADVANCE, reason=AdviceReason.NO_WORSE)


def next_state(
    plan: RolloutPlan, state: RolloutState, move: Move
) -> RolloutState:
    """Returns the state after a move; every result is legal to serve in."""
    if move is Move.GO_BACK:
        return dataclasses.replace(state, phase=RolloutPhase.ROLLED_BACK)
    if move is Move.HOLD or state.phase is not RolloutPhase.RUNNING:
        return state
    last = len(plan.steps_percent) - 1
    if state.step >= last:
        return dataclasses.replace(state, phase=RolloutPhase.COMPLETED)
    return dataclasses.replace(state, step=state.step + 1)


def _harm(
    plan: RolloutPlan,
    old: VersionEvidence,
    monitor: HarmMonitor,
    settings: AdviceSettings,
) -> AdviceReason | None:
    new = monitor.evidence
    errors = _harm_of(new.responses, old.responses, settings.error_tolerance)
    if errors >= _threshold(monitor.answers_forgotten, settings):
        return AdviceReason.MORE_ERRORS
    ratings = _harm_of(new.ratings, old.ratings, plan.tolerance)
    if ratings >= _threshold(monitor.ratings_forgotten, settings):
        return AdviceReason.WORSE_RATINGS
    return None


def _threshold(forgotten: int, settings: AdviceSettings) -> float:
    """Returns the evidence that proves harm.

    The shares of all tests that follow each other sum up to one.
    """
    number = forgotten + 2
    share = 1.0 / (_SHARES_SUM * number * math.log(number) ** 2)
    return _TESTS / (settings.harm_alpha * share)


def _suspicion(
    plan: RolloutPlan,
    old: VersionEvidence,
    recent: VersionEvidence,
    settings: AdviceSettings,
) -> AdviceReason | None:
    errors = _harm_of(recent.responses, old.responses, settings.error_tolerance)
    ratings = _harm_of(recent.ratings, old.ratings, plan.tolerance)
    if max(errors, ratings) > settings.suspicion_evidence:
        return AdviceReason.UNPROVEN
    return None


def _harm_of(new: Trials, old: Trials, tolerance: float) -> float:
    return evidence_of_harm(new, tolerated_rate(old, tolerance))


def _doubt(
    plan: RolloutPlan,
    old: VersionEvidence,
    new: VersionEvidence,
    settings: AdviceSettings,
) -> AdviceReason | None:
    if new.responses.count < plan.answers_per_step:
        return AdviceReason.FEW_ANSWERS
    if new.ratings.count < settings.min_ratings:
        return AdviceReason.FEW_RATINGS
    kinds = (
        (old.responses, new.responses, settings.error_tolerance),
        (old.ratings, new.ratings, plan.tolerance),
    )
    for before, after, tolerance in kinds:
        limit = tolerated_rate(before, 2.0 * tolerance)
        safety = evidence_of_safety(after, before.rate, limit)
        if safety < settings.safety_evidence:
            return AdviceReason.UNPROVEN
    return None

"""Roll-out rules: when a service moves to a new version or rolls back.

The fleet agrees on each step through a compare-and-swap in the store by
whichever daemon comes first. Each daemon also stops using the target at once
if its own evidence is bad. Sessions stay on the old version during the first
half of the roll-out, so the canary only gets requests without a session. After
that a hash of the session decides, so that a session moves at most once and
never back.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Mapping

from trefoilpitch.fleet import (
    CachedRolloutOrder,
    CachedRolloutRecord,
    RolloutPhase,
)
from trefoilpitch.rendezvous import score

# Percentage of the requests without a session that the canary gets: half of the
# smallest share that the platform's rules let a bad version have.
CANARY_PERCENT = 7
# Steps of the shift phase: fraction of the roll-out's duration at which the
# step begins, and percentage of the sessions on the target.
_SHIFT_STEPS = ((0.52, 20), (0.64, 50), (0.78, 100))
# Fractions of the duration after which a roll-out completes: if the old version
# is idle, and in any case.
_COMPLETE_IDLE_AFTER = 0.72
_COMPLETE_AFTER = 0.92
# Minimum fraction of the duration between two steps of the shift phase and its
# end, also after an outage of the store: slow responses take a while to show.
_MIN_STEP = 0.07
# Minimum number and fraction of failures for a rollback.
_MIN_FAILURES = 4
_MIN_FAILED_SHARE = 0.15
# The same for slow responses. They are weaker evidence, as an upstream that is
# crowded for a moment is slow too.
_MIN_SLOW = 6
_MIN_SLOW_SHARE = 0.25
# The target's fraction of failures must also be at least this multiple of the
# other versions', so that a fault of the whole service is not blamed on it.
_WORSE_FACTOR = 2.5
# The same for slow responses, by their odds: in a burst so many responses of
# all versions are slow that no fraction is a multiple of the others'.
_SLOWER_ODDS_FACTOR = 2.5
# Number of standard errors by which the target's fraction of slow responses
# must exceed the other versions'.
_MIN_SLOWER_ERRORS = 2.5
_HASH_RANGE = 1 << 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionEvidence:
    """Counts of the responses of one version.

    Failures and slow responses are kept apart: in a burst many responses of all
    versions are slow, which must not hide that only one version fails.
    """

    # Successful responses of normal latency.
    good: int = 0
    failed: int = 0
    # Successful responses that were several times slower than expected.
    slow: int = 0

    @property
    def failed_share(self) -> float:
        """Fraction of the responses that were failures."""
        return self.failed / max(1, self.good + self.failed + self.slow)

    @property
    def slow_share(self) -> float:
        """Fraction of the successful responses that were slow."""
        return self.slow / max(1, self.good + self.slow)

    def __str__(self) -> str:
        return f"{self.failed} failed, {self.slow} slow, {self.good} good"

    def merge(self, other: VersionEvidence) -> VersionEvidence:
        """Returns the sum of both counts."""
        return VersionEvidence(
            good=self.good + other.good,
            failed=self.failed + other.failed,
            slow=self.slow + other.slow,
        )


# Added to the evidence on the other versions, of which there may be none.
_PRIOR = VersionEvidence(good=9, slow=1)


class ResponseQuality(enum.Enum):
    """What a response says about the version that gave it."""

    GOOD = "good"
    SLOW = "slow"
    FAILED = "failed"

    @property
    def evidence(self) -> VersionEvidence:
        """The evidence of one such response."""
        match self:
            case ResponseQuality.GOOD:
                return VersionEvidence(good=1)
            case ResponseQuality.SLOW:
                return VersionEvidence(slow=1)
            case ResponseQuality.FAILED:
                return VersionEvidence(failed=1)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutStep:
    """The next step of a roll-out, to be written to the store."""

    phase: RolloutPhase
    # Percentage of the sessions on the target.
    percent: int
    # For the log.
    reason: str


def is_regression(target: VersionEvidence, others: VersionEvidence) -> bool:
    """Returns whether a target does significantly worse than the others."""
    return fails_more(target, others) or _is_slower(target, others)


def fails_more(target: VersionEvidence, others: VersionEvidence) -> bool:
    """Returns whether a target fails significantly more than the others."""
    return (
        target.failed >= _MIN_FAILURES
        and target.failed_share >= _MIN_FAILED_SHARE
        and target.failed_share >= _WORSE_FACTOR * others.failed_share
    )


def _is_slower(target: VersionEvidence, others: VersionEvidence) -> bool:
    if target.slow < _MIN_SLOW or target.slow_share < _MIN_SLOW_SHARE:
        return False
    usual_odds = (others.slow + _PRIOR.slow) / (others.good + _PRIOR.good)
    usual_share = usual_odds / (1 + usual_odds)
    answered = target.good + target.slow
    error = math.sqrt(usual_share * (1 - usual_share) / answered)
    return (
        target.slow >= _SLOWER_ODDS_FACTOR * usual_odds * target.good
        and target.slow_share >= usual_share + _MIN_SLOWER_ERRORS * error
    )


def split_evidence(
    evidence: Mapping[str, VersionEvidence], target: str
) -> tuple[VersionEvidence, VersionEvidence]:
    """Returns the evidence on the target and the sum over other versions."""
    others = VersionEvidence()
    for version, counts in evidence.items():
        if version != target:
            others = others.merge(counts)
    return evidence.get(target, VersionEvidence()), others


def current_phase(
    rollout: CachedRolloutOrder, record: CachedRolloutRecord | None
) -> tuple[RolloutPhase | None, int]:
    """Returns the phase and percentage that the fleet has agreed on.

    Returns:
        The phase is None while there is no record for this order.
    """
    if record is None or record.record.order_revision != rollout.revision:
        return None, 0
    return record.record.phase, record.record.percent


def lost_step(
    rollout: CachedRolloutOrder, record: CachedRolloutRecord | None
) -> RolloutStep | None:
    """Returns the last step if a restored store has lost it."""
    phase, percent = current_phase(rollout, record)
    if record is None or record.stored or phase is None:
        return None
    return RolloutStep(
        phase=phase, percent=percent, reason="lost by the restored store"
    )


def next_step(
    rollout: CachedRolloutOrder,
    record: CachedRolloutRecord | None,
    evidence: Mapping[str, VersionEvidence],
    old_in_flight: int,
    now_ms: int,
    *,
    stopped: bool = False,
    compared: bool = False,
    enough: bool = True,
) -> RolloutStep | None:
    """Decides the next step of a roll-out.

    Args:
        rollout: The order.
        record: The last step that the fleet has agreed on.
        evidence: Evidence by version, summed over all daemons.
        old_in_flight: In-flight requests on versions other than the target.
        now_ms: The monotonic time.
        stopped: Whether a daemon has found the target bad before, on evidence
            that may be lost since.
        compared: Whether the versions have been compared route by route, which
            replaces the comparison of the totals.
        enough: Whether the target has enough responses on each route to
            complete before its time.

    Returns:
        The step, or None if none is due.
    """
    phase, _ = current_phase(rollout, record)
    if phase is not None and phase.final:
        return None
    target, others = split_evidence(evidence, rollout.order.target)
    totals = f"target: {target}; others: {others}"
    if stopped or (not compared and is_regression(target, others)):
        return RolloutStep(
            phase=RolloutPhase.ROLLED_BACK,
            percent=0,
            reason=totals,
        )
    if phase is None:
        return RolloutStep(
            phase=RolloutPhase.CANARY, percent=0, reason="ordered"
        )
    due = _scheduled_step(rollout, record, old_in_flight, now_ms, enough=enough)
    if due is None:
        return None
    return dataclasses.replace(due, reason=f"{due.reason}; {totals}")


def _scheduled_step(
    rollout: CachedRolloutOrder,
    record: CachedRolloutRecord | None,
    old_in_flight: int,
    now_ms: int,
    *,
    enough: bool,
) -> RolloutStep | None:
    """Returns the step that the schedule of a sound target prescribes."""
    phase, percent = current_phase(rollout, record)
    duration_ms = max(1, rollout.order.duration_ms)
    elapsed = (now_ms - rollout.seen_ms) / duration_ms
    if (
        record is not None
        and phase is RolloutPhase.SHIFT
        and now_ms - record.seen_ms < _MIN_STEP * duration_ms
    ):
        return None
    if percent >= 100 and (
        elapsed >= _COMPLETE_AFTER
        or (enough and elapsed >= _COMPLETE_IDLE_AFTER and old_in_flight == 0)
    ):
        return RolloutStep(
            phase=RolloutPhase.COMPLETED,
            percent=100,
            reason=f"{old_in_flight} in-flight requests on the old version",
        )
    for after, share in _SHIFT_STEPS:
        if elapsed >= after and share > percent:
            return RolloutStep(
                phase=RolloutPhase.SHIFT,
                percent=share,
                reason="scheduled shift",
            )
    return None


def runs_on_target(
    phase: RolloutPhase | None,
    percent: int,
    session: str | None,
    request_id: str,
) -> bool:
    """Returns whether a request should run on the roll-out's target."""
    if phase is RolloutPhase.COMPLETED:
        return True
    if phase is None or phase is RolloutPhase.ROLLED_BACK:
        return False
    if session is None:
        percent = max(percent, CANARY_PERCENT)
    position = score("rollout", session or request_id) / _HASH_RANGE
    return position * 100 < percent

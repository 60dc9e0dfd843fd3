"""How a service's requests move to another version, and when they go back.

The steps are agreed on in the store, one conditional write each, by whichever
daemon is first; every daemon also stops at once on its own evidence. Sessions
that began on the old version stay there in the first half, so the canary runs
requests without a session; later a session's hash decides, so that it moves
once and never back.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from trefoilpitch.fleet import (
    CachedRolloutOrder,
    CachedRolloutRecord,
    RolloutPhase,
)
from trefoilpitch.rendezvous import score

# Share of the requests without a session that the canary gets, in hundredths:
# half of the smallest share that the rules let a bad version have.
CANARY_PERCENT = 7
# Steps of the shift: share of the roll-out's time after which it begins, and
# share of the sessions on the target, in hundredths.
_SHIFT_STEPS = ((0.52, 20), (0.60, 50), (0.68, 100))
# Share of the time after which the roll-out completes if the old version is
# idle, and at the latest.
_COMPLETE_IDLE_AFTER = 0.72
_COMPLETE_AFTER = 0.92
# Bad answers, and their share, from which a version is taken for bad.
_MIN_BAD = 4
_MIN_BAD_SHARE = 0.15
# How many times the old version's share the target's has to be.
_WORSE_FACTOR = 2.5
_HASH_RANGE = 1 << 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionEvidence:
    """Answers of one version."""

    # Answers in order.
    good: int = 0
    # Failures, and answers several times slower than usual.
    bad: int = 0

    @property
    def bad_share(self) -> float:
        """Share of the answers that were bad."""
        return self.bad / max(1, self.good + self.bad)

    def plus(self, other: VersionEvidence) -> VersionEvidence:
        """Returns the sum with another daemon's evidence."""
        return VersionEvidence(
            good=self.good + other.good, bad=self.bad + other.bad
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutStep:
    """A step to write."""

    # The next phase.
    phase: RolloutPhase
    # Share of the sessions on the target, in hundredths.
    percent: int
    # Why, for the log.
    reason: str


def is_bad(target: VersionEvidence, others: VersionEvidence) -> bool:
    """Whether a roll-out's target answers worse than the other versions."""
    return (
        target.bad >= _MIN_BAD
        and target.bad_share >= _MIN_BAD_SHARE
        and target.bad_share >= _WORSE_FACTOR * others.bad_share
    )


def split_evidence(
    evidence: Mapping[str, VersionEvidence], target: str
) -> tuple[VersionEvidence, VersionEvidence]:
    """Returns the evidence on a target, and on all other versions together."""
    others = VersionEvidence()
    for version, seen in evidence.items():
        if version != target:
            others = others.plus(seen)
    return evidence.get(target, VersionEvidence()), others


def current_phase(
    rollout: CachedRolloutOrder, record: CachedRolloutRecord | None
) -> tuple[RolloutPhase | None, int]:
    """Returns the phase and percentage that the fleet has agreed on.

    Returns:
        None while there is no record of this order.
    """
    if record is None or record.record.order_revision != rollout.revision:
        return None, 0
    return record.record.phase, record.record.percent


def next_step(
    rollout: CachedRolloutOrder,
    record: CachedRolloutRecord | None,
    evidence: Mapping[str, VersionEvidence],
    old_in_flight: int,
    now_ms: int,
) -> RolloutStep | None:
    """Decides the next step of a roll-out.

    Args:
        rollout: The order.
        record: What has been agreed on so far.
        evidence: Answers of the service by version, from all daemons.
        old_in_flight: Requests in progress on versions other than the target.
        now_ms: The monotonic time.

    Returns:
        The step; None to wait.
    """
    phase, percent = current_phase(rollout, record)
    if phase is not None and phase.final:
        return None
    target, others = split_evidence(evidence, rollout.order.target)
    if is_bad(target, others):
        return RolloutStep(
            phase=RolloutPhase.ROLLED_BACK,
            percent=0,
            reason=f"{target.bad} of {target.bad + target.good} answers bad",
        )
    if phase is None:
        return RolloutStep(
            phase=RolloutPhase.CANARY, percent=0, reason="ordered"
        )
    elapsed = (now_ms - rollout.seen_ms) / max(1, rollout.order.duration_ms)
    if percent >= 100 and (
        elapsed >= _COMPLETE_AFTER
        or (elapsed >= _COMPLETE_IDLE_AFTER and old_in_flight == 0)
    ):
        return RolloutStep(
            phase=RolloutPhase.COMPLETED,
            percent=100,
            reason=f"{old_in_flight} requests left on the old version",
        )
    for after, share in _SHIFT_STEPS:
        if elapsed >= after and share > percent:
            return RolloutStep(
                phase=RolloutPhase.SHIFT, percent=share, reason="in time"
            )
    return None


def runs_on_target(
    phase: RolloutPhase | None,
    percent: int,
    session: str | None,
    request_id: str,
) -> bool:
    """Decides whether a request belongs on a roll-out's target."""
    if phase is RolloutPhase.COMPLETED:
        return True
    if phase is None or phase is RolloutPhase.ROLLED_BACK:
        return False
    if session is None:
        percent = max(percent, CANARY_PERCENT)
    place = score("rollout", session or request_id) / _HASH_RANGE
    return place * 100 < percent

"""How long a daemon that leaves still accepts requests."""

from __future__ import annotations

import dataclasses
import enum


class DrainingPhase(enum.Enum):
    """What a leaving daemon does with requests."""

    # Callers may still hold its address: new requests are accepted.
    ACCEPTING = "accepting"
    # No caller should hold its address: only requests in flight go on.
    FINISHING = "finishing"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainingSchedule:
    """The phases of a graceful shutdown."""

    # When leaving was announced to the peers, on the monotonic clock.
    announced_ms: int
    # Until when new requests are accepted.
    accept_until_ms: int

    def phase(self, now_ms: int) -> DrainingPhase:
        """Returns the phase at a time."""
        if now_ms < self.accept_until_ms:
            return DrainingPhase.ACCEPTING
        return DrainingPhase.FINISHING

    def may_close(self, now_ms: int, in_flight: int) -> bool:
        """Tells whether the daemon may end without cutting a request."""
        is_finishing = self.phase(now_ms) is DrainingPhase.FINISHING
        return is_finishing and in_flight == 0


def create_draining_schedule(
    *, announced_ms: int, ttl_ms: int, margin_ms: int = 5_000
) -> DrainingSchedule:
    """Plans a graceful shutdown.

    Args:
        announced_ms: When leaving was announced, on the monotonic clock.
        ttl_ms: How long callers keep the addresses that they are given.
        margin_ms: Time for the announcement to reach every daemon that gives
            addresses to callers, and for a caller's request to arrive.
    """
    return DrainingSchedule(
        announced_ms=announced_ms,
        accept_until_ms=announced_ms + ttl_ms + margin_ms,
    )

"""Decides how long a leaving daemon accepts requests and when it may exit."""

from __future__ import annotations

import dataclasses
import enum


class DrainingPhase(enum.Enum):
    """How a leaving daemon treats requests."""

    # Callers may still have its address cached: new requests are accepted.
    ACCEPTING = "accepting"
    # Cached addresses have expired: only in-flight requests are completed.
    FINISHING = "finishing"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainingSchedule:
    """The phases of a graceful shutdown."""

    # Monotonic time at which the peers were notified that the daemon leaves.
    announced_ms: int
    # Monotonic time until which new requests are accepted.
    accept_until_ms: int

    def phase(self, now_ms: int) -> DrainingPhase:
        """Returns the phase at a monotonic time."""
        if now_ms < self.accept_until_ms:
            return DrainingPhase.ACCEPTING
        return DrainingPhase.FINISHING

    def may_close(self, now_ms: int, in_flight: int) -> bool:
        """Returns whether the daemon may exit without losing a request."""
        is_finishing = self.phase(now_ms) is DrainingPhase.FINISHING
        return is_finishing and in_flight == 0


def create_draining_schedule(
    *, announced_ms: int, ttl_ms: int, margin_ms: int = 5_000
) -> DrainingSchedule:
    """Creates the schedule of a graceful shutdown.

    Args:
        announced_ms: Monotonic time at which the peers were notified.
        ttl_ms: How long callers cache the addresses that they receive.
        margin_ms: Time for the notification to reach every daemon that hands
            out addresses, and for a caller's request to be received.
    """
    return DrainingSchedule(
        announced_ms=announced_ms,
        accept_until_ms=announced_ms + ttl_ms + margin_ms,
    )

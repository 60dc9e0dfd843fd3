"""Graceful shutdown: drains a daemon without aborting requests."""

from __future__ import annotations

import enum
import threading
from collections.abc import Callable

import logbook

from trefoilpitch.clock import Clock
from trefoilpitch.entries import (
    DrainingPhase,
    DrainingSchedule,
    create_draining_schedule,
)

# How long callers may cache an entry list.
ENTRIES_TTL_MS = 5_000

_POLL_S = 0.05
_LOG = logbook.Logger("trefoilpitch.daemon")


class NodePhase(enum.Enum):
    """The daemon's stage between start and exit."""

    SERVING = "serving"
    # The departure is announced; callers may still have cached its address,
    # so new requests are accepted.
    LEAVING = "leaving"
    # Completes requests in flight and rejects new ones.
    FINISHING = "finishing"


class Draining:
    """Runs a daemon's graceful shutdown.

    Args:
        clock: Times the phases.
        announce_leaving: Notifies the other daemons of the departure.
        in_flight: Returns the number of requests in flight.
    """

    def __init__(
        self,
        clock: Clock,
        announce_leaving: Callable[[], None],
        in_flight: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._announce_leaving = announce_leaving
        self._in_flight = in_flight
        self._schedule: DrainingSchedule | None = None
        self._abandoned = threading.Event()

    @property
    def phase(self) -> NodePhase:
        """The current phase."""
        schedule = self._schedule
        if schedule is None:
            return NodePhase.SERVING
        if schedule.phase(self._clock.now_ms()) is DrainingPhase.ACCEPTING:
            return NodePhase.LEAVING
        return NodePhase.FINISHING

    def begin(self) -> None:
        """Announces the departure; later calls have no effect."""
        if self._schedule is not None:
            return
        self._announce_leaving()
        self._schedule = create_draining_schedule(
            announced_ms=self._clock.now_ms(), ttl_ms=ENTRIES_TTL_MS
        )
        _LOG.info(
            "draining: announced the departure, completing requests in flight"
        )

    def abandon(self) -> None:
        """Ends all current and later waits."""
        self._abandoned.set()

    def may_close(self) -> bool:
        """Returns whether the daemon may exit without aborting a request."""
        if self._schedule is None:
            return False
        return self._schedule.may_close(self._clock.now_ms(), self._in_flight())

    def wait(self) -> bool:
        """Waits until the daemon may exit; returns False if abandoned."""
        return self.wait_until(self.may_close)

    def wait_until(self, condition: Callable[[], bool]) -> bool:
        """Waits for a condition; returns False if abandoned."""
        while not condition():
            if self._abandoned.wait(_POLL_S):
                return False
        return True

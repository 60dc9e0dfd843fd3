"""The end of a daemon that cuts no request."""

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

ENTRIES_TTL_MS = 5_000

_POLL_S = 0.05
_LOG = logbook.Logger("trefoilpitch.daemon")


class NodePhase(enum.Enum):
    """How far the daemon's life has come."""

    SERVING = "serving"
    # Announced to be leaving; callers may still hold its address.
    LEAVING = "leaving"
    # Finishes what it has and refuses new work.
    FINISHING = "finishing"


class Draining:
    """Takes the daemon from serving to its end.

    Args:
        clock: Tells the time.
        announce: Tells the other daemons that this one is leaving.
        in_flight: Returns the requests that are still being served.
    """

    def __init__(
        self,
        clock: Clock,
        announce: Callable[[], None],
        in_flight: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._announce = announce
        self._in_flight = in_flight
        self._schedule: DrainingSchedule | None = None
        self._abandoned = threading.Event()

    @property
    def phase(self) -> NodePhase:
        """How far the daemon's life has come."""
        schedule = self._schedule
        if schedule is None:
            return NodePhase.SERVING
        if schedule.phase(self._clock.now_ms()) is DrainingPhase.ACCEPTING:
            return NodePhase.LEAVING
        return NodePhase.FINISHING

    def begin(self) -> None:
        """Announces that the daemon is leaving; does nothing twice."""
        if self._schedule is not None:
            return
        self._announce()
        self._schedule = create_draining_schedule(
            announced_ms=self._clock.now_ms(), ttl_ms=ENTRIES_TTL_MS
        )
        _LOG.info("leaving; finishing what runs")

    def abandon(self) -> None:
        """Ends every wait."""
        self._abandoned.set()

    def may_close(self) -> bool:
        """Returns whether the daemon may end without cutting a request."""
        if self._schedule is None:
            return False
        return self._schedule.may_close(self._clock.now_ms(), self._in_flight())

    def wait(self) -> bool:
        """Waits for the end; returns whether every request was finished."""
        return self.wait_until(self.may_close)

    def wait_until(self, condition: Callable[[], bool]) -> bool:
        """Waits for a condition; returns False if that was abandoned."""
        while not condition():
            if self._abandoned.wait(_POLL_S):
                return False
        return True

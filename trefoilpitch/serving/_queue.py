"""Runs that wait for a place on an upstream."""

from __future__ import annotations

import threading
from types import TracebackType
from typing import Protocol, Self

from trefoilpitch.clock import Clock
from trefoilpitch.routing import RoutingError
from trefoilpitch.serving._problems import routing_problem
from trefoilpitch.web import Problem

_MS_PER_S = 1_000


class Waiting(Protocol):
    """What the queue needs to know of a run."""

    @property
    def request_id(self) -> str:
        """The request that it belongs to."""

    @property
    def deadline_ms(self) -> int:
        """Monotonic time by which it must have ended."""


class PlaceQueue:
    """Holds runs for a bounded time until a place may be free.

    Args:
        clock: Measures the time.
        max_waiting: Most runs that wait at once.
        max_wait_ms: Longest time that a run waits.
    """

    def __init__(
        self, clock: Clock, max_waiting: int = 256, max_wait_ms: int = 2_000
    ) -> None:
        self._clock = clock
        self._max_waiting = max_waiting
        self._max_wait_ms = max_wait_ms
        self._released = threading.Condition()
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """Runs that are waiting."""
        return self._waiting

    def notify(self) -> None:
        """Wakes the runs that wait, because a place may be free."""
        with self._released:
            self._released.notify_all()

    def ticket(self, waiting: Waiting) -> QueueTicket:
        """Returns a run's place in the queue."""
        return QueueTicket(self, waiting)

    def _enter(self) -> bool:
        with self._released:
            if self._waiting >= self._max_waiting:
                return False
            self._waiting += 1
            return True

    def _leave(self) -> None:
        with self._released:
            self._waiting -= 1

    def _wait(self, left_ms: int) -> None:
        with self._released:
            self._released.wait(left_ms / _MS_PER_S)


class QueueTicket:
    """One run's place in the queue; a context manager that gives it up."""

    def __init__(self, queue: PlaceQueue, waiting: Waiting) -> None:
        self._queue = queue
        self._run = waiting
        self._entered = False
        self._give_up_ms = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._entered:
            self._queue._leave()

    def wait(self, error: RoutingError) -> Problem | None:
        """Waits until a place may be free.

        Args:
            error: Why there was none.

        Returns:
            None when it is worth looking again, otherwise the refusal.
        """
        now_ms = self._queue._clock.now_ms()
        refusal = routing_problem(error, self._run.request_id)
        if not self._entered:
            if not self._queue._enter():
                return refusal
            self._entered = True
            wait_ms = self._queue._max_wait_ms
            self._give_up_ms = min(now_ms + wait_ms, self._run.deadline_ms)
        left_ms = self._give_up_ms - now_ms
        if left_ms <= 0:
            return refusal
        self._queue._wait(min(left_ms, _POLL_MS))
        return None


# A place can also become free without a release on this node.
_POLL_MS = 100

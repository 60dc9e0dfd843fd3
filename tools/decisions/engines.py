"""A discrete-event simulation of engines."""

from __future__ import annotations

import collections
import functools
import heapq
import itertools
from collections.abc import Callable

from trefoilpitch.bundle import Upstream
from trefoilpitch.routing import LoadReport


class EventQueue:
    """Runs callbacks in the order of virtual time."""

    def __init__(self) -> None:
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now_ms = 0.0

    @property
    def now_ms(self) -> float:
        """The virtual time, in milliseconds."""
        return self._now_ms

    def at(self, time_ms: float, callback: Callable[[], None]) -> None:
        """Schedules a callback at a virtual time; a past time means now."""
        due_ms = max(time_ms, self._now_ms)
        heapq.heappush(self._events, (due_ms, next(self._numbers), callback))

    def after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a virtual delay."""
        self.at(self._now_ms + delay_ms, callback)

    def run_until(self, end_ms: float) -> None:
        """Runs the callbacks that are due up to a virtual time."""
        while self._events and self._events[0][0] <= end_ms:
            self._now_ms, _, callback = heapq.heappop(self._events)
            callback()
        self._now_ms = end_ms


class Engine:
    """An engine with a fixed number of slots and its own queue.

    A cold engine that gets more concurrent requests than its current limit
    crashes: all its requests fail, and its cold start begins anew.

    Args:
        upstream: Its entry in the bundle.
        events: Schedules the ends of requests.
    """

    def __init__(self, upstream: Upstream, events: EventQueue) -> None:
        self._upstream = upstream
        self._events = events
        self._waiting: collections.deque[tuple[float, Callable[[bool], None]]]
        self._waiting = collections.deque()
        self._running: dict[int, Callable[[bool], None]] = {}
        self._numbers = itertools.count()
        self._cold_limit: int | None = None
        self._finished_cold = 0
        self._overruns = 0

    @property
    def upstream(self) -> Upstream:
        """Its entry in the bundle."""
        return self._upstream

    @property
    def load(self) -> int:
        """Number of running and queued requests."""
        return len(self._running) + len(self._waiting)

    @property
    def is_cold(self) -> bool:
        """Whether it is in a cold start."""
        return self._cold_limit is not None

    @property
    def concurrency_limit(self) -> int:
        """Concurrent requests that it can hold now without crashing."""
        if self._cold_limit is None:
            return self._upstream.capacity
        return self._cold_limit

    @property
    def overruns(self) -> int:
        """Number of requests that exceeded its limit while cold."""
        return self._overruns

    def start_cold(self) -> None:
        """Begins a cold start."""
        self._cold_limit = self._upstream.cold_capacity
        self._finished_cold = 0

    def report(self, age_ms: float) -> LoadReport:
        """Returns a report of its current load with a given age."""
        return LoadReport(
            running=len(self._running),
            waiting=len(self._waiting),
            capacity=self._upstream.capacity,
            age_ms=int(age_ms),
        )

    def submit(self, run_ms: float, done: Callable[[bool], None]) -> None:
        """Runs or queues a request.

        Args:
            run_ms: Its run time.
            done: Called at its end with whether it succeeded.
        """
        if self._cold_limit is not None and self.load >= self._cold_limit:
            self._overruns += 1
            self._crash(done)
            return
        self._waiting.append((run_ms, done))
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self._waiting and len(self._running) < self._upstream.capacity:
            run_ms, done = self._waiting.popleft()
            number = next(self._numbers)
            self._running[number] = done
            self._events.after(run_ms, functools.partial(self._finish, number))

    def _finish(self, number: int) -> None:
        done = self._running.pop(number, None)
        if done is None:
            return
        if self._cold_limit is not None:
            self._advance_ramp()
        done(True)
        self._start_waiting()

    def _advance_ramp(self) -> None:
        assert self._cold_limit is not None
        self._finished_cold += 1
        if self._finished_cold < self._cold_limit * 2:
            return
        self._finished_cold = 0
        self._cold_limit *= 2
        if self._cold_limit >= self._upstream.capacity:
            self._cold_limit = None

    def _crash(self, done: Callable[[bool], None]) -> None:
        failed = [done, *self._running.values()]
        failed += [waiting for _, waiting in self._waiting]
        self._running.clear()
        self._waiting.clear()
        self.start_cold()
        for fail in failed:
            self._events.after(0.0, functools.partial(fail, False))

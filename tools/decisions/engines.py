"""Virtual engines and a virtual event queue."""

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
        """The virtual time."""
        return self._now_ms

    def at(self, time_ms: float, callback: Callable[[], None]) -> None:
        """Runs a callback at a virtual time, not before now."""
        due_ms = max(time_ms, self._now_ms)
        heapq.heappush(self._events, (due_ms, next(self._numbers), callback))

    def after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Runs a callback after a virtual delay."""
        self.at(self._now_ms + delay_ms, callback)

    def run_until(self, end_ms: float) -> None:
        """Runs every callback due by then."""
        while self._events and self._events[0][0] <= end_ms:
            self._now_ms, _, callback = heapq.heappop(self._events)
            callback()
        self._now_ms = end_ms


class Engine:
    """An engine with a fixed number of places and its own queue.

    A cold engine that gets more at once than it bears falls over: it loses
    what it runs and stays cold.

    Args:
        upstream: Its entry in the bundle.
        events: The virtual time.
    """

    def __init__(self, upstream: Upstream, events: EventQueue) -> None:
        self._upstream = upstream
        self._events = events
        self._waiting: collections.deque[tuple[float, Callable[[bool], None]]]
        self._waiting = collections.deque()
        self._running: dict[int, Callable[[bool], None]] = {}
        self._numbers = itertools.count()
        self._bears: int | None = None
        self._finished_cold = 0
        self._overruns = 0

    @property
    def upstream(self) -> Upstream:
        """Its entry in the bundle."""
        return self._upstream

    @property
    def load(self) -> int:
        """Requests that it runs or holds."""
        return len(self._running) + len(self._waiting)

    @property
    def is_cold(self) -> bool:
        """Whether it is in a cold start."""
        return self._bears is not None

    @property
    def bears(self) -> int:
        """Requests that it bears at once now."""
        if self._bears is None:
            return self._upstream.capacity
        return self._bears

    @property
    def overruns(self) -> int:
        """Requests that it got while cold beyond what it bears."""
        return self._overruns

    def turn_cold(self) -> None:
        """Starts a cold start."""
        self._bears = self._upstream.cold_capacity
        self._finished_cold = 0

    def report(self, age_ms: float) -> LoadReport:
        """Returns its load now, marked with the age it will have."""
        return LoadReport(
            running=len(self._running),
            waiting=len(self._waiting),
            capacity=self._upstream.capacity,
            age_ms=int(age_ms),
        )

    def submit(self, run_ms: float, done: Callable[[bool], None]) -> None:
        """Runs or holds a request; ``done`` tells whether it succeeded."""
        if self._bears is not None and self.load >= self._bears:
            self._overruns += 1
            self._fall_over(done)
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
        if self._bears is not None:
            self._warm_up()
        done(True)
        self._start_waiting()

    def _warm_up(self) -> None:
        assert self._bears is not None
        self._finished_cold += 1
        if self._finished_cold < self._bears * 2:
            return
        self._finished_cold = 0
        self._bears *= 2
        if self._bears >= self._upstream.capacity:
            self._bears = None

    def _fall_over(self, done: Callable[[bool], None]) -> None:
        lost = [done, *self._running.values()]
        lost += [waiting for _, waiting in self._waiting]
        self._running.clear()
        self._waiting.clear()
        self.turn_cold()
        for one in lost:
            self._events.after(0.0, functools.partial(one, False))

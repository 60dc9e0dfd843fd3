"""Aborts exchanges at their deadlines."""

from __future__ import annotations

import heapq
import itertools
import threading
import weakref
from types import TracebackType
from typing import Protocol, Self

from trefoilpitch.clock import Clock

# Upper bound on one wait: a clock that does not follow real time, such as
# ``ManualClock``, is read again after it.
_MAX_WAIT_S = 0.05


class Abortable(Protocol):
    """An operation with a due time, which may be postponed."""

    @property
    def due_ms(self) -> int | None:
        """Monotonic time at which it expires; None once it has ended."""

    def expire(self) -> None:
        """Aborts the operation because it is overdue; must not block."""


class DeadlineMonitor:
    """A thread that expires operations at their due times.

    A postponed due time needs no call: the monitor reads it again when the
    earlier one is reached. A due time that moves earlier needs ``add``.

    Args:
        clock: Measures due times.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heap: list[tuple[int, int, weakref.ref[Abortable]]] = []
        self._ties = itertools.count()
        self._changed = threading.Condition()
        self._closed = False
        self._thread = threading.Thread(
            target=self._run, name="deadline-watch", daemon=True
        )
        self._thread.start()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def add(self, item: Abortable) -> None:
        """Monitors an item until its due time is None."""
        due_ms = item.due_ms
        if due_ms is None:
            return
        with self._changed:
            earliest = self._heap[0][0] if self._heap else None
            self._push(due_ms, item)
            if earliest is None or due_ms < earliest:
                self._changed.notify()

    def close(self) -> None:
        """Stops the thread; items still monitored no longer expire."""
        with self._changed:
            self._closed = True
            self._changed.notify()
        self._thread.join()

    def _run(self) -> None:
        while True:
            with self._changed:
                if self._closed:
                    return
                expired = self._pop_expired()
                if not expired:
                    self._changed.wait(self._wait_s())
            for item in expired:
                item.expire()

    def _wait_s(self) -> float | None:
        if not self._heap:
            return None
        remaining_ms = self._heap[0][0] - self._clock.now_ms()
        return min(max(remaining_ms, 1) / 1000, _MAX_WAIT_S)

    def _pop_expired(self) -> list[Abortable]:
        now_ms = self._clock.now_ms()
        expired: list[Abortable] = []
        while self._heap and self._heap[0][0] <= now_ms:
            _, _, reference = heapq.heappop(self._heap)
            item = reference()
            due_ms = item.due_ms if item is not None else None
            if item is None or due_ms is None:
                continue
            if due_ms <= now_ms:
                expired.append(item)
            else:
                self._push(due_ms, item)
        return expired

    def _push(self, due_ms: int, item: Abortable) -> None:
        # With a weak reference, an ended item can be freed before its due time.
        entry = (due_ms, next(self._ties), weakref.ref(item))
        heapq.heappush(self._heap, entry)

"""Watches of an in-memory store."""

from __future__ import annotations

import threading
from collections.abc import Callable
from types import TracebackType
from typing import Self

from returns.result import Failure, Result, Success

from trefoilpitch.clock import SystemClock
from trefoilpitch.store._exceptions import (
    CompactedError,
    OutcomeUnknownError,
    StoreError,
    WatchClosedError,
)
from trefoilpitch.store._state import StoreState
from trefoilpitch.store._types import WatchBatch

_MS_PER_S = 1_000
# Timeouts of `receive` use real time, even if leases expire by a manual clock.
_WAIT_CLOCK = SystemClock()


class MemoryWatch:
    """A position in the history of an in-memory store.

    Args:
        changed: Guards the state; notified of every change.
        state: The state to watch.
        prefix: The prefix of the keys to watch.
        from_revision: The first revision to deliver.
        on_end: Called once, with the lock held, when the watch ends.
    """

    def __init__(
        self,
        *,
        changed: threading.Condition,
        state: StoreState,
        prefix: str,
        from_revision: int,
        on_end: Callable[[MemoryWatch], None],
    ) -> None:
        self._changed = changed
        self._state = state
        self._prefix = prefix
        self._next_revision = max(from_revision, 1)
        self._on_end = on_end
        self._end_reason: StoreError | None = None

    def receive(self, timeout_ms: int) -> Result[WatchBatch, StoreError]:
        """Waits for changes; see `Watch.receive`."""
        until_ms = _WAIT_CLOCK.now_ms() + timeout_ms
        with self._changed:
            while True:
                result = self._next_result()
                if result is not None:
                    return result
                # Every call of any client notifies the condition, so only the
                # clock shows that the timeout has passed; a wait that is
                # notified does not time out.
                remaining_ms = until_ms - _WAIT_CLOCK.now_ms()
                if remaining_ms <= 0:
                    revision = self._next_revision - 1
                    return Success(WatchBatch(revision=revision))
                self._changed.wait(self._wait_ms(remaining_ms) / _MS_PER_S)

    def cancel(self) -> None:
        """Ends the watch, from any thread; a blocked `receive` returns."""
        self._end(WatchClosedError(detail="the watch was cancelled"))

    def disconnect(self) -> None:
        """Ends the watch as a lost connection would."""
        self._end(OutcomeUnknownError(detail="the connection was lost"))

    def rewind(self, revisions: int) -> None:
        """Moves back, so that the latest changes are delivered again."""
        with self._changed:
            self._next_revision = max(self._next_revision - revisions, 1)
            self._changed.notify_all()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.cancel()

    def _next_result(self) -> Result[WatchBatch, StoreError] | None:
        """Returns new changes or why the watch ended; None if neither."""
        self._state.expire_leases()
        if self._end_reason is not None:
            return Failure(self._end_reason)
        history = self._state.history
        if self._next_revision < history.oldest_watchable_revision:
            compacted = CompactedError(
                detail="the changes have been compacted",
                oldest_revision=history.oldest_watchable_revision,
            )
            self._end(compacted)
            return Failure(compacted)
        events = history.events_from(self._next_revision, self._prefix)
        self._next_revision = max(self._next_revision, history.revision + 1)
        if not events:
            return None
        return Success(WatchBatch(events=events, revision=history.revision))

    def _wait_ms(self, remaining_ms: int) -> int:
        """Returns how long to wait, at most until the next lease expires."""
        until_expiry_ms = self._state.until_expiry_ms()
        if until_expiry_ms is None:
            return remaining_ms
        return max(min(remaining_ms, until_expiry_ms), 1)

    def _end(self, reason: StoreError) -> None:
        with self._changed:
            if self._end_reason is not None:
                return
            self._end_reason = reason
            self._on_end(self)
            self._changed.notify_all()

"""Runs a lease's state machine against the store."""

from __future__ import annotations

import threading
from types import TracebackType
from typing import Self

from returns.result import Result, Success

from trefoilpitch.clock import Clock
from trefoilpitch.leases._events import (
    Action,
    Event,
    ReadFailed,
    ReadRecord,
    RecordRead,
    Release,
    Tick,
    WriteConflicted,
    WriteNotApplied,
    WriteSucceeded,
    WriteUnknown,
)
from trefoilpitch.leases._machine import initial_state, step
from trefoilpitch.leases._types import LeaseState, LeaseTerms
from trefoilpitch.store import (
    ConflictError,
    KeyValueStore,
    NotAppliedError,
    StoreError,
)


class LeaseManager:
    """Acquires, renews and releases one lease; a context manager.

    `poll` and `release` call the store on the caller's thread. The other
    members don't block and may be used from any thread.

    Args:
        store: Stores the lease's record.
        clock: Monotonic time.
        key: The record's key.
        terms: The candidate's name, and the lease's validity and intervals.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        clock: Clock,
        key: str,
        terms: LeaseTerms,
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = key
        self._poll_lock = threading.Lock()
        self._state = initial_state(terms)

    @property
    def state(self) -> LeaseState:
        """An immutable snapshot, for diagnostics."""
        return self._state

    def fencing_number(self) -> int | None:
        """Returns the fencing number if the lease is valid right now.

        Call it immediately before each action that the lease protects.
        """
        return self._state.fencing_number(self._clock.now_ms())

    def poll(self) -> int:
        """Makes the calls to the store that are due.

        Returns:
            The monotonic time at which the next poll is due.
        """
        self._handle(Tick())
        return self._state.due_ms

    def release(self) -> None:
        """Releases the lease, so that a successor need not wait.

        Call it after the last action that the lease protects. If the store is
        unavailable, the lease ends when its validity expires.
        """
        self._handle(Release())

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()

    def _handle(self, event: Event) -> None:
        """Applies an event and makes the resulting calls to the store."""
        with self._poll_lock:
            actions = self._step(event)
            while actions:
                actions = self._step(self._perform(actions[0]))

    def _step(self, event: Event) -> tuple[Action, ...]:
        now_ms = self._clock.now_ms()
        self._state, actions = step(self._state, event, now_ms)
        return actions

    def _perform(self, action: Action) -> Event:
        if isinstance(action, ReadRecord):
            return self._read()
        result = self._store.put_if(
            self._key, action.value, action.expected_revision
        )
        return _write_event(result)

    def _read(self) -> Event:
        result = self._store.get(self._key)
        if isinstance(result, Success):
            return RecordRead(entry=result.unwrap())
        return ReadFailed()


def _write_event(result: Result[int, StoreError]) -> Event:
    if isinstance(result, Success):
        return WriteSucceeded(revision=result.unwrap())
    match result.failure():
        case ConflictError(current_revision=current_revision):
            return WriteConflicted(current_revision=current_revision)
        case NotAppliedError():
            return WriteNotApplied()
        case _:
            return WriteUnknown()


def lease_manager(
    *, store: KeyValueStore, clock: Clock, key: str, terms: LeaseTerms
) -> LeaseManager:
    """Creates the manager of one lease for one candidate."""
    return LeaseManager(store=store, clock=clock, key=key, terms=terms)

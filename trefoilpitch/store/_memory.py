"""An in-memory store with fault injection."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TypeVar

from returns.result import Failure, Result, Success

from trefoilpitch.clock import Clock
from trefoilpitch.store._counting import CallCounter
from trefoilpitch.store._exceptions import (
    OutcomeUnknownError,
    StoreError,
    UnavailableError,
)
from trefoilpitch.store._memory_watch import MemoryWatch
from trefoilpitch.store._state import StoreState
from trefoilpitch.store._types import (
    NO_LEASE,
    Entry,
    Lease,
    Listing,
    StoreCounters,
)

_DEFAULT_TIMEOUT_MS = 1_000
_DEFAULT_MAX_CHANGES = 10_000

_T = TypeVar("_T")


class MemoryStore:
    """A client of an in-memory store; thread-safe.

    Leases expire by the store's clock, at the next call or while a watch
    waits; single-threaded callers use `Watch.receive(0)`. Clients created by
    `new_client` share the keys, but have their own faults and counters.

    Args:
        changed: Guards the state; notified of every change.
        state: The keys and the leases.
        sleep_ms: Waits for the delay of a call.
        timeout_ms: A call with a longer delay is applied, but its response
            is lost.
    """

    def __init__(
        self,
        *,
        changed: threading.Condition,
        state: StoreState,
        sleep_ms: Callable[[int], None],
        timeout_ms: int,
    ) -> None:
        self._changed = changed
        self._state = state
        self._sleep_ms = sleep_ms
        self._timeout_ms = timeout_ms
        self._watches: set[MemoryWatch] = set()
        self._counter = CallCounter()
        self._is_down = False
        self._delay_ms = 0
        self._responses_to_lose = 0
        self._read_lag = 0

    @property
    def counters(self) -> StoreCounters:
        """Totals of this client's calls."""
        return self._counter.counters

    @property
    def revision(self) -> int:
        """The revision of the store's latest change."""
        with self._changed:
            return self._state.history.revision

    def new_client(self) -> MemoryStore:
        """Creates a client of the same store, without faults."""
        return MemoryStore(
            changed=self._changed,
            state=self._state,
            sleep_ms=self._sleep_ms,
            timeout_ms=self._timeout_ms,
        )

    def set_down(self, down: bool) -> None:
        """Fails every call while down; disconnects the open watches."""
        with self._changed:
            self._is_down = down
            if down:
                self.cut_watches()

    def set_delay_ms(self, delay_ms: int) -> None:
        """Delays every call; beyond the timeout, its response is lost."""
        with self._changed:
            self._delay_ms = delay_ms

    def lose_replies(self, count: int) -> None:
        """Applies the next calls, but loses their responses."""
        with self._changed:
            self._responses_to_lose = count

    def set_read_lag(self, revisions: int) -> None:
        """Serves reads from that many revisions ago; 0 serves the latest."""
        with self._changed:
            self._read_lag = revisions

    def lapse_leases(self) -> None:
        """Expires every lease of the store now."""
        with self._changed:
            self._state.expire_all_leases()
            self._changed.notify_all()

    def cut_watches(self) -> None:
        """Ends every open watch as a lost connection would."""
        with self._changed:
            for watch in list(self._watches):
                watch.disconnect()

    def redeliver(self, revisions: int) -> None:
        """Delivers the latest changes to every open watch again."""
        with self._changed:
            for watch in self._watches:
                watch.rewind(revisions)

    def compact(self, keep: int) -> None:
        """Discards all but the latest changes of the store's history."""
        with self._changed:
            self._state.history.compact(keep)
            self._changed.notify_all()

    def get(self, key: str) -> Result[Entry | None, StoreError]:
        """Reads one key; None if it is absent."""
        return self._read(lambda: self._entry(key))

    def list_prefix(self, prefix: str) -> Result[Listing, StoreError]:
        """Reads every key that starts with a prefix at one revision."""
        return self._read(
            lambda: self._state.history.list_prefix(
                prefix, self._read_revision()
            )
        )

    def list_page(
        self, prefix: str, after: str, limit: int
    ) -> Result[Listing, StoreError]:
        """Reads one page of the keys that start with a prefix."""
        return self._read(
            lambda: self._state.history.list_page(
                prefix, after, limit, self._read_revision()
            )
        )

    def put_if(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: int = NO_LEASE,
    ) -> Result[int, StoreError]:
        """Writes a key if its revision is the expected one."""
        return self._write(
            lambda: self._state.put_if(key, value, expected_revision, lease_id)
        )

    def delete_if(
        self, key: str, expected_revision: int
    ) -> Result[int, StoreError]:
        """Deletes a key if its revision is the expected one."""
        return self._write(
            lambda: self._state.delete_if(key, expected_revision)
        )

    def grant_lease(self, ttl_ms: int) -> Result[Lease, StoreError]:
        """Grants a lease."""
        return self._write(lambda: Success(self._state.grant_lease(ttl_ms)))

    def keep_alive(self, lease_id: int) -> Result[Lease, StoreError]:
        """Renews a lease for its full TTL."""
        return self._write(lambda: self._state.keep_alive(lease_id))

    def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Revokes a lease and deletes its keys."""
        return self._write(lambda: self._state.revoke_lease(lease_id))

    def watch(
        self, prefix: str, from_revision: int
    ) -> Result[MemoryWatch, StoreError]:
        """Watches the changes of a prefix from a revision, inclusive."""
        with self._changed:
            if self._is_down:
                return self._counter.record(Failure(_connection_refused()))
            watch = MemoryWatch(
                changed=self._changed,
                state=self._state,
                prefix=prefix,
                from_revision=from_revision,
                on_end=self._remove_watch,
            )
            self._watches.add(watch)
            self._counter.count(watches_opened=1, watches_waiting=1)
            return Success(watch)

    def _read(self, operation: Callable[[], _T]) -> Result[_T, StoreError]:
        self._counter.count(reads=1)
        return self._call(lambda: Success(operation()))

    def _write(
        self, operation: Callable[[], Result[_T, StoreError]]
    ) -> Result[_T, StoreError]:
        self._counter.count(writes=1)
        return self._call(operation)

    def _call(
        self, operation: Callable[[], Result[_T, StoreError]]
    ) -> Result[_T, StoreError]:
        """Runs an operation, subject to the injected faults."""
        with self._changed:
            if self._is_down:
                return self._counter.record(Failure(_connection_refused()))
            delay_ms = self._delay_ms
        if delay_ms:
            self._sleep_ms(min(delay_ms, self._timeout_ms))
        with self._changed:
            self._state.expire_leases()
            result = operation()
            self._changed.notify_all()
            if delay_ms > self._timeout_ms:
                result = Failure(_response_lost("timeout"))
            elif self._responses_to_lose:
                self._responses_to_lose -= 1
                result = Failure(_response_lost("connection reset"))
            return self._counter.record(result)

    def _entry(self, key: str) -> Entry | None:
        if not self._read_lag:
            return self._state.history.get(key)
        listing = self._state.history.list_prefix(key, self._read_revision())
        matches = (entry for entry in listing.entries if entry.key == key)
        return next(matches, None)

    def _read_revision(self) -> int:
        return max(self._state.history.revision - self._read_lag, 0)

    def _remove_watch(self, watch: MemoryWatch) -> None:
        self._watches.discard(watch)
        self._counter.count(watches_waiting=-1)


def _connection_refused() -> StoreError:
    return UnavailableError(detail="connection refused")


def _response_lost(cause: str) -> StoreError:
    return OutcomeUnknownError(detail=f"the response was lost: {cause}")


def memory_store(
    clock: Clock,
    *,
    sleep_ms: Callable[[int], None] = lambda _: None,
    timeout_ms: int = _DEFAULT_TIMEOUT_MS,
    max_changes: int = _DEFAULT_MAX_CHANGES,
) -> MemoryStore:
    """Creates an empty in-memory store and returns its first client.

    Args:
        clock: The clock of the leases.
        sleep_ms: Waits for the delay of a call; by default it does not wait.
        timeout_ms: A call with a longer delay is applied, but its response
            is lost.
        max_changes: Changes retained for watches and stale reads.
    """
    return MemoryStore(
        changed=threading.Condition(),
        state=StoreState(clock, max_changes),
        sleep_ms=sleep_ms,
        timeout_ms=timeout_ms,
    )

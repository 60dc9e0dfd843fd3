"""A store in memory with controls for the failures of the real one."""

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
    """One client of a store in memory; thread safe.

    Leases expire by the store's clock, at the next call or while a watch
    waits. Without threads, call `Watch.receive(0)`. Clients made by
    `new_client` share the keys and have their own faults and counters.

    Args:
        changed: Guards the state and is notified of its changes.
        state: The keys and the leases.
        sleep_ms: How a slow store passes its delay; by default no time passes.
        timeout_ms: A delay above this loses the reply after the effect.
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
        self._replies_to_lose = 0
        self._read_lag = 0

    @property
    def counters(self) -> StoreCounters:
        """This client's calls so far."""
        return self._counter.counters

    @property
    def revision(self) -> int:
        """The revision of the store's last change."""
        with self._changed:
            return self._state.history.revision

    def new_client(self) -> MemoryStore:
        """Creates a client of the same keys without faults."""
        return MemoryStore(
            changed=self._changed,
            state=self._state,
            sleep_ms=self._sleep_ms,
            timeout_ms=self._timeout_ms,
        )

    def set_down(self, down: bool) -> None:
        """Refuses every call while down, and cuts the open watches."""
        with self._changed:
            self._is_down = down
            if down:
                self.cut_watches()

    def set_delay_ms(self, delay_ms: int) -> None:
        """Delays every call."""
        with self._changed:
            self._delay_ms = delay_ms

    def lose_replies(self, count: int) -> None:
        """Loses the replies of the next calls after their effect."""
        with self._changed:
            self._replies_to_lose = count

    def set_read_lag(self, revisions: int) -> None:
        """Answers reads from that many revisions ago; 0 reads the latest."""
        with self._changed:
            self._read_lag = revisions

    def lapse_leases(self) -> None:
        """Expires every lease of the store now."""
        with self._changed:
            self._state.lapse_leases()
            self._changed.notify_all()

    def cut_watches(self) -> None:
        """Breaks every open watch, as a lost connection would."""
        with self._changed:
            for watch in list(self._watches):
                watch.cut()

    def redeliver(self, revisions: int) -> None:
        """Tells every open watch the last changes again."""
        with self._changed:
            for watch in self._watches:
                watch.step_back(revisions)

    def compact(self, keep: int) -> None:
        """Forgets all but the store's latest changes."""
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
        """Reads some of the keys that start with a prefix."""
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
        """Starts a lease's time to live again."""
        return self._write(lambda: self._state.keep_alive(lease_id))

    def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Ends a lease and deletes its keys."""
        return self._write(lambda: self._state.revoke_lease(lease_id))

    def watch(
        self, prefix: str, from_revision: int
    ) -> Result[MemoryWatch, StoreError]:
        """Watches a prefix from a revision on, that one included."""
        with self._changed:
            if self._is_down:
                return self._counter.record(Failure(_refused()))
            watch = MemoryWatch(
                changed=self._changed,
                state=self._state,
                prefix=prefix,
                from_revision=from_revision,
                on_end=self._forget_watch,
            )
            self._watches.add(watch)
            self._counter.count(watches_opened=1, watches_waiting=1)
            return Success(watch)

    def _read(self, effect: Callable[[], _T]) -> Result[_T, StoreError]:
        self._counter.count(reads=1)
        return self._call(lambda: Success(effect()))

    def _write(
        self, effect: Callable[[], Result[_T, StoreError]]
    ) -> Result[_T, StoreError]:
        self._counter.count(writes=1)
        return self._call(effect)

    def _call(
        self, effect: Callable[[], Result[_T, StoreError]]
    ) -> Result[_T, StoreError]:
        """Runs one call under the faults in force."""
        with self._changed:
            if self._is_down:
                return self._counter.record(Failure(_refused()))
            delay_ms = self._delay_ms
        if delay_ms:
            self._sleep_ms(min(delay_ms, self._timeout_ms))
        with self._changed:
            self._state.expire_leases()
            result = effect()
            self._changed.notify_all()
            if delay_ms > self._timeout_ms:
                result = Failure(_lost("timeout"))
            elif self._replies_to_lose:
                self._replies_to_lose -= 1
                result = Failure(_lost("connection reset"))
            return self._counter.record(result)

    def _entry(self, key: str) -> Entry | None:
        if not self._read_lag:
            return self._state.history.get(key)
        listing = self._state.history.list_prefix(key, self._read_revision())
        matches = (entry for entry in listing.entries if entry.key == key)
        return next(matches, None)

    def _read_revision(self) -> int:
        return max(self._state.history.revision - self._read_lag, 0)

    def _forget_watch(self, watch: MemoryWatch) -> None:
        self._watches.discard(watch)
        self._counter.count(watches_waiting=-1)


def _refused() -> StoreError:
    return UnavailableError(detail="connection refused")


def _lost(cause: str) -> StoreError:
    return OutcomeUnknownError(detail=f"the reply was lost: {cause}")


def memory_store(
    clock: Clock,
    *,
    sleep_ms: Callable[[int], None] = lambda _: None,
    timeout_ms: int = _DEFAULT_TIMEOUT_MS,
    max_changes: int = _DEFAULT_MAX_CHANGES,
) -> MemoryStore:
    """Creates an empty store in memory and its first client.

    Args:
        clock: Times the leases.
        sleep_ms: How a slow store passes its delay; by default no time passes.
        timeout_ms: A delay above this loses the reply after the effect.
        max_changes: Changes kept for watches and reads of older revisions.
    """
    return MemoryStore(
        changed=threading.Condition(),
        state=StoreState(clock, max_changes),
        sleep_ms=sleep_ms,
        timeout_ms=timeout_ms,
    )

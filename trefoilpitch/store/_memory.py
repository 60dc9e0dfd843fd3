"""A store in memory with controls for the failures of the real one."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable
from types import TracebackType
from typing import Self, TypeVar

from returns.result import Failure, Result, Success

from trefoilpitch.clock import Clock
from trefoilpitch.store._exceptions import (
    CompactedError,
    ConflictError,
    LeaseNotFoundError,
    NotAppliedError,
    OutcomeUnknownError,
    StoreError,
    UnavailableError,
    WatchClosedError,
)
from trefoilpitch.store._history import History
from trefoilpitch.store._types import (
    ABSENT,
    MAX_VALUE_BYTES,
    NO_LEASE,
    Entry,
    Lease,
    Listing,
    StoreCounters,
    WatchBatch,
)

_DEFAULT_TIMEOUT_MS = 1_000
_DEFAULT_MAX_CHANGES = 10_000
_MS_PER_S = 1_000

_T = TypeVar("_T")


@dataclasses.dataclass(slots=True)
class _LeaseState:
    """A lease that has not expired."""

    # The granted time to live.
    ttl_ms: int
    # When it expires on the store's clock.
    expires_ms: int


class MemoryStore:
    """A thread-safe store in memory.

    Leases expire by the injected clock, at the next call or while a watch
    waits. Without threads, call `Watch.receive(0)`.

    Args:
        clock: Times the leases.
        sleep_ms: How a slow store passes its delay; by default no time passes.
        timeout_ms: A delay above this loses the reply after the effect.
        max_changes: Changes kept for watches and reads of older revisions.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        sleep_ms: Callable[[int], None],
        timeout_ms: int,
        max_changes: int,
    ) -> None:
        self._clock = clock
        self._sleep_ms = sleep_ms
        self._timeout_ms = timeout_ms
        self._changed = threading.Condition()
        self._history = History(max_changes)
        self._leases: dict[int, _LeaseState] = {}
        self._last_lease_id = 0
        self._watches: set[_MemoryWatch] = set()
        self._counters = StoreCounters()
        self._down = False
        self._delay_ms = 0
        self._replies_to_lose = 0
        self._read_lag = 0

    @property
    def counters(self) -> StoreCounters:
        """The calls so far."""
        with self._changed:
            return self._counters

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        with self._changed:
            return self._history.revision

    def set_down(self, down: bool) -> None:
        """Refuses every call, and cuts the open watches, while down."""
        with self._changed:
            self._down = down
            self._changed.notify_all()

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
        """Expires every lease now."""
        with self._changed:
            for lease_id in list(self._leases):
                self._end_lease(lease_id)

    def cut_watches(self) -> None:
        """Breaks every open watch, as a lost connection would."""
        with self._changed:
            for watch in list(self._watches):
                watch.cut()
            self._changed.notify_all()

    def redeliver(self, revisions: int) -> None:
        """Tells every open watch the last changes again."""
        with self._changed:
            for watch in self._watches:
                watch.step_back(revisions)
            self._changed.notify_all()

    def compact(self, keep: int) -> None:
        """Forgets all but the latest changes."""
        with self._changed:
            self._history.compact(keep)
            self._changed.notify_all()

    def get(self, key: str) -> Result[Entry | None, StoreError]:
        """Reads one key; None if it is absent."""
        return self._call(lambda: self._get(key), is_write=False)

    def list_prefix(self, prefix: str) -> Result[Listing, StoreError]:
        """Reads every key that starts with a prefix at one revision."""
        return self._call(lambda: self._list_prefix(prefix), is_write=False)

    def put_if(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: int = NO_LEASE,
    ) -> Result[int, StoreError]:
        """Writes a key if its revision is the expected one."""
        return self._call(
            lambda: self._put_if(key, value, expected_revision, lease_id),
            is_write=True,
        )

    def delete_if(
        self, key: str, expected_revision: int
    ) -> Result[int, StoreError]:
        """Deletes a key if its revision is the expected one."""
        return self._call(
            lambda: self._delete_if(key, expected_revision), is_write=True
        )

    def grant_lease(self, ttl_ms: int) -> Result[Lease, StoreError]:
        """Grants a lease."""
        return self._call(lambda: self._grant_lease(ttl_ms), is_write=True)

    def keep_alive(self, lease_id: int) -> Result[Lease, StoreError]:
        """Starts a lease's time to live again."""
        return self._call(lambda: self._keep_alive(lease_id), is_write=True)

    def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Ends a lease and deletes its keys."""
        return self._call(lambda: self._revoke_lease(lease_id), is_write=True)

    def watch(
        self, prefix: str, from_revision: int
    ) -> Result[_MemoryWatch, StoreError]:
        """Watches a prefix from a revision on, that one included."""
        with self._changed:
            if self._down:
                return self._counted(Failure(_refused()))
            watch = _MemoryWatch(self, prefix, from_revision)
            self._watches.add(watch)
            self._count(watches_opened=1, watches_waiting=1)
            return Success(watch)

    def _call(
        self, effect: Callable[[], Result[_T, StoreError]], *, is_write: bool
    ) -> Result[_T, StoreError]:
        """Runs one call under the faults in force."""
        with self._changed:
            self._count(reads=not is_write, writes=is_write)
            if self._down:
                return self._counted(Failure(_refused()))
            delay_ms = self._delay_ms
        if delay_ms:
            self._sleep_ms(min(delay_ms, self._timeout_ms))
        with self._changed:
            self._expire_leases()
            result = effect()
            if is_write:
                self._changed.notify_all()
            if delay_ms > self._timeout_ms:
                result = Failure(_lost("timeout"))
            elif self._replies_to_lose:
                self._replies_to_lose -= 1
                result = Failure(_lost("connection reset"))
            return self._counted(result)

    def _counted(
        self, result: Result[_T, StoreError]
    ) -> Result[_T, StoreError]:
        match result:
            case Failure(ConflictError()):
                self._count(conflicts=1)
            case Failure(OutcomeUnknownError()):
                self._count(outcome_unknown=1)
            case Failure(_):
                self._count(not_applied=1)
        return result

    def _count(self, **increments: int) -> None:
        self._counters = dataclasses.replace(
            self._counters,
            **{
                name: getattr(self._counters, name) + increment
                for name, increment in increments.items()
            },
        )

    def _get(self, key: str) -> Result[Entry | None, StoreError]:
        if not self._read_lag:
            return Success(self._history.get(key))
        listing = self._history.list_prefix(key, self._read_revision())
        entries = {entry.key: entry for entry in listing.entries}
        return Success(entries.get(key))

    def _list_prefix(self, prefix: str) -> Result[Listing, StoreError]:
        return Success(self._history.list_prefix(prefix, self._read_revision()))

    def _read_revision(self) -> int:
        return max(self._history.revision - self._read_lag, 0)

    def _put_if(
        self, key: str, value: bytes, expected_revision: int, lease_id: int
    ) -> Result[int, StoreError]:
        if len(value) > MAX_VALUE_BYTES:
            return Failure(
                NotAppliedError(detail=f"{len(value)} bytes is too big")
            )
        if lease_id != NO_LEASE and lease_id not in self._leases:
            return Failure(_no_lease(lease_id))
        conflict = self._compare(key, expected_revision)
        if conflict is not None:
            return Failure(conflict)
        return Success(self._history.put(key, value, lease_id))

    def _delete_if(
        self, key: str, expected_revision: int
    ) -> Result[int, StoreError]:
        conflict = self._compare(key, expected_revision)
        if conflict is not None:
            return Failure(conflict)
        if expected_revision == ABSENT:
            return Success(self._history.revision)
        return Success(self._history.delete(key))

    def _compare(
        self, key: str, expected_revision: int
    ) -> ConflictError | None:
        entry = self._history.get(key)
        current_revision = ABSENT if entry is None else entry.revision
        if current_revision == expected_revision:
            return None
        return ConflictError(
            detail=f"{key} is at {current_revision}, not {expected_revision}",
            current_revision=current_revision,
        )

    def _grant_lease(self, ttl_ms: int) -> Result[Lease, StoreError]:
        self._last_lease_id += 1
        expires_ms = self._clock.now_ms() + ttl_ms
        self._leases[self._last_lease_id] = _LeaseState(ttl_ms, expires_ms)
        return Success(Lease(lease_id=self._last_lease_id, ttl_ms=ttl_ms))

    def _keep_alive(self, lease_id: int) -> Result[Lease, StoreError]:
        state = self._leases.get(lease_id)
        if state is None:
            return Failure(_no_lease(lease_id))
        state.expires_ms = self._clock.now_ms() + state.ttl_ms
        return Success(Lease(lease_id=lease_id, ttl_ms=state.ttl_ms))

    def _revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        if lease_id not in self._leases:
            return Failure(_no_lease(lease_id))
        self._end_lease(lease_id)
        return Success(None)

    def _expire_leases(self) -> None:
        now_ms = self._clock.now_ms()
        for lease_id, state in list(self._leases.items()):
            if state.expires_ms <= now_ms:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        del self._leases[lease_id]
        for key in self._history.keys_of_lease(lease_id):
            self._history.delete(key)
        self._changed.notify_all()

    def _wait_ms(self, remaining_ms: int) -> int:
        """Returns how long a watch may wait before a lease expires."""
        now_ms = self._clock.now_ms()
        expiries = (state.expires_ms for state in self._leases.values())
        until_expiry_ms = min(expiries, default=now_ms + remaining_ms) - now_ms
        return max(min(remaining_ms, until_expiry_ms), 1)


class _MemoryWatch:
    """A watch of a `MemoryStore`."""

    def __init__(
        self, store: MemoryStore, prefix: str, from_revision: int
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._next_revision = max(from_revision, 1)
        self._ended: StoreError | None = None

    def receive(self, timeout_ms: int) -> Result[WatchBatch, StoreError]:
        """Waits for changes; see `Watch.receive`."""
        store = self._store
        remaining_ms = timeout_ms
        with store._changed:
            while True:
                result = self._take()
                if result is not None:
                    return result
                if remaining_ms <= 0:
                    return Success(WatchBatch(revision=self._next_revision - 1))
                wait_ms = store._wait_ms(remaining_ms)
                notified = store._changed.wait(wait_ms / _MS_PER_S)
                remaining_ms -= 0 if notified else wait_ms

    def cancel(self) -> None:
        """Ends the watch from any thread."""
        self._end(WatchClosedError(detail="the watch was cancelled"))

    def cut(self) -> None:
        """Breaks the watch as a lost connection would."""
        self._end(OutcomeUnknownError(detail="the watch's connection was lost"))

    def step_back(self, revisions: int) -> None:
        """Has the last changes told again."""
        self._next_revision = max(self._next_revision - revisions, 1)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.cancel()

    def _take(self) -> Result[WatchBatch, StoreError] | None:
        """Returns what there is to tell, if anything."""
        store = self._store
        store._expire_leases()
        if store._down:
            self.cut()
        if self._ended is not None:
            return Failure(self._ended)
        history = store._history
        if self._next_revision < history.oldest_watchable:
            compacted = CompactedError(
                detail="the changes are no longer kept",
                oldest_revision=history.oldest_watchable,
            )
            self._end(compacted)
            return Failure(compacted)
        events = history.events_from(self._next_revision, self._prefix)
        self._next_revision = max(self._next_revision, history.revision + 1)
        if not events:
            return None
        return Success(WatchBatch(events=events, revision=history.revision))

    def _end(self, reason: StoreError) -> None:
        store = self._store
        with store._changed:
            if self._ended is not None:
                return
            self._ended = reason
            store._watches.discard(self)
            store._count(watches_waiting=-1)
            store._changed.notify_all()


def _refused() -> StoreError:
    return UnavailableError(detail="connection refused")


def _lost(cause: str) -> StoreError:
    return OutcomeUnknownError(detail=f"the reply was lost: {cause}")


def _no_lease(lease_id: int) -> StoreError:
    return LeaseNotFoundError(detail=f"lease {lease_id} does not exist")


def memory_store(
    clock: Clock,
    *,
    sleep_ms: Callable[[int], None] = lambda _: None,
    timeout_ms: int = _DEFAULT_TIMEOUT_MS,
    max_changes: int = _DEFAULT_MAX_CHANGES,
) -> MemoryStore:
    """Creates an empty store in memory."""
    return MemoryStore(
        clock=clock,
        sleep_ms=sleep_ms,
        timeout_ms=timeout_ms,
        max_changes=max_changes,
    )

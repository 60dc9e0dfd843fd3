"""Actors that wait for the store on behalf of a replica."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import pykka
from returns.result import Failure, Result

from trefoilpitch.clock import Clock
from trefoilpitch.configuration._head import HEAD_KEY
from trefoilpitch.configuration.replication._events import (
    HeadRead,
    HeadReadFailed,
    HeadWatched,
    ReadHead,
    ReadSnapshot,
    ReplicaEvent,
    SnapshotRead,
    SnapshotReadFailed,
    StartWatch,
    StopWatch,
    WatchEnded,
)
from trefoilpitch.store import (
    EventKind,
    KeyValueStore,
    Listing,
    StoreError,
    Watch,
)

_WATCH_TIMEOUT_MS = 1_000


class StoreReadActor(pykka.ThreadingActor):
    """Carries out ``ReadHead`` and ``ReadSnapshot``.

    Args:
        store: The platform's key-value service.
        clock: Tells when a read is sent.
        report: Takes the outcome of each read.
    """

    def __init__(
        self,
        store: KeyValueStore,
        clock: Clock,
        report: Callable[[ReplicaEvent], None],
    ) -> None:
        super().__init__()
        self._store = store
        self._clock = clock
        self._report = report

    def on_receive(self, message: object) -> None:
        """Reads what is asked for; other messages are ignored."""
        if isinstance(message, ReadHead):
            self._report(self._read_head())
        elif isinstance(message, ReadSnapshot):
            self._report(self._read_snapshot(message))

    def _read_head(self) -> ReplicaEvent:
        sent_ms = self._clock.now_ms()
        read = self._store.get(HEAD_KEY)
        if isinstance(read, Failure):
            return HeadReadFailed()
        entry = read.unwrap()
        return HeadRead(value=entry.value if entry else None, sent_ms=sent_ms)

    def _read_snapshot(self, request: ReadSnapshot) -> ReplicaEvent:
        read = self._store.get(request.ref.key)
        if isinstance(read, Failure):
            return SnapshotReadFailed()
        entry = read.unwrap()
        return SnapshotRead(
            ref=request.ref, value=entry.value if entry else None
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Receive:
    """Tells the actor to wait for the watch once more."""

    # The watch; one that was replaced is not waited for again.
    watch: Watch


class HeadWatchActor(pykka.ThreadingActor):
    """Carries out ``StartWatch`` and ``StopWatch``.

    Args:
        store: The platform's key-value service.
        report: Takes what the watch tells, and its end.
    """

    def __init__(
        self, store: KeyValueStore, report: Callable[[ReplicaEvent], None]
    ) -> None:
        super().__init__()
        self._store = store
        self._report = report
        self._watch: Watch | None = None

    def on_start(self) -> None:
        """Tells the replica that no watch is open, as after a restart."""
        self._report(WatchEnded())

    def on_stop(self) -> None:
        """Ends the watch."""
        self._cancel()

    def on_failure(self, *_: object) -> None:
        """Ends the watch."""
        self._cancel()

    def on_receive(self, message: object) -> None:
        """Opens, waits for or ends the watch."""
        if isinstance(message, StartWatch):
            self._open()
        elif isinstance(message, StopWatch):
            self._cancel()
        elif isinstance(message, _Receive) and message.watch is self._watch:
            self._receive(message.watch)

    def _open(self) -> None:
        self._cancel()
        opened = self._store.list_prefix(HEAD_KEY).bind(self._watch_from)
        if isinstance(opened, Failure):
            self._report(WatchEnded())
            return
        self._watch = opened.unwrap()
        self._receive_later(self._watch)

    def _watch_from(self, listing: Listing) -> Result[Watch, StoreError]:
        for entry in listing.entries:
            if entry.key == HEAD_KEY:
                self._report(HeadWatched(entry.value))
        return self._store.watch(HEAD_KEY, listing.revision + 1)

    def _receive(self, watch: Watch) -> None:
        batch = watch.receive(_WATCH_TIMEOUT_MS)
        if isinstance(batch, Failure):
            self._cancel()
            self._report(WatchEnded())
            return
        for event in batch.unwrap().events:
            if event.key == HEAD_KEY and event.kind is EventKind.PUT:
                self._report(HeadWatched(event.value))
        self._receive_later(watch)

    def _receive_later(self, watch: Watch) -> None:
        # Through the inbox, so that a stop gets its turn.
        self.actor_ref.tell(_Receive(watch))

    def _cancel(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

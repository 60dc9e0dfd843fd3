"""A watch over etcd's streamed JSON."""

from __future__ import annotations

import contextlib
import queue
import threading
from collections.abc import Iterator
from types import TracebackType
from typing import Self

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from trefoilpitch.store import _wire as wire
from trefoilpitch.store._counting import CallCounter
from trefoilpitch.store._exceptions import (
    CompactedError,
    OutcomeUnknownError,
    StoreError,
    WatchClosedError,
)
from trefoilpitch.store._types import EventKind, WatchBatch, WatchEvent

_MS_PER_S = 1_000
# Messages read ahead of the consumer; the stream's flow control does the rest.
_MAX_QUEUED = 16
_PUT_POLL_S = 0.1


class EtcdWatch:
    """Reads a watch's stream on a thread of its own.

    Args:
        response: The open stream.
        from_revision: The first revision watched.
        counter: Told of the watch while it is open.
    """

    def __init__(
        self,
        response: urllib3.BaseHTTPResponse,
        from_revision: int,
        counter: CallCounter,
    ) -> None:
        self._counter = counter
        counter.count(watches_opened=1, watches_waiting=1)
        self._response = response
        self._revision = from_revision - 1
        self._results: queue.Queue[Result[WatchBatch, StoreError]] = (
            queue.Queue(_MAX_QUEUED)
        )
        self._cancelled = threading.Event()
        self._ended: StoreError | None = None
        self._reader = threading.Thread(
            target=self._read, name="etcd-watch", daemon=True
        )
        self._reader.start()

    def receive(self, timeout_ms: int) -> Result[WatchBatch, StoreError]:
        """Waits for changes; see `Watch.receive`."""
        if self._ended is not None:
            return Failure(self._ended)
        try:
            if timeout_ms > 0:
                result = self._results.get(timeout=timeout_ms / _MS_PER_S)
            else:
                result = self._results.get_nowait()
        except queue.Empty:
            return Success(WatchBatch(revision=self._revision))
        match result:
            case Success(batch):
                self._revision = max(self._revision, batch.revision)
            case Failure(reason):
                self._ended = reason
        return result

    def cancel(self) -> None:
        """Ends the watch from any thread; a waiting `receive` returns."""
        if self._cancelled.is_set():
            return
        self._cancelled.set()
        # The reader may have closed the stream already.
        with contextlib.suppress(ValueError, OSError):
            self._response.shutdown()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.cancel()
        self._reader.join()

    def _read(self) -> None:
        """Queues every message of the stream, then why it ended."""
        reason: StoreError = OutcomeUnknownError(detail="the stream ended")
        try:
            for line in _lines(self._response):
                message = msgspec.json.decode(line, type=wire.WatchMessage)
                result = _batch_of(message.result)
                if not self._queue(result):
                    break
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            reason = OutcomeUnknownError(detail=str(error))
        finally:
            self._response.close()
            self._response.release_conn()
            self._counter.count(watches_waiting=-1)
        if self._cancelled.is_set():
            reason = WatchClosedError(detail="the watch was cancelled")
        self._queue(Failure(reason), force=True)

    def _queue(
        self, result: Result[WatchBatch, StoreError], *, force: bool = False
    ) -> bool:
        """Queues a result unless the watch is cancelled meanwhile."""
        while force or not self._cancelled.is_set():
            try:
                self._results.put(result, timeout=_PUT_POLL_S)
            except queue.Full:
                if self._cancelled.is_set():
                    self._drop_one()
            else:
                return True
        return False

    def _drop_one(self) -> None:
        """Makes room for the last result when nobody reads the others."""
        with contextlib.suppress(queue.Empty):
            self._results.get_nowait()


def _lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Splits the stream into the messages that have arrived whole."""
    pending = bytearray()
    for chunk in response.stream():
        pending += chunk
        if b"\n" not in chunk:
            continue
        *lines, rest = bytes(pending).split(b"\n")
        pending = bytearray(rest)
        yield from (line for line in lines if line)


def _batch_of(response: wire.WatchResponse) -> Result[WatchBatch, StoreError]:
    if int(response.compact_revision):
        return Failure(
            CompactedError(
                detail="the changes are no longer kept",
                oldest_revision=int(response.compact_revision),
            )
        )
    if response.canceled:
        return Failure(OutcomeUnknownError(detail="the store ended the watch"))
    events = tuple(_event_of(event) for event in response.events)
    return Success(
        WatchBatch(events=events, revision=_told_revision(response, events))
    )


def _told_revision(
    response: wire.WatchResponse, events: tuple[WatchEvent, ...]
) -> int:
    """Returns the revision up to which changes have been told.

    A reply with changes carries the store's revision, which may be ahead of
    the changes while the watch catches up. Only a progress notification tells
    of changes up to its own revision.
    """
    if events:
        return events[-1].revision
    return 0 if response.created else int(response.header.revision)


def _event_of(event: wire.Event) -> WatchEvent:
    is_delete = event.type == wire.DELETE_TYPE
    return WatchEvent(
        kind=EventKind.DELETE if is_delete else EventKind.PUT,
        key=event.kv.key.decode(),
        value=event.kv.value,
        revision=int(event.kv.mod_revision),
    )

"""A watch that reads the JSON stream of etcd's gateway."""

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
# Messages buffered for the consumer; beyond that, TCP flow control slows down
# the sender.
_MAX_QUEUED = 16
# How often a reader that waits for space in the queue checks for a cancel.
_PUT_POLL_S = 0.1


class EtcdWatch:
    """Reads the stream of a watch on a dedicated thread.

    Args:
        response: The response, whose body is the stream.
        from_revision: The first revision watched.
        counter: Counts the watch as open until the stream has ended.
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
        self._end_reason: StoreError | None = None
        self._reader = threading.Thread(
            target=self._read, name="etcd-watch", daemon=True
        )
        self._reader.start()

    def receive(self, timeout_ms: int) -> Result[WatchBatch, StoreError]:
        """Waits for changes; see `Watch.receive`."""
        if self._end_reason is not None:
            return Failure(self._end_reason)
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
                self._end_reason = reason
        return result

    def cancel(self) -> None:
        """Ends the watch, from any thread; a blocked `receive` returns."""
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
        """Queues every message of the stream, then the reason it ended."""
        reason: StoreError = OutcomeUnknownError(
            detail="the watch's stream ended"
        )
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
        """Queues a result; gives up if the watch is cancelled while it waits.

        Args:
            result: The result.
            force: Whether to queue it even then, in place of an older result.
        """
        while force or not self._cancelled.is_set():
            try:
                self._results.put(result, timeout=_PUT_POLL_S)
            except queue.Full:
                if self._cancelled.is_set():
                    self._discard_oldest()
            else:
                return True
        return False

    def _discard_oldest(self) -> None:
        """Frees a slot for the last result once the queue is not read."""
        with contextlib.suppress(queue.Empty):
            self._results.get_nowait()


def _lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yields the lines of the stream that have arrived completely."""
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
                detail="the changes have been compacted",
                oldest_revision=int(response.compact_revision),
            )
        )
    if response.canceled:
        return Failure(
            OutcomeUnknownError(detail="the store cancelled the watch")
        )
    events = tuple(_event_of(event) for event in response.events)
    return Success(
        WatchBatch(
            events=events, revision=_delivered_revision(response, events)
        )
    )


def _delivered_revision(
    response: wire.WatchResponse, events: tuple[WatchEvent, ...]
) -> int:
    """Returns the revision up to which all changes have been delivered.

    The header of a response with changes has the store's revision, which may
    be ahead of the changes delivered while the watch catches up. Only the
    header of a progress notification confirms delivery up to its revision.
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

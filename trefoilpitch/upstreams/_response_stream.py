"""An answer as it arrives from an engine."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from types import TracebackType
from typing import Protocol, Self

from trefoilpitch.upstreams._exceptions import (
    IncompleteReplyError,
    UpstreamError,
)
from trefoilpitch.upstreams._exchange import Exchange
from trefoilpitch.upstreams._response_events import ResponseDecoder
from trefoilpitch.upstreams._sse import SseDecoder, SseFormatError
from trefoilpitch.upstreams._stats import OutcomeCounter
from trefoilpitch.upstreams._types import Chunk, Finish


class ResponseStream(Protocol):
    """Chunks in order, then exactly one finish.

    Iterating raises ``UpstreamError`` when the answer breaks off, so that a
    partial answer cannot be taken for a whole one. One thread iterates; any
    thread may cancel. Leaving the context before the finish drops the
    connection, upon which the engine cancels the answer after a grace period.
    """

    def __enter__(self) -> Self: ...

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None: ...

    def __iter__(self) -> Iterator[Chunk | Finish]: ...

    def cancel(self) -> None:
        """Ends the iteration with ``CancelledError``; from any thread."""


class HttpResponseStream:
    """An answer that arrives as server-sent events.

    Args:
        exchange: The exchange, with the headers read.
        decoder: Checks the events.
        upstream: The upstream's name.
        outcomes: Counts how the answer ends.
    """

    def __init__(
        self,
        exchange: Exchange,
        decoder: ResponseDecoder,
        upstream: str,
        outcomes: OutcomeCounter,
    ) -> None:
        self._exchange = exchange
        self._decoder = decoder
        self._upstream = upstream
        self._outcomes = outcomes
        self._events = self._iterate()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._events.close()
        self._exchange.close()

    def __iter__(self) -> Iterator[Chunk | Finish]:
        return self._events

    def cancel(self) -> None:
        """Ends the iteration with ``CancelledError``; from any thread."""
        self._exchange.cancel()

    def _iterate(self) -> Generator[Chunk | Finish, None, None]:
        try:
            yield from self._read()
        except UpstreamError as error:
            self._outcomes.record_failure(error)
            raise

    def _read(self) -> Iterator[Chunk | Finish]:
        sse = SseDecoder()
        finish: Finish | None = None
        for data in self._exchange.read():
            for item in self._decode(sse, data):
                if isinstance(item, Finish):
                    finish = item
                else:
                    yield item
        if finish is None:
            raise IncompleteReplyError(
                self._upstream, "the answer has no end marker"
            )
        self._outcomes.record_success()
        yield finish

    def _decode(self, sse: SseDecoder, data: bytes) -> list[Chunk | Finish]:
        try:
            events = sse.feed(data)
        except SseFormatError as error:
            raise IncompleteReplyError(self._upstream, str(error)) from error
        items = [self._decoder.decode_event(event) for event in events]
        return [item for item in items if item is not None]


def collect(stream: ResponseStream) -> tuple[list[Chunk], Finish]:
    """Reads a stream to its end.

    Raises:
        UpstreamError: If the answer breaks off.
    """
    chunks: list[Chunk] = []
    for item in stream:
        if isinstance(item, Finish):
            return chunks, item
        chunks.append(item)
    raise IncompleteReplyError("unknown", "the stream has no finish")

"""Streamed responses of engines."""

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
    """A stream of chunks in order, ending with exactly one finish.

    Iterating raises ``UpstreamError`` when the response is truncated, so that
    a partial response cannot be mistaken for a complete one. One thread
    iterates; any thread may cancel. Leaving the context before the finish
    closes the connection, and the engine cancels the run after a grace period.
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
    """A response that is streamed as server-sent events.

    Args:
        exchange: The exchange, with the response headers read.
        decoder: Decodes and validates the events.
        upstream: The upstream's name.
        outcomes: Counts the response's outcome.
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
                self._upstream, "response ended without [DONE]"
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
        UpstreamError: If the response is truncated or invalid.
    """
    chunks: list[Chunk] = []
    for item in stream:
        if isinstance(item, Finish):
            return chunks, item
        chunks.append(item)
    raise IncompleteReplyError("unknown", "response ended without a finish")

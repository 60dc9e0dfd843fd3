"""Runs of a model version, to completion or streamed chunk by chunk."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from returns.result import Failure, Result, Success

from trefoilpitch.serving._directory import Slot
from trefoilpitch.upstreams import (
    Cancellation,
    CancelledError,
    Chunk,
    CompletionRequest,
    Finish,
    IncompleteReplyError,
    ResponseStream,
    UpstreamError,
)

# Per run, after lost connections to its engine.
MAX_RESUMPTIONS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class CompletedRun:
    """A run with a complete response."""

    # In order.
    chunks: tuple[Chunk, ...]
    # The finish reason, the token counts and the confidence.
    finish: Finish


class StreamingRun:
    """A run whose chunks are delivered as they are received.

    When the connection is lost, the stream is resumed on the same engine,
    which stores the response. It is never generated again, because another
    generation could contradict the chunks that were delivered.

    Args:
        slot: The slot on the engine; closed with the run.
        request: The request that runs.
        cancellation: Cancels the run, also after it was resumed.
        stream: The stream of chunks, which the run now owns.
        items: Iterates over the stream's items from the second one.
        first: The first item, which was read to check that the run started.
    """

    def __init__(
        self,
        slot: Slot,
        request: CompletionRequest,
        cancellation: Cancellation,
        *,
        stream: ResponseStream,
        items: Iterator[Chunk | Finish],
        first: Chunk | Finish,
    ) -> None:
        self._slot = slot
        self._request = request
        self._cancellation = cancellation
        self._stream = stream
        self._items = items
        self._first = first
        self._next_index = 0
        self._resumptions = 0

    @property
    def upstream(self) -> str:
        """Name of the engine."""
        return self._slot.upstream.name

    def items(self) -> Iterator[Chunk | Finish]:
        """Yields the chunks and then the finish.

        Raises:
            UpstreamError: If the response was truncated and can't be resumed.
        """
        source = self._with_first()
        while True:
            try:
                yield from self._checked(source)
                return
            except UpstreamError as error:
                source = iter(self._resume_after(error))

    def close(self) -> None:
        """Closes the stream and the slot; the engine cancels the rest."""
        self._stream.__exit__(None, None, None)
        self._slot.close()

    def _with_first(self) -> Iterator[Chunk | Finish]:
        yield self._first
        if isinstance(self._first, Chunk):
            yield from self._items

    def _checked(
        self, source: Iterator[Chunk | Finish]
    ) -> Iterator[Chunk | Finish]:
        for item in source:
            if isinstance(item, Chunk):
                self._next_index = item.index + 1
            else:
                # Before the yield, because the consumer closes the run as soon
                # as it has received the finish.
                self._slot.succeed()
            yield item

    def _resume_after(self, error: UpstreamError) -> ResponseStream:
        is_cancelled = isinstance(error, CancelledError)
        if is_cancelled or self._resumptions >= MAX_RESUMPTIONS:
            self._slot.fail(error)
            raise error
        self._resumptions += 1
        self._stream.__exit__(None, None, None)
        resumed = self._slot.engine.resume(
            self._request.request_id,
            self._request.version,
            after_index=self._next_index - 1,
            deadline_ms=self._request.deadline_ms,
            cancellation=self._cancellation,
        )
        if not isinstance(resumed, Success):
            self._slot.fail(error)
            raise error
        self._stream = resumed.unwrap()
        return self._stream


def start_streaming(
    slot: Slot, request: CompletionRequest, cancellation: Cancellation
) -> Result[StreamingRun, UpstreamError]:
    """Starts a run and waits for the first chunk.

    Args:
        slot: The slot on the engine.
        request: The request to run.
        cancellation: Cancels the run.
    """
    request = dataclasses.replace(
        request, upstream_incarnation=slot.upstream_incarnation
    )
    opened = slot.engine.start(request, cancellation)
    if not isinstance(opened, Success):
        return Failure(opened.failure())
    stream = opened.unwrap()
    items = iter(stream)
    try:
        first = next(items, None)
    except UpstreamError as error:
        stream.__exit__(None, None, None)
        return Failure(error)
    if first is None:
        stream.__exit__(None, None, None)
        name = slot.upstream.name
        return Failure(IncompleteReplyError(name, "the response is empty"))
    slot.record_first_chunk()
    return Success(
        StreamingRun(
            slot,
            request,
            cancellation,
            stream=stream,
            items=items,
            first=first,
        )
    )


def run_to_completion(
    slot: Slot,
    request: CompletionRequest,
    cancellation: Cancellation,
    chunks: list[Chunk],
) -> Result[CompletedRun, UpstreamError]:
    """Runs a request to completion before any chunk is delivered.

    Args:
        slot: The slot on the engine.
        request: The request to run.
        cancellation: Cancels the run.
        chunks: The list to which chunks are appended as they are received;
            keeps those of a run that fails.
    """
    started = start_streaming(slot, request, cancellation)
    if not isinstance(started, Success):
        return Failure(started.failure())
    run = started.unwrap()
    try:
        for item in run.items():
            if isinstance(item, Chunk):
                chunks.append(item)
            else:
                return Success(CompletedRun(tuple(chunks), item))
    except UpstreamError as error:
        return Failure(error)
    finally:
        run.close()
    name = slot.upstream.name
    return Failure(IncompleteReplyError(name, "the response has no end"))

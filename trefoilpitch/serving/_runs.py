"""Single runs of a model version: whole, or part by part."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from returns.result import Failure, Result, Success

from trefoilpitch.serving._directory import Slot
from trefoilpitch.upstreams import (
    AnswerStream,
    Cancellation,
    CancelledError,
    Chunk,
    CompletionRequest,
    Finish,
    IncompleteReplyError,
    UpstreamError,
)

MAX_RESUMPTIONS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class CompletedRun:
    """A run that gave its whole answer."""

    # The answer's parts, in order.
    chunks: tuple[Chunk, ...]
    # How it ended.
    finish: Finish


class StreamingRun:
    """A run whose parts are delivered as they come.

    When the connection breaks, the run is taken up again on the same engine,
    which holds the answer; what was delivered is never contradicted.

    Args:
        slot: The place on the engine; closed with the run.
        request: What runs.
        cancellation: Cancels the run, also when it is taken up again.
        stream: The stream of parts; owned from here on.
        parts: Iterates over the stream's parts from its second one.
        first: The first part, which was read to see that the run began.
    """

    def __init__(
        self,
        slot: Slot,
        request: CompletionRequest,
        cancellation: Cancellation,
        *,
        stream: AnswerStream,
        parts: Iterator[Chunk | Finish],
        first: Chunk | Finish,
    ) -> None:
        self._slot = slot
        self._request = request
        self._cancellation = cancellation
        self._stream = stream
        self._parts = parts
        self._first = first
        self._next_index = 0
        self._resumptions = 0

    @property
    def upstream(self) -> str:
        """The engine's name."""
        return self._slot.upstream.name

    def items(self) -> Iterator[Chunk | Finish]:
        """Yields the parts and then the finish.

        Raises:
            UpstreamError: If the answer broke off and is held nowhere.
        """
        source = self._with_first()
        while True:
            try:
                yield from self._checked(source)
                return
            except UpstreamError as error:
                source = iter(self._resume(error))

    def close(self) -> None:
        """Ends the run; the engine cancels what it has not generated."""
        self._stream.__exit__(None, None, None)
        self._slot.close()

    def _with_first(self) -> Iterator[Chunk | Finish]:
        yield self._first
        if isinstance(self._first, Chunk):
            yield from self._parts

    def _checked(
        self, source: Iterator[Chunk | Finish]
    ) -> Iterator[Chunk | Finish]:
        for item in source:
            if isinstance(item, Chunk):
                self._next_index = item.index + 1
            else:
                # The consumer closes the run as soon as it has the finish.
                self._slot.succeed()
            yield item

    def _resume(self, error: UpstreamError) -> AnswerStream:
        is_over = isinstance(error, CancelledError)
        if is_over or self._resumptions >= MAX_RESUMPTIONS:
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
    """Starts a run and waits for its first part.

    Args:
        slot: The place on the engine.
        request: What runs.
        cancellation: Cancels the run.
    """
    request = dataclasses.replace(
        request, upstream_incarnation=slot.upstream_incarnation
    )
    opened = slot.engine.start(request, cancellation)
    if not isinstance(opened, Success):
        return Failure(opened.failure())
    stream = opened.unwrap()
    parts = iter(stream)
    try:
        first = next(parts, None)
    except UpstreamError as error:
        stream.__exit__(None, None, None)
        return Failure(error)
    if first is None:
        stream.__exit__(None, None, None)
        name = slot.upstream.name
        return Failure(IncompleteReplyError(name, "the answer is empty"))
    slot.record_first_chunk()
    return Success(
        StreamingRun(
            slot,
            request,
            cancellation,
            stream=stream,
            parts=parts,
            first=first,
        )
    )


def run_to_completion(
    slot: Slot,
    request: CompletionRequest,
    cancellation: Cancellation,
    chunks: list[Chunk],
) -> Result[CompletedRun, UpstreamError]:
    """Runs a request to its end before anything of it is delivered.

    Args:
        slot: The place on the engine.
        request: What runs.
        cancellation: Cancels the run.
        chunks: Takes the parts as they come, also those of a run that fails.
    """
    begun = start_streaming(slot, request, cancellation)
    if not isinstance(begun, Success):
        return Failure(begun.failure())
    run = begun.unwrap()
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
    return Failure(IncompleteReplyError(name, "the answer has no end"))

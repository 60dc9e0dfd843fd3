"""Decodes and validates the events of one streamed response."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from trefoilpitch.upstreams._exceptions import (
    ErrorReplyError,
    IncompleteReplyError,
    MismatchedReplyError,
)
from trefoilpitch.upstreams._sse import SseEvent
from trefoilpitch.upstreams._types import Chunk, Finish

_END_MARKER = "[DONE]"


_Count = Annotated[int, msgspec.Meta(ge=0)]
_UnitInterval = Annotated[float, msgspec.Meta(ge=0, le=1)]


class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None


class _Choice(msgspec.Struct, frozen=True):
    delta: _Delta = _Delta()
    finish_reason: str | None = None


class _Usage(msgspec.Struct, frozen=True):
    prompt_tokens: _Count
    completion_tokens: _Count


class _Event(msgspec.Struct, frozen=True):
    id: str = ""
    model: str = ""
    choices: list[_Choice] = []
    usage: _Usage | None = None
    confidence: _UnitInterval | None = None
    tokens: _Count | None = None
    error: dict[str, Any] | None = None


_DECODER = msgspec.json.Decoder(_Event)


class ResponseDecoder:
    """Decodes the events of one response, in order and without gaps.

    Args:
        upstream: The upstream's name.
        request_id: The request identifier that every event must echo.
        version: The model version that every event must echo.
        next_index: Expected index of the first chunk.
    """

    def __init__(
        self, *, upstream: str, request_id: str, version: str, next_index: int
    ) -> None:
        self._upstream = upstream
        self._request_id = request_id
        self._version = version
        self._next_index = next_index
        self._finish_reason: str | None = None
        self._usage: _Usage | None = None
        self._confidence: _UnitInterval | None = None
        self._done = False

    @property
    def done(self) -> bool:
        """Whether the end marker ``[DONE]`` has been received."""
        return self._done

    def decode_event(self, event: SseEvent) -> Chunk | Finish | None:
        """Decodes the next event.

        Returns:
            The chunk or the finish that the event completes, if any.

        Raises:
            UpstreamError: If the event is invalid or reports an error.
        """
        if self._done:
            raise self._incomplete("an event follows [DONE]")
        if event.data == _END_MARKER:
            return self._finish()
        decoded = self._parse(event.data)
        self._check_origin(decoded)
        if decoded.usage is not None:
            self._usage = decoded.usage
        if decoded.confidence is not None:
            self._confidence = decoded.confidence
        return self._decode_choices(event, decoded)

    def _parse(self, data: str) -> _Event:
        try:
            return _DECODER.decode(data)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise self._incomplete(f"malformed event: {error}") from error

    def _check_origin(self, event: _Event) -> None:
        if event.error is not None:
            detail = f"engine reported an error: {event.error.get('message')}"
            raise ErrorReplyError(self._upstream, detail, status=200)
        if event.id != self._request_id:
            detail = f"received an event of request {event.id!r}"
            raise MismatchedReplyError(self._upstream, detail)
        if event.model != self._version:
            detail = f"received an event of version {event.model!r}"
            raise MismatchedReplyError(self._upstream, detail)

    def _decode_choices(self, event: SseEvent, decoded: _Event) -> Chunk | None:
        if not decoded.choices:
            return None
        if len(decoded.choices) > 1:
            raise self._incomplete("an event has more than one choice")
        if self._finish_reason is not None:
            raise self._incomplete("a choice follows finish_reason")
        self._check_index(event.event_id)
        choice = decoded.choices[0]
        self._finish_reason = choice.finish_reason
        text = choice.delta.content or ""
        if not text and self._finish_reason is not None:
            return None
        tokens = decoded.tokens
        if tokens is None:
            tokens = 1 if text else 0
        return Chunk(index=int(event.event_id), text=text, tokens=tokens)

    def _check_index(self, event_id: str) -> None:
        # The choice with finish_reason is numbered too; otherwise the loss of
        # the last chunk would go unnoticed.
        expected = str(self._next_index)
        if event_id != expected:
            detail = f"received event {event_id!r} instead of {expected!r}"
            raise self._incomplete(detail)
        self._next_index += 1

    def _finish(self) -> Finish:
        if self._finish_reason is None or self._usage is None:
            raise self._incomplete("response ended without finish or usage")
        self._done = True
        return Finish(
            finish_reason=self._finish_reason,
            prompt_tokens=self._usage.prompt_tokens,
            output_tokens=self._usage.completion_tokens,
            confidence=self._confidence,
        )

    def _incomplete(self, detail: str) -> IncompleteReplyError:
        return IncompleteReplyError(self._upstream, detail)

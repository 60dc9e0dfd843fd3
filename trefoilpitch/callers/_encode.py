"""Encodes completion responses in the OpenAI format."""

from __future__ import annotations

import dataclasses

import msgspec

from trefoilpitch.serving import Completed, Delta, ResponseInfo
from trefoilpitch.web import Problem, encode_problem

EVENT_STREAM_TYPE = "text/event-stream"
END_OF_STREAM = b"data: [DONE]\n\n"
EVENT_ID_SEPARATOR = ":"

_CHUNK_OBJECT = "chat.completion.chunk"
_COMPLETION_OBJECT = "chat.completion"
_ROLE = "assistant"


class _Delta(msgspec.Struct, omit_defaults=True):
    role: str | None = None
    content: str | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class _ChunkChoice(msgspec.Struct):
    index: int
    delta: _Delta
    finish_reason: str | None = None


class _Chunk(msgspec.Struct, omit_defaults=True):
    id: str
    object: str
    model: str
    choices: list[_ChunkChoice]
    usage: _Usage | None = None


class _Message(msgspec.Struct):
    role: str
    content: str


class _Choice(msgspec.Struct):
    index: int
    message: _Message
    finish_reason: str


class _Completion(msgspec.Struct):
    id: str
    object: str
    model: str
    choices: list[_Choice]
    usage: _Usage


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CompleteResponse:
    """A response that is sent in one piece."""

    info: ResponseInfo
    text: str
    completed: Completed


def encode_delta(info: ResponseInfo, token: str, delta: Delta) -> bytes:
    """Returns the event for one part of a streamed response.

    Args:
        info: Metadata of the response.
        token: The signed resume point; part of the event's identifier.
        delta: The part.
    """
    role = _ROLE if delta.index == 0 else None
    choice = _ChunkChoice(0, _Delta(role=role, content=delta.text))
    chunk = _Chunk(
        id=info.request_id,
        object=_CHUNK_OBJECT,
        model=str(info.version),
        choices=[choice],
    )
    event_id = f"{token}{EVENT_ID_SEPARATOR}{delta.index}"
    data = msgspec.json.encode(chunk)
    return b"id: " + event_id.encode("ascii") + b"\ndata: " + data + b"\n\n"


def encode_stream_end(info: ResponseInfo, completed: Completed) -> bytes:
    """Returns the events that end a complete streamed response."""
    choice = _ChunkChoice(0, _Delta(), completed.finish_reason)
    chunk = _Chunk(
        id=info.request_id,
        object=_CHUNK_OBJECT,
        model=str(info.version),
        choices=[choice],
        usage=_usage(completed),
    )
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n" + END_OF_STREAM


def encode_stream_error(problem: Problem) -> bytes:
    """Returns the event that ends a truncated streamed response."""
    return b"event: error\ndata: " + encode_problem(problem) + b"\n\n"


def encode_completion(response: CompleteResponse) -> bytes:
    """Returns the body of a response that is sent in one piece."""
    message = _Message(_ROLE, response.text)
    choice = _Choice(0, message, response.completed.finish_reason)
    completion = _Completion(
        id=response.info.request_id,
        object=_COMPLETION_OBJECT,
        model=str(response.info.version),
        choices=[choice],
        usage=_usage(response.completed),
    )
    return msgspec.json.encode(completion)


def _usage(completed: Completed) -> _Usage:
    total = completed.prompt_tokens + completed.output_tokens
    return _Usage(completed.prompt_tokens, completed.output_tokens, total)

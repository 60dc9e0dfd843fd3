"""Decodes the bodies and headers that callers send."""

from __future__ import annotations

import dataclasses
import hashlib

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.upstreams import Message
from trefoilpitch.web import Outcome, Problem, Request

MAX_MESSAGES = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class ChatBody:
    """The body of a completion request in the OpenAI format."""

    # Name of the task, which callers send in place of a model.
    model: str
    # The conversation so far, oldest first.
    messages: tuple[Message, ...]
    # Whether the response is sent as server-sent events.
    stream: bool = False
    # Limit on the response's length, in tokens; None if not given.
    max_tokens: int | None = None


def decode_chat_body(body: bytes) -> Result[ChatBody, Problem]:
    """Decodes the body of a completion request.

    Unknown fields are ignored.
    """
    try:
        decoded = msgspec.json.decode(body, type=ChatBody)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(bad_request("malformed-body", str(error)))
    if not 0 < len(decoded.messages) <= MAX_MESSAGES:
        title = f"messages must hold 1 to {MAX_MESSAGES} entries"
        return Failure(bad_request("malformed-body", title))
    if decoded.max_tokens is not None and decoded.max_tokens < 1:
        title = "max_tokens must be at least 1"
        return Failure(bad_request("malformed-body", title))
    return Success(decoded)


def bad_request(code: str, title: str) -> Problem:
    """Returns the problem for a malformed request."""
    return Problem(status=400, code=code, title=title, outcome=Outcome.NOT_RUN)


def fingerprint(request: Request) -> bytes:
    """Returns a digest of a request's method, path, query and body.

    It detects the reuse of an idempotency key and is the same on every node.
    """
    digest = hashlib.sha256()
    for part in (request.method.encode(), request.path.encode()):
        digest.update(part + b"\0")
    for name in sorted(request.query):
        digest.update(f"{name}={request.query[name]}\0".encode())
    digest.update(request.body)
    return digest.digest()

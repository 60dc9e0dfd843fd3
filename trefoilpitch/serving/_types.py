"""The requests that the serving layer handles, and their responses."""

from __future__ import annotations

import dataclasses
from typing import Protocol, TypeAlias

from trefoilpitch.bundle import VersionRef, Workspace
from trefoilpitch.identity import RequestKey, ResumePoint, Session
from trefoilpitch.routing import RoutingTable
from trefoilpitch.upstreams import Chunk, Finish, Message
from trefoilpitch.web import Problem


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChatRequest:
    """A caller's chat completion request."""

    # Identifies the request in logs, at upstreams and on the bill.
    request_id: str
    workspace: Workspace
    # Name of the task, which determines the cascade and the limits.
    task: str
    # The conversation so far, oldest first.
    messages: tuple[Message, ...]
    # The session, which pins model versions.
    session: Session
    # Maximum length of the response in tokens; None leaves it to the task.
    max_output_tokens: int | None
    # Whether the response is streamed to the caller.
    stream: bool
    # The idempotency key; None if the caller sent none.
    key: RequestKey | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """A caller's call to an operation of a plain service."""

    # Identifies the request in logs, at upstreams and on the bill.
    request_id: str
    workspace: Workspace
    # Name of the service.
    service: str
    # Name of the operation.
    operation: str
    # HTTP method.
    method: str
    # Path and query below the service; begins with the operation.
    path: str
    body: bytes
    # Media type of the body.
    content_type: str
    # The idempotency key; None if the caller sent none.
    key: RequestKey | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """A chunk of a response."""

    # Index among the chunks of the version's response, from 0.
    index: int
    # The text to append.
    text: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Completed:
    """The end of a complete response."""

    # Why generation ended: ``stop`` or ``length``.
    finish_reason: str
    # Prompt tokens that the responding version processed.
    prompt_tokens: int
    # Tokens that it generated.
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Truncated:
    """The end of a response that cannot be completed."""

    # Why the response is truncated.
    problem: Problem


ChatEvent: TypeAlias = Delta | Completed | Truncated


def to_chat_event(item: Chunk | Finish) -> ChatEvent:
    """Converts a chunk, or the finish, of a run to an event for the caller."""
    if isinstance(item, Chunk):
        return Delta(index=item.index, text=item.text)
    return Completed(
        finish_reason=item.finish_reason,
        prompt_tokens=item.prompt_tokens,
        output_tokens=item.output_tokens,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseInfo:
    """The metadata of a response that is known before its first chunk."""

    request_id: str
    # Name of the task.
    task: str
    # The model version that generates the response.
    version: VersionRef
    # The session, with the versions of this request pinned.
    session: Session
    # From which another node can resume the response.
    resume_point: ResumePoint


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallResponse:
    """The complete response of a plain service."""

    request_id: str
    # HTTP status.
    status: int
    # Media type of the body.
    content_type: str
    body: bytes


class ConfigurationSource(Protocol):
    """Provides the newest configuration that the node has received."""

    def table(self) -> RoutingTable:
        """Returns the routing table of the newest configuration."""

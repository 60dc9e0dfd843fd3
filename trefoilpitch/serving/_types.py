"""Requests as the serving layer sees them, and the events of an answer."""

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
    """A caller's request for an answer by a model."""

    # Identifies the request in logs, at upstreams and on the bill.
    request_id: str
    # The workspace that asks.
    workspace: Workspace
    # The task that it asks for.
    task: str
    # The conversation so far, oldest first.
    messages: tuple[Message, ...]
    # The session; pins versions.
    session: Session
    # Longest answer that the caller wants, in tokens; None sets no limit.
    max_output_tokens: int | None
    # Whether the caller takes the answer in parts.
    stream: bool
    # The idempotency key, where the caller sent one.
    key: RequestKey | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """A caller's call of an operation of a plain service."""

    # Identifies the request in logs, at upstreams and on the bill.
    request_id: str
    # The workspace that calls.
    workspace: Workspace
    # The service's name.
    service: str
    # The operation's name.
    operation: str
    # The HTTP method.
    method: str
    # Path and query below the service; begins with the operation.
    path: str
    # The body.
    body: bytes
    # The body's media type.
    content_type: str
    # The idempotency key, where the caller sent one.
    key: RequestKey | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """A part of an answer."""

    # Position among the parts of its version's answer, from 0.
    index: int
    # The text that follows what came before.
    text: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Completed:
    """The end of a whole answer."""

    # Why generation ended: ``stop`` or ``length``.
    finish_reason: str
    # Tokens read by the version that answered.
    prompt_tokens: int
    # Tokens that it generated.
    output_tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Truncated:
    """The end of an answer that cannot be completed."""

    # What happened.
    problem: Problem


ChatEvent: TypeAlias = Delta | Completed | Truncated


def to_chat_event(item: Chunk | Finish) -> ChatEvent:
    """Returns what the caller sees of a part, or of the end, of a run."""
    if isinstance(item, Chunk):
        return Delta(index=item.index, text=item.text)
    return Completed(
        finish_reason=item.finish_reason,
        prompt_tokens=item.prompt_tokens,
        output_tokens=item.output_tokens,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseInfo:
    """What is known of an answer before its first part."""

    # The request that it answers.
    request_id: str
    # The task.
    task: str
    # The version that answers.
    version: VersionRef
    # The session with the versions that it now keeps.
    session: Session
    # Where another node can take the answer up.
    resume_point: ResumePoint


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallResponse:
    """The whole answer of a plain service."""

    # The request that it answers.
    request_id: str
    # The HTTP status.
    status: int
    # The body's media type.
    content_type: str
    # The body.
    body: bytes


class ConfigurationSource(Protocol):
    """The newest configuration that the node knows."""

    def table(self) -> RoutingTable:
        """Returns the newest configuration, arranged for look-ups."""

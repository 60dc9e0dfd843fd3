"""Requests to upstreams and their responses."""

from __future__ import annotations

import dataclasses
import enum

from trefoilpitch.bundle import Priority, VersionRef


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Timeouts:
    """Time limits for the phases of a request, in milliseconds."""

    # From opening a connection until it is established.
    connect_ms: int = 500
    # From sending the request until the response headers are complete.
    first_byte_ms: int = 20_000
    # Between two consecutive reads of the response body.
    chunk_gap_ms: int = 5_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """One message of a conversation."""

    # ``system``, ``user`` or ``assistant``.
    role: str
    # The message's text.
    content: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CompletionRequest:
    """One chat completion request to one version of a model."""

    # Identifies the request across retries and resumption.
    request_id: str
    # The version that must generate the response.
    version: VersionRef
    # The conversation so far, oldest first.
    messages: tuple[Message, ...]
    # Limit on the response's length, in tokens.
    max_output_tokens: int
    # Monotonic time by which the response must be complete, in milliseconds.
    deadline_ms: int
    # Scheduling priority, sent to the engine.
    priority: Priority = Priority.STANDARD
    # Requests with equal affinity share cached prompt prefixes.
    affinity: str = ""
    # The engine refuses the request if its incarnation differs; empty for any.
    upstream_incarnation: str = ""

    @property
    def prompt(self) -> str:
        """All message texts joined by newlines; the form that is rated."""
        return "\n".join(message.content for message in self.messages)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Chunk:
    """A part of a streamed response."""

    # Position in the response, from 0, without gaps.
    index: int
    # Text to append to that of the earlier chunks.
    text: str
    # Number of tokens in the text.
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """The end of a complete response."""

    # Why generation ended: ``stop`` or ``length``.
    finish_reason: str
    # Number of tokens in the prompt.
    prompt_tokens: int
    # Number of tokens in the response.
    output_tokens: int
    # The engine's confidence in the response, from 0 to 1; None if not given.
    confidence: float | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """The last load report of an upstream; it may be out of date."""

    # The upstream's name.
    upstream: str
    # Changes whenever the upstream restarts, after which it is cold.
    incarnation: str
    # Number of requests being served.
    running: int
    # Number of requests accepted but not yet being served.
    waiting: int
    # Concurrency limit of the upstream when warm.
    capacity: int
    # Whether the upstream reports that it is warm.
    warm: bool
    # Whether it is about to stop and wants no new work.
    leaving: bool
    # Hashes of the prompt prefixes in its cache.
    cached_prefixes: frozenset[str]
    # Loaded versions; None if it does not report them.
    versions: frozenset[VersionRef] | None
    # The upstream's wall clock time of the report, in milliseconds.
    reported_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """A prompt prefix that entered or left an engine's cache."""

    # Position in the engine's event log; positions may be missing.
    sequence: int
    # Hash of the prefix.
    prefix: str
    # True if it entered the cache, false if it was evicted.
    stored: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvents:
    """Cache events after a position in an engine's log."""

    # The incarnation whose log this is; positions of different incarnations
    # are not comparable.
    incarnation: str
    # The events by ascending position.
    events: tuple[CacheEvent, ...]
    # Whether positions between the requested and the last one are missing.
    gap: bool


class OrderKind(enum.Enum):
    """The action that an order requests."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """A fenced command to an engine; idempotent."""

    # Identifies the order across retries.
    request_id: str
    kind: OrderKind
    # Grows with every holder of the lease under which orders are sent.
    fencing_number: int
    # The version to load or unload; None for other kinds.
    version: VersionRef | None = None
    # The role to assign; empty for other kinds.
    role: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderResponse:
    """What an engine reports after executing an order."""

    # Versions that serve requests now, without those still being loaded.
    versions: frozenset[VersionRef]
    # The engine's role.
    role: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRequest:
    """One call of a plain service."""

    # Identifies the call across retries.
    request_id: str
    method: str
    # Path and query, starting with a slash.
    path: str
    # Monotonic time by which the response must be complete, in milliseconds.
    deadline_ms: int
    # The body, already encoded.
    body: bytes = b""
    # End-to-end headers, such as the content type.
    headers: tuple[tuple[str, str], ...] = ()
    # The service refuses the call if its incarnation differs; empty for any.
    upstream_incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceResponse:
    """The complete response of a plain service."""

    # The HTTP status.
    status: int
    body: bytes
    # End-to-end headers only, without those that concern the connection.
    headers: tuple[tuple[str, str], ...]

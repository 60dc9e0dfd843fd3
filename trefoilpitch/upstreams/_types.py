"""Requests to upstreams and what comes back from them."""

from __future__ import annotations

import dataclasses
import enum

from trefoilpitch.bundle import Priority, VersionRef


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Timeouts:
    """How long each phase of a request may take."""

    # Time to establish a connection, in milliseconds.
    connect_ms: int = 500
    # Time from sending to the first event or the whole reply's headers.
    first_byte_ms: int = 20_000
    # Time between two consecutive reads of the reply, in milliseconds.
    chunk_gap_ms: int = 5_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """One message of a conversation."""

    # Who speaks: ``system``, ``user`` or ``assistant``.
    role: str
    # What is said.
    content: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CompletionRequest:
    """One request for an answer from one version of a model."""

    # Identifies the request across retries and resumption.
    request_id: str
    # The version that must answer.
    version: VersionRef
    # The conversation so far, oldest first.
    messages: tuple[Message, ...]
    # Longest answer, in tokens.
    max_output_tokens: int
    # Monotonic time by which the answer must be whole, in milliseconds.
    deadline_ms: int
    # How urgently the engine serves it.
    priority: Priority = Priority.STANDARD
    # Requests with equal affinity share cached prompt prefixes.
    affinity: str = ""
    # The only incarnation of the engine that is to run it; empty for any.
    upstream_incarnation: str = ""

    @property
    def prompt(self) -> str:
        """The whole prompt as one text, as it is rated."""
        return "\n".join(message.content for message in self.messages)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Chunk:
    """A piece of an answer."""

    # Position in the answer, from 0, without gaps.
    index: int
    # The text that follows the earlier chunks' text.
    text: str
    # Tokens that the text holds.
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """The end of a whole answer."""

    # Why generation ended: ``stop`` or ``length``.
    finish_reason: str
    # Tokens in the prompt.
    prompt_tokens: int
    # Tokens in the answer.
    output_tokens: int
    # The engine's confidence in the answer, from 0 to 1, if it gives one.
    confidence: float | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """What an upstream last said about its load; it may be out of date."""

    # The upstream's name.
    upstream: str
    # Changes whenever the upstream starts anew, and so turns cold.
    incarnation: str
    # Requests being served.
    running: int
    # Requests accepted but not yet being served.
    waiting: int
    # Requests that it serves at once when warm.
    capacity: int
    # Whether it says that it is warm.
    warm: bool
    # Whether it is about to leave and wants no new work.
    leaving: bool
    # Hashes of the prompt prefixes in its cache.
    cached_prefixes: frozenset[str]
    # Versions that it has loaded; None if it does not tell.
    versions: frozenset[VersionRef] | None
    # The upstream's wall time when the report was made, in milliseconds.
    reported_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """A prompt prefix that entered or left an engine's cache."""

    # Position in the engine's log of events; numbers may be missing.
    sequence: int
    # Hash of the prefix.
    prefix: str
    # Whether it entered the cache; otherwise it was evicted.
    stored: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvents:
    """Cache events after a position in an engine's log."""

    # The incarnation whose log this is; positions of others do not compare.
    incarnation: str
    # The events, in order.
    events: tuple[CacheEvent, ...]
    # Whether events between the position asked for and the last are missing.
    gap: bool


class OrderKind(enum.Enum):
    """What an engine is ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """An order to an engine; giving it twice has the effect of once."""

    # Identifies the order across retries.
    request_id: str
    # What to do.
    kind: OrderKind
    # Grows with every holder of the lease under which orders are given.
    fencing_number: int
    # The version to load or unload.
    version: VersionRef | None = None
    # The role to take.
    role: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderResponse:
    """What an engine reports after carrying out an order."""

    # Versions that serve now; one being loaded is not among them.
    versions: frozenset[VersionRef]
    # The engine's role.
    role: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRequest:
    """One call of a plain service."""

    # Identifies the call across retries.
    request_id: str
    # The HTTP method.
    method: str
    # Path and query, starting with a slash.
    path: str
    # Monotonic time by which the reply must be whole, in milliseconds.
    deadline_ms: int
    # The body, already encoded.
    body: bytes = b""
    # Further headers, such as the content type.
    headers: tuple[tuple[str, str], ...] = ()
    # The only incarnation of the service that is to run it; empty for any.
    upstream_incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceResponse:
    """The whole reply of a plain service."""

    # The HTTP status.
    status: int
    # The body, whole.
    body: bytes
    # The headers, without those of the connection.
    headers: tuple[tuple[str, str], ...]

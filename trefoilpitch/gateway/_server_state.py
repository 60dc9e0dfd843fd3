"""Requests, responses, and what the connections of a server share."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Protocol

from trefoilpitch.clock import SystemClock
from trefoilpitch.fleet import RequestLimits
from trefoilpitch.gateway._http_client import Headers
from trefoilpitch.gateway._memory_budget import BudgetLimits
from trefoilpitch.gateway._memory_guard import ClientLimits, MemoryGuard

# Bytes received in one go.
_RECEIVED_BYTES = 64 * 1024
# Bytes of a response that are given to the transport at a time, which copies
# what the socket does not accept at once.
_SEND_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """A completely received request."""

    method: bytes
    # Path and query as received.
    target: bytes
    # Header names have the caller's capitalization.
    headers: tuple[tuple[bytes, bytes], ...]
    # The body without its transfer coding.
    body: bytes
    # Monotonic time of its first byte.
    arrived_ms: int

    def header(self, name: bytes) -> str | None:
        """Returns the first value of a header, by its lower-case name."""
        for known, value in self.headers:
            if known.lower() == name:
                return value.decode("latin-1")
        return None


Handler = Callable[[HttpRequest, "Responder"], Awaitable[None]]


class ServerConnection(Protocol):
    """A connection, as the server and the responses on it see it."""

    @property
    def unsent(self) -> bool:
        """Whether a part of a response waits for the caller to read."""

    def close_if_idle(self) -> None:
        """Closes the connection if no request is in progress on it."""

    def refuse_if_incomplete(self) -> None:
        """Refuses a request that has not arrived completely, if any."""

    def abort(self) -> None:
        """Closes the connection at once and drops buffered data."""

    def begin_stream(self) -> None:
        """Lets the caller fall behind the upstream that sends the response."""

    def hold_response(self, size: int) -> bool:
        """Accounts for a response that is not sent yet.

        Returns:
            Whether there is room for it.
        """

    def send_head(self, status: int, headers: Headers) -> None:
        """Sends the head of a response."""

    def send_data(self, data: bytes) -> None:
        """Sends a part of the body; does nothing for HEAD requests."""

    def send_end(self) -> None:
        """Completes the response."""

    async def drain(self) -> None:
        """Waits until the send buffer has room.

        Raises:
            CallerDisconnectedError: If the connection is closed.
        """

    async def drain_stream(self) -> None:
        """Waits like `drain`, but not for long.

        Raises:
            CallerDisconnectedError: If the connection is closed.
        """


def _unlimited_guard() -> MemoryGuard:
    return MemoryGuard(BudgetLimits(), ClientLimits(), SystemClock().now_ms)


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerState:
    """State that all connections of a server share."""

    handler: Handler
    # Returns the limits of the current configuration.
    limits: Callable[[], RequestLimits]
    # Returns monotonic time.
    now_ms: Callable[[], int]
    # The memory that all servers of the process share.
    guard: MemoryGuard = dataclasses.field(default_factory=_unlimited_guard)
    # Returns the workspace of a request, whose body has not arrived, if known.
    workspace: Callable[[HttpRequest], str | None] = lambda request: None
    # Returns headers of the response to a request that found no room.
    refusal_headers: Callable[[HttpRequest], Headers] = lambda request: []
    # Whether a client whose address holds more than its share gets a response.
    # A peer would take a closed connection for a request that may have run.
    answers_over_share: bool = False
    # Whether responses carry "Connection: close", as the daemon is leaving.
    closing: bool = False
    # Requests that are being handled.
    active: int = 0
    # What connections receive into; each takes its bytes at once.
    buffer: memoryview = dataclasses.field(
        default_factory=lambda: memoryview(bytearray(_RECEIVED_BYTES))
    )
    connections: set[ServerConnection] = dataclasses.field(default_factory=set)


class Responder:
    """Sends the response to one request."""

    def __init__(self, connection: ServerConnection) -> None:
        self._connection = connection
        self._started = False

    @property
    def started(self) -> bool:
        """Whether a part of the response has been sent."""
        return self._started

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete response."""
        length = (b"Content-Length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        for start in range(0, len(body), _SEND_BYTES):
            self._connection.send_data(body[start : start + _SEND_BYTES])
            await self._connection.drain()
        self.finish()

    def hold(self, size: int) -> bool:
        """Accounts for the bytes of a response that is not sent yet.

        Returns:
            Whether the memory budget has room for them.
        """
        return self._connection.hold_response(size)

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the head; without a Content-Length the body is chunked."""
        self._started = True
        if all(name.lower() != b"content-length" for name, _ in headers):
            self._connection.begin_stream()
        self._connection.send_head(status, headers)
        await self._connection.drain()

    async def write(self, data: bytes) -> None:
        """Sends a part of an upstream's stream.

        Waits while the send buffer is full. A caller that does not read its
        response is disconnected before its upstream has been blocked for long.
        """
        if data:
            self._connection.send_data(data)
            await self._connection.drain_stream()

    def finish(self) -> None:
        """Completes the response."""
        self._connection.send_end()

    def abort(self) -> None:
        """Resets the connection, to mark the response as incomplete."""
        self._connection.abort()

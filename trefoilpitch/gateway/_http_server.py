"""HTTP/1.1 towards callers and peers, on one event loop."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Self

import h11

from trefoilpitch.fleet import RequestLimits
from trefoilpitch.gateway._exceptions import CallerDisconnectedError
from trefoilpitch.gateway._http_client import Headers
from trefoilpitch.gateway._log import log_failure
from trefoilpitch.gateway._sockets import watch_for_silence

_MS_PER_S = 1_000
# Written and not yet taken by the caller; beyond it the sender waits.
_WRITE_BUFFER_BYTES = 64 * 1024
_BACKLOG = 512
# Bytes of further requests that are kept while one is in progress.
_MAX_UNREAD_BYTES = 64 * 1024
_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431
# Bytes of a header line besides its name and value.
_LINE_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """A request as it arrived, whole."""

    # The method.
    method: bytes
    # Path and query, unchanged.
    target: bytes
    # Headers with their names as the caller wrote them.
    headers: tuple[tuple[bytes, bytes], ...]
    # The body without its framing.
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


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerState:
    """What all connections of a server share."""

    # Answers requests.
    handler: Handler
    # Bounds in force.
    limits: Callable[[], RequestLimits]
    # Monotonic time.
    now_ms: Callable[[], int]
    # Whether answers end their connection, as the daemon is leaving.
    closing: bool = False
    # Requests that have been read and not been answered.
    active: int = 0
    # Open connections.
    connections: set[CallerConnection] = dataclasses.field(default_factory=set)


class Responder:
    """Sends the answer to one request."""

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self._started = False

    @property
    def started(self) -> bool:
        """Whether a part of the answer has been sent."""
        return self._started

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer."""
        length = (b"Content-Length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        await self.write(body)
        self.finish()

    async def start(self, status: int, headers: Headers) -> None:
        """Sends an answer's head; without a length the body is chunked."""
        self._started = True
        self._connection.send_head(status, headers)
        await self._connection.drain()

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits while the caller does not read."""
        if data:
            self._connection.send_data(data)
            await self._connection.drain()

    def finish(self) -> None:
        """Ends a whole answer."""
        self._connection.send_end()

    def abort(self) -> None:
        """Ends the connection so that the answer does not look complete."""
        self._connection.abort()


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; requests on it are served one by one.

    A caller that closes its connection cancels the request in progress.
    """

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._h11 = self._create_parser()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._head: h11.Request | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._arrived_ms = 0
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._gone = False
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts waiting for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        watch_for_silence(transport)
        self._state.connections.add(self)
        self._arm_idle()

    def data_received(self, data: bytes) -> None:
        """Parses what has arrived."""
        if self._idle:
            self._arrived_ms = self._state.now_ms()
            self._arm(self._state.limits().header_timeout_ms, self._too_slow)
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError:
            # The caller sends on after the end of its last request.
            self.abort()
            return
        self._advance()
        self._bound_unread()

    def eof_received(self) -> bool:
        """Ends the request in progress: the caller has left."""
        self.abort()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the request in progress."""
        self._gone = True
        self._writable.set()
        self._disarm()
        self._state.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Makes senders wait."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Lets senders go on."""
        self._writable.set()

    async def drain(self) -> None:
        """Waits until the caller has taken most of what was sent.

        Raises:
            CallerGoneError: If the connection has ended.
        """
        if not self._writable.is_set():
            await self._writable.wait()
        if self._gone:
            raise CallerDisconnectedError

    def send_head(self, status: int, headers: Headers) -> None:
        """Sends an answer's head."""
        extra: list[tuple[bytes, bytes]] = []
        if self._state.closing:
            extra.append((b"Connection", b"close"))
        self._send(h11.Response(status_code=status, headers=[*headers, *extra]))

    def send_data(self, data: bytes) -> None:
        """Sends a part of an answer's body; answers to HEAD have none."""
        if self._head is not None and self._head.method == b"HEAD":
            return
        self._send(h11.Data(data=data))

    def send_end(self) -> None:
        """Ends an answer."""
        self._send(h11.EndOfMessage())

    def abort(self) -> None:
        """Ends the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection if no request is in progress on it."""
        if self._idle and self._transport is not None:
            self._transport.close()

    @property
    def _idle(self) -> bool:
        return (
            self._task is None
            and self._head is None
            and not self._h11.trailing_data[0]
        )

    def _create_parser(self) -> h11.Connection:
        return h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=self._state.limits().max_header_bytes,
        )

    def _advance(self) -> None:
        while self._task is None and not self._gone:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint, str(error))
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._invite_body()
                return
            if isinstance(event, h11.ConnectionClosed):
                self.abort()
                return
            self._take(event)

    def _bound_unread(self) -> None:
        """Stops reading from a caller that sends far ahead of its answers."""
        if self._task is None or self._transport is None:
            return
        if len(self._h11.trailing_data[0]) > _MAX_UNREAD_BYTES:
            self._transport.pause_reading()
            self._paused = True

    def _invite_body(self) -> None:
        if self._h11.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _take(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._take_head(event)
        elif isinstance(event, h11.Data):
            self._size += len(event.data)
            if self._size > self._state.limits().max_body_bytes:
                self._reject(_TOO_LARGE, "the body is too large")
                return
            self._parts.append(bytes(event.data))
            self._arm(self._state.limits().idle_timeout_ms, self._too_slow)
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch()

    def _take_head(self, head: h11.Request) -> None:
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # Two framings are how one request hides inside another.
            self._reject(_BAD_REQUEST, "two framings of the body")
            return
        # The parser bounds only heads that come in several parts.
        if _head_bytes(head) > self._state.limits().max_header_bytes:
            self._reject(_HEAD_TOO_LARGE, "the head is too large")
            return
        self._head = head
        self._arm(self._state.limits().idle_timeout_ms, self._too_slow)

    def _dispatch(self) -> None:
        head = self._head
        if head is None:
            return
        self._disarm()
        request = HttpRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=tuple(
                (bytes(name), bytes(value))
                for name, value in head.headers.raw_items()
            ),
            body=b"".join(self._parts),
            arrived_ms=self._arrived_ms,
        )
        self._parts = []
        self._size = 0
        self._state.active += 1
        self._task = asyncio.get_running_loop().create_task(
            self._serve(request)
        )

    async def _serve(self, request: HttpRequest) -> None:
        try:
            await self._state.handler(request, Responder(self))
        except CallerDisconnectedError:
            return
        except Exception as error:
            log_failure(
                "handler_failed",
                error,
                target=request.target.decode("latin-1"),
            )
            self.abort()
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._state.active -= 1
            self._task = None
            self._head = None
        self._next_cycle()

    def _next_cycle(self) -> None:
        if self._gone or self._transport is None:
            return
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            self._transport.close()
            return
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        self._arm_idle()
        # Bytes of the next request may be in the parser already.
        self._arrived_ms = self._state.now_ms()
        self._advance()

    def _reject(self, status: int, detail: str) -> None:
        self._disarm()
        self._head = None
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = detail.encode()
            headers = [
                (b"Content-Type", b"text/plain"),
                (b"Content-Length", str(len(body)).encode()),
                (b"Connection", b"close"),
            ]
            self._send(h11.Response(status_code=status, headers=headers))
            self._send(h11.Data(data=body))
            self._send(h11.EndOfMessage())
        if self._transport is not None:
            self._transport.close()
        self._gone = True

    def _too_slow(self) -> None:
        self._reject(_REQUEST_TIMEOUT, "the request did not arrive in time")

    def _idle_too_long(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _arm_idle(self) -> None:
        self._arm(self._state.limits().idle_timeout_ms, self._idle_too_long)

    def _arm(self, delay_ms: int, action: Callable[[], None]) -> None:
        self._disarm()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_ms / _MS_PER_S, action)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _send(self, event: h11.Event) -> None:
        if self._gone or self._transport is None:
            raise CallerDisconnectedError
        data = self._h11.send(event)
        if data:
            self._transport.write(data)


def _head_bytes(head: h11.Request) -> int:
    lines = sum(
        len(name) + len(value) + _LINE_BYTES for name, value in head.headers
    )
    return len(head.method) + len(head.target) + lines


class HttpServer:
    """A listening socket; a context manager that closes it."""

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._server: asyncio.Server | None = None

    @property
    def state(self) -> ServerState:
        """What the connections share."""
        return self._state

    async def listen(self, host: str, port: int) -> int:
        """Starts to accept connections and returns the port.

        Raises:
            OSError: If the address is taken.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self._state),
            host,
            port,
            backlog=_BACKLOG,
            reuse_address=True,
        )
        bound: tuple[str, int] = self._server.sockets[0].getsockname()
        return bound[1]

    def stop_listening(self) -> None:
        """Accepts no more connections; open ones go on."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Closes the connections on which no request is in progress."""
        for connection in list(self._state.connections):
            connection.close_if_idle()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop_listening()
        for connection in list(self._state.connections):
            connection.abort()

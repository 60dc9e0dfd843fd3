"""HTTP/1.1 server for callers and peers, based on h11 and asyncio."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Self

import h11

from trefoilpitch.fleet import RequestLimits
from trefoilpitch.gateway._exceptions import CallerDisconnectedError
from trefoilpitch.gateway._http_client import Headers
from trefoilpitch.gateway._log import log_event, log_failure
from trefoilpitch.gateway._sockets import PeerMonitor

_MS_PER_S = 1_000
# Bytes buffered for a slow caller; above this writers wait.
_WRITE_BUFFER_BYTES = 64 * 1024
_BACKLOG = 512
# Bytes of pipelined requests that are buffered while one is in progress.
_MAX_UNREAD_BYTES = 64 * 1024
# How long a caller may go on sending after its last response.
_LINGER_MS = 1_000
_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503
# Bytes of a header line besides name and value: colon, space and CRLF.
_LINE_BYTES = 4


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


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerState:
    """State that all connections of a server share."""

    handler: Handler
    # Returns the limits of the current configuration.
    limits: Callable[[], RequestLimits]
    # Returns monotonic time.
    now_ms: Callable[[], int]
    # Whether responses carry "Connection: close", as the daemon is leaving.
    closing: bool = False
    # Requests that are being handled.
    active: int = 0
    connections: set[CallerConnection] = dataclasses.field(default_factory=set)


class Responder:
    """Sends the response to one request."""

    def __init__(self, connection: CallerConnection) -> None:
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
        await self.write(body)
        self.finish()

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the head; without a Content-Length the body is chunked."""
        self._started = True
        self._connection.send_head(status, headers)
        await self._connection.drain()

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits while the send buffer is full."""
        if data:
            self._connection.send_data(data)
            await self._connection.drain()

    def finish(self) -> None:
        """Completes the response."""
        self._connection.send_end()

    def abort(self) -> None:
        """Resets the connection, to mark the response as incomplete."""
        self._connection.abort()


class CallerConnection(asyncio.Protocol):
    """One connection of a caller, which handles requests sequentially.

    When the caller closes the connection, the request in progress is
    cancelled.
    """

    def __init__(self, state: ServerState) -> None:
        self._state = state
        # Limits when the request in progress began.
        self._max_header_bytes = state.limits().max_header_bytes
        self._max_body_bytes = 0
        self._h11 = self._create_parser()
        self._transport: asyncio.Transport | None = None
        self._monitor: PeerMonitor | None = None
        self._task: asyncio.Task[None] | None = None
        self._head: h11.Request | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._arrived_ms = 0
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._closed = False
        self._paused = False
        # Whether it is only kept until the caller has read its last response.
        self._lingering = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configures the socket and starts the idle timer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        self._monitor = PeerMonitor(transport, self.abort)
        self._state.connections.add(self)
        self._start_idle_timer()

    def data_received(self, data: bytes) -> None:
        """Feeds received bytes to the parser and handles its events."""
        if self._lingering:
            return
        if self._idle:
            self._apply_header_limit()
            self._arrived_ms = self._state.now_ms()
            self._start_header_timer()
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError:
            # The caller sent data after the end of its last request.
            self.abort()
            return
        self._process_events()
        self._limit_unread()

    def eof_received(self) -> bool:
        """Aborts the connection: the caller has disconnected."""
        if not self._lingering:
            self.abort()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request in progress."""
        self._closed = True
        self._writable.set()
        self._cancel_timer()
        if self._monitor is not None:
            self._monitor.close()
        self._state.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Blocks `drain`, as the send buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblocks `drain`."""
        self._writable.set()

    async def drain(self) -> None:
        """Waits until the send buffer has room.

        Raises:
            CallerDisconnectedError: If the connection is closed.
        """
        if not self._writable.is_set():
            await self._writable.wait()
        if self._closed:
            raise CallerDisconnectedError

    def send_head(self, status: int, headers: Headers) -> None:
        """Sends the head of a response."""
        extra: list[tuple[bytes, bytes]] = []
        if self._state.closing:
            extra.append((b"Connection", b"close"))
        self._send(h11.Response(status_code=status, headers=[*headers, *extra]))

    def send_data(self, data: bytes) -> None:
        """Sends a part of the body; does nothing for HEAD requests."""
        if self._head is not None and self._head.method == b"HEAD":
            return
        self._send(h11.Data(data=data))

    def send_end(self) -> None:
        """Completes the response."""
        self._send(h11.EndOfMessage())

    def abort(self) -> None:
        """Closes the connection at once and drops buffered data."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def unsent(self) -> bool:
        """Whether a part of a response waits for the caller to read."""
        transport = self._transport
        if transport is None:
            return False
        return self._lingering or transport.get_write_buffer_size() > 0

    def close_if_idle(self) -> None:
        """Closes the connection if no request is in progress on it."""
        if self._idle and self._transport is not None:
            self._transport.close()

    def refuse_if_incomplete(self) -> None:
        """Refuses a request that has not arrived completely, if any."""
        if self._task is None and not (self._idle or self._closed):
            self._reject(_UNAVAILABLE, "the daemon exits")

    @property
    def _idle(self) -> bool:
        return (
            self._task is None
            and self._head is None
            and not self._lingering
            and not self._h11.trailing_data[0]
        )

    def _create_parser(self) -> h11.Connection:
        return h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=self._max_header_bytes,
        )

    def _apply_header_limit(self) -> None:
        """Adopts a limit that has changed since the last request."""
        limit = self._state.limits().max_header_bytes
        if limit != self._max_header_bytes:
            self._max_header_bytes = limit
            self._h11 = self._create_parser()

    def _process_events(self) -> None:
        while self._task is None and not self._closed:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint, str(error))
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._send_continue()
                return
            if isinstance(event, h11.ConnectionClosed):
                self.abort()
                return
            self._handle_event(event)

    def _limit_unread(self) -> None:
        """Pauses reading from a caller that pipelines too much data."""
        if self._task is None or self._transport is None:
            return
        if len(self._h11.trailing_data[0]) > _MAX_UNREAD_BYTES:
            self._transport.pause_reading()
            self._paused = True

    def _send_continue(self) -> None:
        if self._h11.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _handle_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._handle_head(event)
        elif isinstance(event, h11.Data):
            self._size += len(event.data)
            # A limit that is lowered does not apply to bodies in progress.
            limit = self._state.limits().max_body_bytes
            if self._size > max(self._max_body_bytes, limit):
                self._reject(_TOO_LARGE, "the body is too large")
                return
            self._parts.append(bytes(event.data))
            self._start_timer(_idle_timeout_ms, self._on_request_timeout)
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch()

    def _handle_head(self, head: h11.Request) -> None:
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # Conflicting framing headers allow request smuggling.
            self._reject(_BAD_REQUEST, "two framings of the body")
            return
        limits = self._state.limits()
        # The parser only limits heads that arrive in several segments.
        if _head_bytes(head) > max(
            self._max_header_bytes, limits.max_header_bytes
        ):
            self._reject(_HEAD_TOO_LARGE, "the head is too large")
            return
        self._head = head
        self._max_body_bytes = limits.max_body_bytes
        self._start_timer(_idle_timeout_ms, self._on_request_timeout)

    def _dispatch(self) -> None:
        head = self._head
        if head is None:
            return
        self._cancel_timer()
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
        responder = Responder(self)
        try:
            await self._state.handler(request, responder)
        except CallerDisconnectedError:
            return
        except Exception as error:
            log_failure(
                "handler_failed",
                error,
                target=request.target.decode("latin-1"),
            )
            await self._end_failed(responder)
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._state.active -= 1
            self._task = None
            self._head = None
        self._next_cycle()

    async def _end_failed(self, responder: Responder) -> None:
        if responder.started:
            self.abort()
            return
        with contextlib.suppress(CallerDisconnectedError):
            await responder.respond(_INTERNAL_ERROR, [], b"")

    def _next_cycle(self) -> None:
        if self._closed or self._transport is None:
            return
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            if self._h11.trailing_data[0]:
                self._linger()
            else:
                self._transport.close()
            return
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        self._start_idle_timer()
        # The parser may already have buffered a pipelined request or a part of
        # one.
        self._arrived_ms = self._state.now_ms()
        if not self._idle:
            self._start_header_timer()
        self._process_events()

    def _reject(self, status: int, detail: str) -> None:
        log_event(
            "connection_rejected",
            status=status,
            reason=detail,
            target=self._head.target.decode("latin-1") if self._head else None,
            age_ms=self._state.now_ms() - self._arrived_ms,
        )
        self._cancel_timer()
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
        self._linger()

    def _linger(self) -> None:
        """Closes the connection once the caller has had time to read.

        A socket that is closed with received data unread resets the
        connection, and the caller may lose the response.
        """
        self._closed = True
        if self._transport is None or self._transport.is_closing():
            return
        self._lingering = True
        self._transport.write_eof()
        self._transport.resume_reading()
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(
            _LINGER_MS / _MS_PER_S, self._transport.close
        )

    def _on_request_timeout(self) -> None:
        self._reject(_REQUEST_TIMEOUT, "the request did not arrive in time")

    def _on_idle_timeout(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _start_idle_timer(self) -> None:
        self._start_timer(_idle_timeout_ms, self._on_idle_timeout)

    def _start_header_timer(self) -> None:
        self._start_timer(_header_timeout_ms, self._on_request_timeout)

    def _start_timer(
        self,
        limit_ms: Callable[[RequestLimits], int],
        action: Callable[[], None],
    ) -> None:
        self._cancel_timer()
        self._wait(limit_ms, action, self._state.now_ms())

    def _wait(
        self,
        limit_ms: Callable[[RequestLimits], int],
        action: Callable[[], None],
        started_ms: int,
    ) -> None:
        """Acts at a limit; waits on if it is raised in the meantime."""

        def expire() -> None:
            if left_ms() > 0:
                self._wait(limit_ms, action, started_ms)
            else:
                action()

        def left_ms() -> int:
            elapsed_ms = self._state.now_ms() - started_ms
            return limit_ms(self._state.limits()) - elapsed_ms

        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(left_ms() / _MS_PER_S, expire)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _send(self, event: h11.Event) -> None:
        if self._closed or self._transport is None:
            raise CallerDisconnectedError
        data = self._h11.send(event)
        if data:
            self._transport.write(data)
            if self._monitor is not None:
                self._monitor.data_written()


def _header_timeout_ms(limits: RequestLimits) -> int:
    return limits.header_timeout_ms


def _idle_timeout_ms(limits: RequestLimits) -> int:
    return limits.idle_timeout_ms


def _head_bytes(head: h11.Request) -> int:
    lines = sum(
        len(name) + len(value) + _LINE_BYTES for name, value in head.headers
    )
    return len(head.method) + len(head.target) + lines


class HttpServer:
    """A listening socket; closes all connections when the context exits."""

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._server: asyncio.Server | None = None

    @property
    def state(self) -> ServerState:
        """State that all connections share."""
        return self._state

    @property
    def finished(self) -> bool:
        """Whether all requests are handled and their responses are sent."""
        unsent = any(c.unsent for c in self._state.connections)
        return not (self._state.active or unsent)

    async def listen(self, host: str, port: int) -> int:
        """Starts to accept connections and returns the bound port.

        Raises:
            OSError: If the address is in use or not available.
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
        """Stops accepting connections; open ones remain."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Closes all connections without a request in progress."""
        for connection in list(self._state.connections):
            connection.close_if_idle()

    def refuse_incomplete(self) -> None:
        """Refuses all requests that have not arrived completely."""
        for connection in list(self._state.connections):
            connection.refuse_if_incomplete()

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

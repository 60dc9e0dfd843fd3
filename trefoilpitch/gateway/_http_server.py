"""HTTP/1.1 server for callers and peers, based on h11 and asyncio."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Self

import h11

from trefoilpitch.clock import SystemClock
from trefoilpitch.fleet import RequestLimits
from trefoilpitch.gateway._body_buffer import BodyBuffer
from trefoilpitch.gateway._exceptions import CallerDisconnectedError
from trefoilpitch.gateway._http_client import Headers
from trefoilpitch.gateway._log import log_failure
from trefoilpitch.gateway._memory_budget import (
    BudgetLimits,
    HeldKind,
    Outcome,
)
from trefoilpitch.gateway._memory_guard import (
    ClientLimits,
    ConnectionAccount,
    MemoryGuard,
    RefusalReason,
)
from trefoilpitch.gateway._sockets import PeerMonitor
from trefoilpitch.gateway._unread_watch import UnreadWatch

_MS_PER_S = 1_000
# Connections that wait to be accepted, and those accepted in one turn of the
# event loop, so that no more descriptors are open than the budget permits.
_BACKLOG = 512
_ACCEPTED_PER_TURN = 16
# Bytes received in one go.
_RECEIVED_BYTES = 64 * 1024
# Bytes of a response that are given to the transport at a time, which copies
# what the socket does not accept at once.
_SEND_BYTES = 64 * 1024
# How long a caller may go on sending after its last response.
_LINGER_MS = 1_000
# Bytes that are read and dropped in that time.
_MAX_LINGER_BYTES = 16 * 1024 * 1024
_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503
# Bytes of a header line besides name and value: colon, space and CRLF.
_LINE_BYTES = 4
# Memory of a connection without a request, and of a header field besides its
# bytes.
_CONNECTION_BYTES = 16 * 1024
_FIELD_BYTES = 256
# The workspace of larger bodies is determined before they are received.
_ORDINARY_BODY_BYTES = 64 * 1024
# Delay before a retry of a request that found no room: uploads of a few seconds
# have ended by then.
_RETRY_AFTER_S = b"1"


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
    # Whether responses carry "Connection: close", as the daemon is leaving.
    closing: bool = False
    # Requests that are being handled.
    active: int = 0
    # What connections receive into; each takes its bytes at once.
    buffer: memoryview = dataclasses.field(
        default_factory=lambda: memoryview(bytearray(_RECEIVED_BYTES))
    )
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


class CallerConnection(asyncio.BufferedProtocol):
    """One connection of a caller, which handles requests sequentially.

    When the caller closes the connection, the request in progress is
    cancelled.
    """

    def __init__(self, state: ServerState) -> None:
        self._state = state
        # Limits when the request, or the pause between two, began.
        self._begun_limits = state.limits()
        self._max_header_bytes = self._begun_limits.max_header_bytes
        self._h11 = self._create_parser()
        self._transport: asyncio.Transport | None = None
        self._monitor: PeerMonitor | None = None
        self._task: asyncio.Task[None] | None = None
        # The request that is being received or handled; without its body.
        self._head: HttpRequest | None = None
        self._body: BodyBuffer | None = None
        # Received while a request is in progress, and whether some of it was
        # dropped.
        self._pipelined = bytearray()
        self._pipelined_dropped = False
        # Pipelined requests without a pause, and the timer of a pause.
        self._in_row = 0
        self._resting: asyncio.TimerHandle | None = None
        # Bytes behind the request in progress that the parser has.
        self._parsed_ahead = 0
        self._arrived_ms = 0
        self._timer: asyncio.TimerHandle | None = None
        self._body_timer: asyncio.TimerHandle | None = None
        self._account: ConnectionAccount | None = None
        self._watch: UnreadWatch | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._closed = False
        self._paused = False
        # Whether it is only kept until the caller has read its last response.
        self._lingering = False
        # Bytes that it has received since then.
        self._dropped_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configures the socket and starts the idle timer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._state.connections.add(self)
        guard = self._state.guard
        peer = transport.get_extra_info("peername") or ("",)
        self._account = guard.open(self, str(peer[0]))
        if self._account is None:
            self._record_refusal(RefusalReason.TOO_MANY_CONNECTIONS, "")
            self.abort()
            return
        self._monitor = PeerMonitor(transport, self.abort)
        self._watch = UnreadWatch(
            transport, self._account, guard, self._give_up_unread
        )
        if self._hold(HeldKind.CONNECTION, _CONNECTION_BYTES):
            self._start_idle_timer()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer that all connections receive into."""
        return self._state.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Feeds received bytes to the parser and handles its events."""
        if self._lingering:
            self._dropped_bytes += nbytes
            if self._dropped_bytes > _MAX_LINGER_BYTES:
                self.abort()
        if self._lingering or self._closed or self._account is None:
            return
        data = bytes(self._state.buffer[:nbytes])
        self._state.guard.record_progress(self._account, nbytes)
        if self._task is not None or self._resting is not None:
            self._keep_pipelined(data)
            return
        if self._idle:
            self._adopt_limits()
            self._apply_header_limit()
            self._arrived_ms = self._state.now_ms()
            self._start_header_timer()
        self._receive(data)

    def _receive(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError:
            # The caller sent data after the end of its last request.
            self.abort()
            return
        self._process_events()
        if not self._closed and self._head is None:
            self._hold(HeldKind.UNPARSED, len(self._h11.trailing_data[0]))

    def _keep_pipelined(self, data: bytes) -> None:
        """Keeps bytes behind a request in progress, within limits."""
        if self._pipelined_dropped or self._transport is None:
            return
        assert self._account is not None
        self._pipelined += data
        size = self._parsed_ahead + len(self._pipelined)
        guard = self._state.guard
        granted = guard.hold(self._account, HeldKind.UNPARSED, size)
        if granted is not Outcome.GRANTED:
            # Not run, and not answered: the connection ends with the response
            # in progress.
            self._pipelined = bytearray()
            self._pipelined_dropped = True
            guard.hold(self._account, HeldKind.UNPARSED, 0)
        if size > guard.clients.max_unparsed_bytes or self._pipelined_dropped:
            self._transport.pause_reading()
            self._paused = True

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
        self._cancel_body_timer()
        if self._monitor is not None:
            self._monitor.close()
        if self._resting is not None:
            self._resting.cancel()
        if self._watch is not None:
            self._watch.close()
        if self._account is not None:
            self._state.guard.close(self._account)
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

    async def drain_stream(self) -> None:
        """Waits like `drain`, but not for long.

        Raises:
            CallerDisconnectedError: If the connection is closed.
        """
        guard = self._state.guard
        if guard.limited and self._watch is not None and self._watch.exceeded:
            self._give_up_unread()
        elif guard.limited and not self._writable.is_set():
            limit_s = guard.clients.max_blocked_ms / _MS_PER_S
            try:
                async with asyncio.timeout(limit_s):
                    await self._writable.wait()
            except TimeoutError:
                self._give_up_unread()
        await self.drain()

    def hold_response(self, size: int) -> bool:
        """Accounts for a response that is not sent yet; see `Responder`."""
        return self._watch is None or self._watch.hold(size)

    def begin_stream(self) -> None:
        """Lets the caller fall behind the upstream that sends the response."""
        if self._watch is not None:
            self._watch.begin_stream()

    def _give_up_unread(self) -> None:
        self._record_refusal(RefusalReason.UNREAD_RESPONSE, "")
        self.abort()
        self._closed = True

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

    def evict(self, *, at_once: bool) -> None:
        """Refuses the request in progress and closes the connection."""
        if self._closed and not self._lingering:
            return
        reason = RefusalReason.EVICTED
        if self._task is None and self._head is not None and not at_once:
            self._reject(_UNAVAILABLE, "no memory for the request", reason)
            return
        self._record_refusal(reason, "")
        self.abort()

    def close_if_idle(self) -> None:
        """Closes the connection if no request is in progress on it."""
        if self._idle and self._transport is not None:
            self._transport.close()

    def refuse_if_incomplete(self) -> None:
        """Refuses a request that has not arrived completely, if any."""
        if self._task is None and not (self._idle or self._closed):
            self._reject(
                _UNAVAILABLE, "the daemon exits", RefusalReason.EXITING
            )

    @property
    def _idle(self) -> bool:
        return (
            self._task is None
            and self._head is None
            and not self._lingering
            and not self._has_unparsed
        )

    def _create_parser(self) -> h11.Connection:
        return h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=self._max_header_bytes,
        )

    def _adopt_limits(self) -> None:
        self._begun_limits = self._state.limits()

    def _limit(self, field: Callable[[RequestLimits], int]) -> int:
        """Returns a limit; one that is lowered applies to later requests."""
        return max(field(self._begun_limits), field(self._state.limits()))

    def _apply_header_limit(self) -> None:
        """Adopts a limit that has changed since the last request."""
        limit = self._begun_limits.max_header_bytes
        if limit != self._max_header_bytes:
            self._max_header_bytes = limit
            self._h11 = self._create_parser()

    def _process_events(self) -> None:
        while self._task is None and not self._closed:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(
                    error.error_status_hint, str(error), RefusalReason.MALFORMED
                )
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._send_continue()
                return
            if isinstance(event, h11.ConnectionClosed):
                self.abort()
                return
            self._handle_event(event)

    def _send_continue(self) -> None:
        if self._h11.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _handle_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._handle_head(event)
        elif isinstance(event, h11.Data):
            self._handle_data(event)
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch()

    def _handle_head(self, event: h11.Request) -> None:
        names = [name for name, _ in event.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # Conflicting framing headers allow request smuggling.
            self._reject(
                _BAD_REQUEST,
                "two framings of the body",
                RefusalReason.MALFORMED,
            )
            return
        # The parser only limits heads that arrive in several segments.
        size = _head_bytes(event)
        if size > self._limit(_max_header_bytes):
            self._reject(
                _HEAD_TOO_LARGE,
                "the head is too large",
                RefusalReason.HEAD_TOO_LARGE,
            )
            return
        head = HttpRequest(
            method=bytes(event.method),
            target=bytes(event.target),
            headers=tuple(
                (bytes(name), bytes(value))
                for name, value in event.headers.raw_items()
            ),
            body=b"",
            arrived_ms=self._arrived_ms,
        )
        self._head = head
        if not self._state.guard.admits_fields(len(names)):
            self._reject(
                _UNAVAILABLE,
                "too many fields at the moment",
                RefusalReason.MANY_FIELDS,
            )
            return
        if not self._hold(HeldKind.HEAD, size + len(names) * _FIELD_BYTES):
            return
        self._begin_body(head, _declared_bytes(event))

    def _begin_body(self, head: HttpRequest, declared: int | None) -> None:
        """Prepares for a body of a known length, or in chunks."""
        assert self._account is not None
        if (declared or 0) > self._limit(_max_body_bytes):
            self._reject_body()
            return
        if declared is None or declared > _ORDINARY_BODY_BYTES:
            self._account.workspace = self._state.workspace(head)
        self._body = BodyBuffer(declared, self._state.guard.clients)
        if not self._hold(HeldKind.BODY, self._body.reserved):
            return
        self._start_timer(_idle_timeout_ms, self._on_request_timeout)
        if declared != 0 and self._state.guard.limited:
            self._start_body_timer()

    def _handle_data(self, event: h11.Data) -> None:
        body = self._body
        if body is None:
            return
        body.add(event.data, begins_chunk=event.chunk_start)
        if body.size > self._limit(_max_body_bytes):
            self._reject_body()
            return
        if body.fragmented and self._state.guard.limited:
            self._reject(
                _BAD_REQUEST,
                "the chunks are too small",
                RefusalReason.SMALL_CHUNKS,
            )
            return
        if self._hold(HeldKind.BODY, body.reserved):
            self._start_timer(_idle_timeout_ms, self._on_request_timeout)

    def _reject_body(self) -> None:
        self._reject(
            _TOO_LARGE,
            "the body is too large",
            RefusalReason.BODY_TOO_LARGE,
        )

    def _hold(self, kind: HeldKind, size: int) -> bool:
        """Accounts for what a request needs; refuses it if there is no room."""
        assert self._account is not None
        outcome = self._state.guard.hold(self._account, kind, size)
        if outcome is Outcome.NO_ROOM and self._head is not None:
            self._reject(
                _UNAVAILABLE,
                "no memory for the request",
                RefusalReason.NO_ROOM,
            )
        elif outcome is not Outcome.GRANTED:
            reason = RefusalReason.OVER_SHARE
            if outcome is Outcome.NO_ROOM:
                reason = RefusalReason.NO_ROOM
            self._record_refusal(reason, "")
            self.abort()
            self._closed = True
        return outcome is Outcome.GRANTED

    def _dispatch(self) -> None:
        head = self._head
        if head is None or self._body is None or self._watch is None:
            return
        self._cancel_timer()
        self._cancel_body_timer()
        request = dataclasses.replace(head, body=self._body.take())
        self._body = None
        self._watch.begin_request()
        self._parsed_ahead = len(self._h11.trailing_data[0])
        self._keep_pipelined(b"")
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
            del request
            self._end_request()
        self._next_cycle()

    def _end_request(self) -> None:
        if self._watch is not None:
            self._watch.end_response()
        if self._account is None:
            return
        guard = self._state.guard
        guard.hold(self._account, HeldKind.HEAD, 0)
        guard.hold(self._account, HeldKind.BODY, 0)
        self._account.workspace = None
        guard.record_served(self._account)

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
            if self._has_unparsed:
                self._linger()
            else:
                self._transport.close()
            return
        if self._pipelined_dropped:
            self._linger()
            return
        self._adopt_limits()
        self._start_idle_timer()
        # A pipelined request or a part of one may have arrived.
        self._arrived_ms = self._state.now_ms()
        if not self._has_unparsed:
            self._in_row = 0
            return
        self._start_header_timer()
        self._in_row += 1
        guard = self._state.guard
        if guard.limited and self._in_row > guard.clients.pipelined_in_row:
            self._resting = asyncio.get_running_loop().call_later(
                guard.clients.pipelined_pause_ms / _MS_PER_S,
                self._parse_pipelined,
            )
        else:
            self._parse_pipelined()

    def _parse_pipelined(self) -> None:
        """Parses one pipelined request, if it is complete."""
        self._resting = None
        if self._closed or self._transport is None:
            return
        self._process_events()
        if self._task is not None or self._closed:
            return
        # The parser needs more.
        pipelined, self._pipelined = self._pipelined, bytearray()
        if self._paused:
            self._paused = False
            self._transport.resume_reading()
        if pipelined:
            self._receive(bytes(pipelined))

    @property
    def _has_unparsed(self) -> bool:
        return bool(self._pipelined or self._h11.trailing_data[0])

    def _record_refusal(
        self, reason: RefusalReason, detail: str, status: int | None = None
    ) -> None:
        self._state.guard.record_refusal(
            reason,
            detail or reason.value,
            status=status,
            target=self._head.target if self._head else b"",
            age_ms=self._state.now_ms() - self._arrived_ms,
        )

    def _reject(self, status: int, detail: str, reason: RefusalReason) -> None:
        self._record_refusal(reason, detail, status)
        self._cancel_timer()
        self._cancel_body_timer()
        extra: list[tuple[bytes, bytes]] = []
        if status == _UNAVAILABLE and self._head is not None:
            extra.extend(self._state.refusal_headers(self._head))
            extra.append((b"Retry-After", _RETRY_AFTER_S))
        self._head = None
        self._body = None
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = detail.encode()
            headers = [
                (b"Content-Type", b"text/plain"),
                (b"Content-Length", str(len(body)).encode()),
                (b"Connection", b"close"),
                *extra,
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
        if self._account is not None:
            self._state.guard.release(self._account)
        # Drops what the parser has buffered.
        self._h11 = self._create_parser()
        self._pipelined = bytearray()
        self._transport.write_eof()
        self._transport.resume_reading()
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(
            _LINGER_MS / _MS_PER_S, self._transport.close
        )

    def _on_request_timeout(self) -> None:
        self._reject(
            _REQUEST_TIMEOUT,
            "the request did not arrive in time",
            RefusalReason.REQUEST_TIMEOUT,
        )

    def _start_body_timer(self) -> None:
        self._body_timer = asyncio.get_running_loop().call_later(
            self._state.guard.clients.body_window_ms / _MS_PER_S,
            self._check_body,
        )

    def _check_body(self) -> None:
        """Gives up a body that arrives too slowly."""
        if self._body is None:
            return
        if self._body.take_window():
            self._start_body_timer()
            return
        self._reject(
            _REQUEST_TIMEOUT,
            "the body arrives too slowly",
            RefusalReason.SLOW_BODY,
        )

    def _cancel_body_timer(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None

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
            return self._limit(limit_ms) - elapsed_ms

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
            if self._watch is not None:
                self._watch.written(len(data))


def _max_header_bytes(limits: RequestLimits) -> int:
    return limits.max_header_bytes


def _max_body_bytes(limits: RequestLimits) -> int:
    return limits.max_body_bytes


def _header_timeout_ms(limits: RequestLimits) -> int:
    return limits.header_timeout_ms


def _idle_timeout_ms(limits: RequestLimits) -> int:
    return limits.idle_timeout_ms


def _declared_bytes(head: h11.Request) -> int | None:
    """Returns the length of the body; None if it arrives in chunks."""
    for name, value in head.headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            return int(value)
    return 0


def _head_bytes(head: h11.Request) -> int:
    lines = sum(
        len(name) + len(value) + _LINE_BYTES for name, value in head.headers
    )
    return len(head.method) + len(head.target) + lines


def _bind(host: str, port: int) -> socket.socket:
    """Returns a socket that is bound to an IP address."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, port))
    except BaseException:
        listening.close()
        raise
    return listening


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
        listening = _bind(host, port)
        try:
            self._server = await loop.create_server(
                lambda: CallerConnection(self._state),
                sock=listening,
                backlog=_ACCEPTED_PER_TURN,
            )
            # The loop takes the backlog for the connections to accept in a row.
            listening.listen(_BACKLOG)
        except BaseException:
            listening.close()
            raise
        bound: tuple[str, int] = listening.getsockname()
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

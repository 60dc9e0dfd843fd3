"""One connection of a caller or a peer, based on h11 and asyncio."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

import h11

from trefoilpitch.fleet import RequestLimits
from trefoilpitch.gateway._exceptions import CallerDisconnectedError
from trefoilpitch.gateway._http_client import Headers
from trefoilpitch.gateway._log import log_failure
from trefoilpitch.gateway._memory_budget import HeldKind, Outcome
from trefoilpitch.gateway._memory_guard import (
    ConnectionAccount,
    RefusalReason,
)
from trefoilpitch.gateway._request_receiver import (
    RequestReceiver,
    RequestRefusedError,
)
from trefoilpitch.gateway._request_timer import RequestTimer
from trefoilpitch.gateway._server_state import (
    HttpRequest,
    Responder,
    ServerState,
)
from trefoilpitch.gateway._sockets import PeerMonitor
from trefoilpitch.gateway._unread_watch import UnreadWatch

_MS_PER_S = 1_000
# How long a caller may go on sending after its last response.
_LINGER_MS = 1_000
# Bytes that are read and dropped in that time.
_MAX_LINGER_BYTES = 16 * 1024 * 1024
_REQUEST_TIMEOUT = 408
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503
# Delay before a retry of a request that found no room: uploads of a few seconds
# have ended by then.
_RETRY_AFTER_S = b"1"
# What an upstream's connection holds while its response is not forwarded.
_READ_AHEAD_BYTES = 128 * 1024
# Memory of a connection without a request.
_CONNECTION_BYTES = 16 * 1024


class CallerConnection(asyncio.BufferedProtocol):
    """One connection of a caller, which handles requests sequentially.

    When the caller closes the connection, the request in progress is
    cancelled.
    """

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._timer = RequestTimer(state.limits, state.now_ms)
        self._max_header_bytes = self._timer.begun_limits.max_header_bytes
        self._h11 = self._create_parser()
        self._transport: asyncio.Transport | None = None
        self._monitor: PeerMonitor | None = None
        self._task: asyncio.Task[None] | None = None
        # The request that is being handled; without its body.
        self._head: HttpRequest | None = None
        self._receiver: RequestReceiver | None = None
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
        self._receiver = RequestReceiver(
            self._state, self._account, self._timer
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
            self._timer.adopt_limits()
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
        if self._closed or self._task is not None:
            return
        if self._receives_head:
            self._hold(HeldKind.UNPARSED, len(self._h11.trailing_data[0]))
        elif self._body_timer is None and self._state.guard.limited:
            self._start_body_timer()

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
        self._timer.cancel()
        self._cancel_body_timer()
        if self._monitor is not None:
            self._monitor.close()
        if self._resting is not None:
            self._resting.cancel()
        if self._watch is not None:
            self._watch.close()
        if self._account is not None:
            self._state.guard.close(self._account)
        # They refer to this connection.
        self._account = None
        self._receiver = None
        self._watch = None
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
        watch = self._watch
        if watch is None or not self._state.guard.limited:
            await self.drain()
            return
        if not self._writable.is_set():
            # The upstream's connection goes on to receive a little.
            watch.hold(_READ_AHEAD_BYTES)
        if watch.exceeded:
            self._give_up_unread()
        if self._writable.is_set():
            await self.drain()
            return
        try:
            limit_ms = self._state.guard.clients.max_blocked_ms
            async with asyncio.timeout(limit_ms / _MS_PER_S):
                await self.drain()
        except TimeoutError:
            self._give_up_unread()
            raise CallerDisconnectedError from None
        watch.hold(0)

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
        if self._task is None and not (self._receives_head or at_once):
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
    def _receives_head(self) -> bool:
        """Whether the head of the next request has not arrived."""
        receiver = self._receiver
        return self._task is None and (
            receiver is None or receiver.head is None
        )

    @property
    def _idle(self) -> bool:
        return (
            self._receives_head
            and not self._lingering
            and not self._has_unparsed
        )

    def _create_parser(self) -> h11.Connection:
        return h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=self._max_header_bytes,
        )

    def _apply_header_limit(self) -> None:
        """Adopts a limit that has changed since the last request."""
        limit = self._timer.begun_limits.max_header_bytes
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
        if self._receiver is None:
            return
        try:
            if isinstance(event, h11.Request):
                self._receiver.begin(event, self._arrived_ms)
                self._timer.start(_idle_timeout_ms, self._on_request_timeout)
            elif isinstance(event, h11.Data):
                self._receiver.add(event)
                self._timer.start(_idle_timeout_ms, self._on_request_timeout)
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch(self._receiver.complete())
        except RequestRefusedError as refusal:
            self._refuse(refusal)

    def _refuse(self, refusal: RequestRefusedError) -> None:
        if refusal.status is not None:
            self._reject(refusal.status, refusal.detail, refusal.reason)
            return
        self._record_refusal(refusal.reason, refusal.detail)
        self.abort()
        self._closed = True

    def _hold(self, kind: HeldKind, size: int) -> bool:
        """Accounts for bytes; closes the connection if there is no room."""
        assert self._receiver is not None
        try:
            self._receiver.hold(kind, size)
        except RequestRefusedError as refusal:
            self._refuse(refusal)
            return False
        return True

    def _dispatch(self, request: HttpRequest) -> None:
        assert self._watch is not None
        self._timer.cancel()
        self._cancel_body_timer()
        self._head = dataclasses.replace(request, body=b"")
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
        if self._receiver is not None:
            self._receiver.release()
        if self._account is not None:
            self._state.guard.record_served(self._account)

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
        self._timer.adopt_limits()
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

    @property
    def _current_head(self) -> HttpRequest | None:
        """The head of the request that is being received or handled."""
        if self._receiver is not None and self._receiver.head is not None:
            return self._receiver.head
        return self._head

    def _record_refusal(
        self, reason: RefusalReason, detail: str, status: int | None = None
    ) -> None:
        head = self._current_head
        self._state.guard.record_refusal(
            reason,
            detail or reason.value,
            status=status,
            target=head.target if head else b"",
            age_ms=self._state.now_ms() - self._arrived_ms,
        )

    def _reject(self, status: int, detail: str, reason: RefusalReason) -> None:
        self._record_refusal(reason, detail, status)
        self._timer.cancel()
        self._cancel_body_timer()
        extra: list[tuple[bytes, bytes]] = []
        head = self._current_head
        if status == _UNAVAILABLE and head is not None:
            extra.extend(self._state.refusal_headers(head))
            extra.append((b"Retry-After", _RETRY_AFTER_S))
        if self._receiver is not None:
            self._receiver.release()
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
        self._timer.start_fixed(_LINGER_MS, self._transport.close)

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
        if self._receiver is None or self._receives_head:
            return
        if self._receiver.take_window():
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
        self._timer.start(_idle_timeout_ms, self._on_idle_timeout)

    def _start_header_timer(self) -> None:
        self._timer.start(_header_timeout_ms, self._on_request_timeout)

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


def _header_timeout_ms(limits: RequestLimits) -> int:
    return limits.header_timeout_ms


def _idle_timeout_ms(limits: RequestLimits) -> int:
    return limits.idle_timeout_ms

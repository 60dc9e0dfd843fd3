"""HTTP/1.1 client for upstreams, the store and peers."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections import deque
from collections.abc import AsyncIterator, Callable, Sequence
from types import TracebackType
from typing import Self, TypeAlias

import h11

from trefoilpitch.gateway._exceptions import ExchangeError
from trefoilpitch.gateway._sockets import PeerMonitor
from trefoilpitch.retries import FailureKind

Headers: TypeAlias = Sequence[tuple[bytes, bytes]]

_MAX_HEAD_BYTES = 64 * 1024
_MAX_INFORMATIONAL_RESPONSES = 100
# Above this one HTTP knows no status; h11 rejects those below 100.
_MAX_STATUS = 599
# Bytes of a response besides its body: heads, chunk headers and trailers. Small
# chunks add several bytes to each of theirs.
_MAX_FRAMING_BYTES = 2 * _MAX_HEAD_BYTES
_MAX_FRAMING_RATIO = 16
# Bytes received ahead of the reader above which the socket is left unread.
_READ_AHEAD_BYTES = 64 * 1024
# Parts of a response that are parsed in a row before other tasks get a turn.
_PARTS_PER_TURN = 64
# Parts of a request that are given to the transport at a time. It copies what
# the socket does not accept at once.
_SEND_BYTES = 64 * 1024
# What all connections receive into; each takes its bytes at once, on the one
# event loop of the process.
_RECEIVE_BUFFER = memoryview(bytearray(64 * 1024))
# Turns of the event loop between the readiness of a socket and the completion
# of its connection; asyncio takes five.
_CONNECT_TURNS = 10
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    # Header names are in lower case.
    headers: tuple[tuple[bytes, bytes], ...]

    @property
    def is_delimited(self) -> bool:
        """Whether the end of the body shows before the connection ends."""
        return (
            self.header(b"content-length") is not None
            or self.header(b"transfer-encoding") is not None
        )

    def header(self, name: bytes) -> str | None:
        """Returns the first value of a header, by its lower-case name."""
        for known, value in self.headers:
            if known == name:
                return value.decode("latin-1")
        return None


class HttpConnection(asyncio.BufferedProtocol):
    """One connection, which carries one exchange at a time.

    While its reader is slower than the other side, the socket is left unread,
    so that a response occupies a bounded amount of memory.

    Framing is checked strictly: a response that is shorter than its declared
    length, or truncated by a reset, raises `ExchangeError`.
    """

    def __init__(self) -> None:
        self._h11 = h11.Connection(
            our_role=h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._monitor: PeerMonitor | None = None
        self._received = asyncio.Event()
        self._failure: ExchangeError | None = None
        self._response_started = False
        # What the transport has not been given yet of the request.
        self._unsent: deque[memoryview] = deque()
        self._writable = True
        # Whether a request has been sent and its response has not ended.
        self._in_exchange = False
        # Of the response in progress: bytes received, bytes of its body, and
        # informational responses before its head.
        self._received_bytes = 0
        self._body_bytes = 0
        self._informational_responses = 0
        # Bytes received since the parser last asked for more.
        self._read_ahead_bytes = 0
        self._paused = False
        self._parts_in_row = 0

    @property
    def reusable(self) -> bool:
        """Whether another exchange may follow on this connection."""
        return (
            self._failure is None
            and self._transport is not None
            and not self._transport.is_closing()
            and not self._unsent
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._h11.trailing_data[0]
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and configures its socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._monitor = PeerMonitor(transport, self._on_unresponsive)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer that all connections receive into."""
        return _RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Handles the bytes in the buffer."""
        self.data_received(bytes(_RECEIVE_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Feeds received bytes to the parser; closes an idle connection."""
        if not self._in_exchange:
            self._fail(FailureKind.MALFORMED_RESPONSE, "data without a request")
            self.close()
            return
        self._response_started = True
        self._received_bytes += len(data)
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._fail(FailureKind.MALFORMED_RESPONSE, str(error))
        self._limit_read_ahead(len(data))
        self._received.set()

    def eof_received(self) -> bool:
        """Signals the end of the connection to the parser."""
        try:
            self._h11.receive_data(b"")
        except h11.RemoteProtocolError as error:
            self._fail(FailureKind.RESPONSE_TRUNCATED, str(error))
        self._received.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Records a reset; `eof_received` handles an orderly close."""
        self._unsent.clear()
        if self._monitor is not None:
            self._monitor.close()
        if exc is not None:
            self._fail_lost(str(exc) or type(exc).__name__)
        self._received.set()

    def pause_writing(self) -> None:
        """Holds the rest of the request back, as the send buffer is full."""
        self._writable = False

    def resume_writing(self) -> None:
        """Goes on with the request."""
        self._writable = True
        self._write_on()

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Sends a complete request.

        Its body is kept, but not copied, until all of it is sent.

        Raises:
            ExchangeError: If the connection is closed.
        """
        if self._h11.our_state is h11.DONE:
            self._h11.start_next_cycle()
        self._response_started = False
        self._received_bytes = 0
        self._body_bytes = 0
        self._informational_responses = 0
        request = h11.Request(
            method=method, target=target, headers=list(headers)
        )
        parts = self._h11.send_with_data_passthrough(request) or []
        if body:
            data = h11.Data(data=body)
            parts += self._h11.send_with_data_passthrough(data) or []
        parts += self._h11.send_with_data_passthrough(h11.EndOfMessage()) or []
        if self._transport is None or self._transport.is_closing():
            if self._failure is not None:
                raise self._failure.copy()
            raise ExchangeError(
                FailureKind.CONNECTION_LOST,
                "connection closed before the request was sent",
            )
        self._in_exchange = True
        self._queue(parts)
        self._write_on()

    async def receive_head(self, timeout_ms: float) -> ResponseHead:
        """Waits for the head of the response.

        Raises:
            ExchangeError: If the timeout expires, the connection closes or the
                response is malformed.
        """
        event = await self._next_event(timeout_ms)
        if not isinstance(event, h11.Response):
            raise ExchangeError(
                FailureKind.CONNECTION_LOST,
                "connection closed without a response",
            )
        if event.status_code > _MAX_STATUS:
            raise ExchangeError(
                FailureKind.MALFORMED_RESPONSE, f"status {event.status_code}"
            )
        headers = tuple((bytes(n), bytes(v)) for n, v in event.headers)
        return ResponseHead(status=event.status_code, headers=headers)

    async def receive_data(self, timeout_ms: float) -> bytes | None:
        """Waits for the next part of the body.

        Returns:
            The part, or None at the end of a complete body.

        Raises:
            ExchangeError: If the timeout expires or the body is truncated.
        """
        event = await self._next_event(timeout_ms)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ExchangeError(
            FailureKind.RESPONSE_TRUNCATED, "response body truncated"
        )

    async def receive_body(
        self,
        timeout_ms: float,
        max_bytes: int,
        hold: Callable[[int], bool] = lambda size: True,
    ) -> bytes:
        """Waits for the complete body.

        Args:
            timeout_ms: Time until its end.
            max_bytes: Its largest size.
            hold: Accounts for the bytes that have arrived; returns whether
                there is memory for them.

        Raises:
            ExchangeError: If the timeout expires, or the body is truncated or
                too large, or there is no memory for it.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_ms / _MS_PER_S
        body = bytearray()
        while True:
            left_ms = (end - loop.time()) * _MS_PER_S
            part = await self.receive_data(left_ms)
            if part is None:
                return bytes(body)
            body += part
            if len(body) > max_bytes:
                raise ExchangeError(
                    FailureKind.MALFORMED_RESPONSE,
                    f"response body exceeds {max_bytes} bytes",
                )
            if not hold(len(body)):
                raise ExchangeError(
                    FailureKind.MALFORMED_RESPONSE,
                    f"no memory for a response of {len(body)} bytes",
                )

    def close(self) -> None:
        """Closes the connection at once and drops buffered data."""
        self._unsent.clear()
        if self._transport is not None:
            self._transport.abort()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def _queue(self, parts: list[bytes]) -> None:
        """Queues a request; its head and a small body go into one segment."""
        if sum(map(len, parts)) <= _SEND_BYTES:
            self._unsent.append(memoryview(b"".join(parts)))
            return
        for part in parts:
            view = memoryview(part)
            self._unsent.extend(
                view[start : start + _SEND_BYTES]
                for start in range(0, len(view), _SEND_BYTES)
            )

    def _write_on(self) -> None:
        """Writes until the request is sent or the send buffer is full."""
        if self._transport is None:
            return
        while self._unsent and self._writable:
            self._transport.write(self._unsent.popleft())
        if self._monitor is not None:
            self._monitor.data_written()

    async def _next_event(self, timeout_ms: float) -> object:
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_ms / _MS_PER_S
        if self._parts_in_row >= _PARTS_PER_TURN:
            self._parts_in_row = 0
            await asyncio.sleep(0)
        while True:
            event = self._parse()
            if event is not None:
                self._parts_in_row += 1
                return event
            self._parts_in_row = 0
            if self._failure is not None:
                raise self._failure.copy()
            self._received.clear()
            try:
                async with asyncio.timeout_at(end):
                    await self._received.wait()
            except TimeoutError:
                # Data may have arrived in the same turn of the event loop.
                event = self._parse()
                if event is not None:
                    return event
                raise ExchangeError(
                    FailureKind.RESPONSE_TIMEOUT,
                    f"no data received within {timeout_ms:.0f} ms",
                ) from None

    def _limit_read_ahead(self, size: int) -> None:
        self._read_ahead_bytes += size
        if self._transport is None or self._paused:
            return
        if self._read_ahead_bytes > _READ_AHEAD_BYTES:
            self._transport.pause_reading()
            self._paused = True

    def _read_on(self) -> None:
        self._read_ahead_bytes = 0
        if self._transport is not None and self._paused:
            self._transport.resume_reading()
            self._paused = False

    def _parse(self) -> object | None:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise ExchangeError(self._kind(error), str(error)) from error
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._check_framing()
                self._read_on()
                return None
            if isinstance(event, h11.InformationalResponse):
                self._count_informational()
                continue
            if isinstance(event, h11.Data):
                self._body_bytes += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._in_exchange = False
                # Notices when an idle connection is closed.
                self._read_on()
            return event

    def _count_informational(self) -> None:
        self._informational_responses += 1
        if self._informational_responses > _MAX_INFORMATIONAL_RESPONSES:
            raise ExchangeError(
                FailureKind.MALFORMED_RESPONSE,
                "too many informational responses",
            )

    def _check_framing(self) -> None:
        framing = self._received_bytes - self._body_bytes
        limit = _MAX_FRAMING_BYTES + _MAX_FRAMING_RATIO * self._body_bytes
        if framing > limit:
            raise ExchangeError(
                FailureKind.MALFORMED_RESPONSE,
                f"{framing} bytes besides a body of {self._body_bytes}",
            )

    def _kind(self, error: h11.RemoteProtocolError) -> FailureKind:
        if not self._response_started:
            return FailureKind.CONNECTION_LOST
        # h11 distinguishes a truncated body only by the message of its error.
        if "closed" in str(error):
            return FailureKind.RESPONSE_TRUNCATED
        return FailureKind.MALFORMED_RESPONSE

    def _on_unresponsive(self) -> None:
        self._fail_lost("the peer does not acknowledge")
        self.close()

    def _fail_lost(self, detail: str) -> None:
        kind = FailureKind.CONNECTION_LOST
        if self._response_started:
            kind = FailureKind.RESPONSE_TRUNCATED
        self._fail(kind, detail)

    def _fail(self, kind: FailureKind, detail: str) -> None:
        if self._failure is None:
            self._failure = ExchangeError(kind, detail)


@contextlib.asynccontextmanager
async def _connect_timeout(timeout_ms: float) -> AsyncIterator[None]:
    """Ends its block some turns of the event loop after a time.

    Load pattern: this process did not run for a while. The peer has answered
    in time, but the loop finds that out in the turn in which the time is over.

    Raises:
        TimeoutError: If the block has not completed.
    """
    loop = asyncio.get_running_loop()
    handle: asyncio.Handle

    def expire(scope: asyncio.Timeout, turns_left: int) -> None:
        nonlocal handle
        if turns_left:
            handle = loop.call_soon(expire, scope, turns_left - 1)
        else:
            scope.reschedule(loop.time())

    async with asyncio.timeout(None) as scope:
        handle = loop.call_later(
            timeout_ms / _MS_PER_S, expire, scope, _CONNECT_TURNS
        )
        try:
            yield
        finally:
            handle.cancel()


async def connect(host: str, port: int, timeout_ms: float) -> HttpConnection:
    """Opens a connection.

    Time in which this process did not run does not end the attempt if the peer
    has accepted the connection meanwhile.

    Raises:
        ExchangeError: If it fails or is not established in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with _connect_timeout(timeout_ms):
            _, connection = await loop.create_connection(
                HttpConnection, host, port
            )
    except TimeoutError:
        raise ExchangeError(
            FailureKind.CONNECT_TIMEOUT,
            f"no connection within {timeout_ms:.0f} ms",
        ) from None
    except OSError as error:
        raise ExchangeError(FailureKind.CONNECT_REFUSED, str(error)) from error
    return connection

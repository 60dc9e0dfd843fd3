"""HTTP/1.1 towards upstreams, the store and peers, on one event loop."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Sequence
from types import TracebackType
from typing import Self, TypeAlias

import h11

from trefoilpitch.gateway._exceptions import ExchangeError
from trefoilpitch.gateway._sockets import watch_for_silence
from trefoilpitch.retries import FailureKind

Headers: TypeAlias = Sequence[tuple[bytes, bytes]]

_MAX_HEAD_BYTES = 64 * 1024
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """Status and headers of an answer."""

    # The HTTP status.
    status: int
    # Headers with their names in lower case.
    headers: tuple[tuple[bytes, bytes], ...]

    def header(self, name: bytes) -> str | None:
        """Returns the first value of a header, by its lower-case name."""
        for known, value in self.headers:
            if known == name:
                return value.decode("latin-1")
        return None


class HttpConnection(asyncio.Protocol):
    """One connection; carries one exchange at a time.

    Framing is checked strictly: an answer that ends before its length, or
    that a reset cuts off, raises.
    """

    def __init__(self) -> None:
        self._h11 = h11.Connection(
            our_role=h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._arrived = asyncio.Event()
        self._fault: ExchangeError | None = None
        self._answered = False

    @property
    def reusable(self) -> bool:
        """Whether another exchange may follow on this connection."""
        return (
            self._fault is None
            and self._transport is not None
            and not self._transport.is_closing()
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._h11.trailing_data[0]
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        watch_for_silence(transport)

    def data_received(self, data: bytes) -> None:
        """Hands bytes to the parser."""
        self._answered = True
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._fail(FailureKind.MALFORMED_RESPONSE, str(error))
        self._arrived.set()

    def eof_received(self) -> bool:
        """Tells the parser that the peer has ended the connection."""
        try:
            self._h11.receive_data(b"")
        except h11.RemoteProtocolError as error:
            self._fail(FailureKind.RESPONSE_TRUNCATED, str(error))
        self._arrived.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Records a reset; a plain end has been told to the parser."""
        if exc is not None:
            kind = FailureKind.CONNECTION_LOST
            if self._answered:
                kind = FailureKind.RESPONSE_TRUNCATED
            self._fail(kind, str(exc) or type(exc).__name__)
        self._arrived.set()

    def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Sends a whole request.

        Raises:
            ExchangeError: If the connection has ended.
        """
        if self._h11.our_state is h11.DONE:
            self._h11.start_next_cycle()
        self._answered = False
        request = h11.Request(
            method=method, target=target, headers=list(headers)
        )
        out = self._h11.send(request) or b""
        if body:
            out += self._h11.send(h11.Data(data=body)) or b""
        out += self._h11.send(h11.EndOfMessage()) or b""
        if self._transport is None or self._transport.is_closing():
            raise self._fault or ExchangeError(
                FailureKind.CONNECTION_LOST, "closed before the request"
            )
        self._transport.write(out)

    async def receive_head(self, timeout_ms: float) -> AnswerHead:
        """Waits for the answer's head.

        Raises:
            ExchangeError: If none comes in time, or the connection ends.
        """
        event = await self._next_event(timeout_ms)
        if not isinstance(event, h11.Response):
            raise ExchangeError(
                FailureKind.CONNECTION_LOST, "closed without an answer"
            )
        headers = tuple((bytes(n), bytes(v)) for n, v in event.headers)
        return AnswerHead(status=event.status_code, headers=headers)

    async def receive_data(self, timeout_ms: float) -> bytes | None:
        """Waits for the next part of the answer's body.

        Returns:
            The part; None at the end of a whole body.

        Raises:
            ExchangeError: If none comes in time, or the body is cut off.
        """
        event = await self._next_event(timeout_ms)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ExchangeError(
            FailureKind.RESPONSE_TRUNCATED, "the body is cut off"
        )

    async def receive_body(self, timeout_ms: float, max_bytes: int) -> bytes:
        """Waits for the whole body.

        Raises:
            ExchangeError: If it does not come whole, or is too large.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_ms / _MS_PER_S
        parts: list[bytes] = []
        size = 0
        while True:
            left_ms = (end - loop.time()) * _MS_PER_S
            part = await self.receive_data(left_ms)
            if part is None:
                return b"".join(parts)
            parts.append(part)
            size += len(part)
            if size > max_bytes:
                raise ExchangeError(
                    FailureKind.MALFORMED_RESPONSE,
                    f"a body of more than {max_bytes} bytes",
                )

    def close(self) -> None:
        """Closes the connection at once; what is under way is dropped."""
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

    async def _next_event(self, timeout_ms: float) -> object:
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_ms / _MS_PER_S
        while True:
            event = self._parse()
            if event is not None:
                return event
            if self._fault is not None:
                raise self._fault
            self._arrived.clear()
            try:
                async with asyncio.timeout_at(end):
                    await self._arrived.wait()
            except TimeoutError:
                raise ExchangeError(
                    FailureKind.RESPONSE_TIMEOUT,
                    f"nothing came in {timeout_ms:.0f} ms",
                ) from None

    def _parse(self) -> object | None:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise ExchangeError(self._kind(error), str(error)) from error
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.InformationalResponse):
                continue
            return event

    def _kind(self, error: h11.RemoteProtocolError) -> FailureKind:
        if not self._answered:
            return FailureKind.CONNECTION_LOST
        # The parser tells a body that ends early by its text only.
        if "closed" in str(error):
            return FailureKind.RESPONSE_TRUNCATED
        return FailureKind.MALFORMED_RESPONSE

    def _fail(self, kind: FailureKind, detail: str) -> None:
        if self._fault is None:
            self._fault = ExchangeError(kind, detail)


async def connect(host: str, port: int, timeout_ms: float) -> HttpConnection:
    """Opens a connection.

    Raises:
        ExchangeError: If it is refused, or not open in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / _MS_PER_S):
            _, connection = await loop.create_connection(
                HttpConnection, host, port
            )
    except TimeoutError:
        raise ExchangeError(
            FailureKind.CONNECT_TIMEOUT, f"not open in {timeout_ms:.0f} ms"
        ) from None
    except OSError as error:
        raise ExchangeError(FailureKind.CONNECT_REFUSED, str(error)) from error
    return connection

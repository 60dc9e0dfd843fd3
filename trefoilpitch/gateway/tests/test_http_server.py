"""Tests of the server's connections."""

from __future__ import annotations

import asyncio
import dataclasses
import time

import pytest

from trefoilpitch.fleet import RequestLimits
from trefoilpitch.gateway import (
    ExchangeError,
    HttpRequest,
    HttpServer,
    Responder,
    ServerState,
    connect,
)

_HOST = "127.0.0.1"
_TIMEOUT_MS = 5_000


def _server(fails_after_start: bool) -> HttpServer:
    async def handler(request: HttpRequest, responder: Responder) -> None:
        if fails_after_start:
            await responder.start(200, [])
        raise RuntimeError("a fault of the program")

    return HttpServer(
        ServerState(handler=handler, limits=RequestLimits, now_ms=lambda: 0)
    )


_LIMITS = RequestLimits(
    max_header_bytes=1_000, header_timeout_ms=300, idle_timeout_ms=1_200
)


class _Limited:
    """A server whose limits change while connections are open."""

    def __init__(self) -> None:
        self.limits = _LIMITS
        self.response_delay_s = 0.0
        self.server = HttpServer(
            ServerState(
                handler=self._handle,
                limits=lambda: self.limits,
                now_ms=lambda: int(time.monotonic() * 1_000),
            )
        )

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        await asyncio.sleep(self.response_delay_s)
        await responder.respond(200, [], b"ok")


def _head(padding: int) -> bytes:
    return b"GET / HTTP/1.1\r\nHost: h\r\nX-Padding: " + b"x" * padding


async def _send_in_segments(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Sends a request head whose end arrives in a segment of its own."""
    writer.write(data)
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.write(b"\r\n\r\n")


async def _status(reader: asyncio.StreamReader) -> bytes:
    """Reads a response and returns its status."""
    head = await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(2)
    return head.split(b" ")[1]


@pytest.mark.parametrize(
    ("padding", "status"), [(1_500, b"200"), (5_000, b"431")]
)
def test_raised_header_limit_applies_to_connections_that_are_open(
    padding: int, status: bytes
) -> None:
    async def scenario() -> None:
        limited = _Limited()
        with limited.server as server:
            port = await server.listen(_HOST, 0)
            reader, writer = await asyncio.open_connection(_HOST, port)
            await _send_in_segments(writer, _head(10))
            assert await _status(reader) == b"200"
            limited.limits = dataclasses.replace(
                _LIMITS, max_header_bytes=4_000
            )
            await _send_in_segments(writer, _head(padding))
            assert await _status(reader) == status
            writer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("lowered", "beginning", "rest"),
    [
        (
            {"max_body_bytes": 50},
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 80\r\n\r\n"
            + b"x" * 40,
            b"x" * 40,
        ),
        ({"max_header_bytes": 400}, _head(500), b"\r\n\r\n"),
    ],
    ids=["body", "head"],
)
def test_lowered_limit_does_not_apply_to_a_request_in_progress(
    lowered: dict[str, int], beginning: bytes, rest: bytes
) -> None:
    async def scenario() -> None:
        limited = _Limited()
        with limited.server as server:
            port = await server.listen(_HOST, 0)
            reader, writer = await asyncio.open_connection(_HOST, port)
            writer.write(beginning)
            await asyncio.sleep(0.1)
            limited.limits = dataclasses.replace(_LIMITS, **lowered)
            writer.write(rest)
            assert await _status(reader) == b"200"
            writer.write(beginning + rest)
            assert await _status(reader) in (b"413", b"431")
            writer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("timeout", "beginning", "rest"),
    [
        ("header_timeout_ms", _head(10), b"\r\n\r\n"),
        (
            "idle_timeout_ms",
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n",
            b"ab",
        ),
        (
            "idle_timeout_ms",
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na",
            b"b",
        ),
    ],
    ids=["head", "body", "rest of a body"],
)
def test_raised_timeout_applies_to_a_request_in_progress(
    timeout: str, beginning: bytes, rest: bytes
) -> None:
    async def scenario() -> None:
        limited = _Limited()
        limited.limits = dataclasses.replace(_LIMITS, **{timeout: 300})
        with limited.server as server:
            port = await server.listen(_HOST, 0)
            reader, writer = await asyncio.open_connection(_HOST, port)
            writer.write(beginning)
            await asyncio.sleep(0.1)
            limited.limits = dataclasses.replace(_LIMITS, **{timeout: 1_000})
            await asyncio.sleep(0.4)
            writer.write(rest)
            assert await _status(reader) == b"200"
            started = time.monotonic()
            writer.write(beginning)
            assert await _status(reader) == b"408"
            assert 0.9 < time.monotonic() - started < 3
            writer.close()

    asyncio.run(scenario())


def test_endless_head_is_refused_at_the_limit() -> None:
    async def scenario() -> None:
        with _Limited().server as server:
            port = await server.listen(_HOST, 0)
            reader, writer = await asyncio.open_connection(_HOST, port)
            writer.write(_head(2_000))
            assert await _status(reader) == b"431"
            writer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("rest", [b"", b"st: h\r\nX-Padding: "])
def test_head_that_begins_behind_another_request_is_refused_in_time(
    rest: bytes,
) -> None:
    """The caller pipelines the beginning of a request and never ends it."""

    async def scenario() -> None:
        limited = _Limited()
        limited.response_delay_s = 0.2
        with limited.server as server:
            port = await server.listen(_HOST, 0)
            reader, writer = await asyncio.open_connection(_HOST, port)
            writer.write(_head(10) + b"\r\n\r\nGET / HTTP/1.1\r\nHo")
            assert await _status(reader) == b"200"
            started = time.monotonic()
            await asyncio.sleep(0.1)
            writer.write(rest)
            assert await _status(reader) == b"408"
            elapsed_ms = (time.monotonic() - started) * 1_000
            assert elapsed_ms < _LIMITS.idle_timeout_ms / 2
            writer.close()

    asyncio.run(scenario())


async def _send_until_closed(
    writer: asyncio.StreamWriter, segments: int
) -> None:
    """Sends as a caller that does not read before it has sent all."""
    for _ in range(segments):
        writer.write(b"x" * 65_536)
        await writer.drain()
        await asyncio.sleep(0.002)


def test_refusal_reaches_a_caller_that_is_still_sending() -> None:
    """A connection that is closed with data unread is reset."""

    async def scenario() -> None:
        limited = _Limited()
        limited.limits = dataclasses.replace(_LIMITS, max_body_bytes=1_000)
        with limited.server as server:
            port = await server.listen(_HOST, 0)
            reader, writer = await asyncio.open_connection(_HOST, port)
            writer.write(
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6553600\r\n\r\n"
            )
            await _send_until_closed(writer, 100)
            assert (await reader.readline()).split()[1] == b"413"
            writer.close()

    asyncio.run(scenario())


def test_last_response_reaches_a_caller_that_has_sent_more_requests() -> None:
    async def scenario() -> None:
        limited = _Limited()
        limited.response_delay_s = 0.1
        with limited.server as server:
            server.state.closing = True
            port = await server.listen(_HOST, 0)
            reader, writer = await asyncio.open_connection(_HOST, port)
            writer.write(_head(10) + b"\r\n\r\n")
            await _send_until_closed(writer, 100)
            assert await _status(reader) == b"200"
            assert await reader.read() == b""
            writer.close()

    asyncio.run(scenario())


def test_caller_that_sends_on_after_a_refusal_is_disconnected() -> None:
    async def scenario() -> None:
        with _Limited().server as server:
            port = await server.listen(_HOST, 0)
            reader, writer = await asyncio.open_connection(_HOST, port)
            writer.write(_head(2_000))
            assert await _status(reader) == b"431"
            async with asyncio.timeout(_TIMEOUT_MS / 1_000):
                while server.state.connections:
                    writer.write(b"x")
                    await asyncio.sleep(0.05)
            writer.close()

    asyncio.run(scenario())


def test_request_whose_handler_fails_gets_a_response() -> None:
    async def scenario() -> None:
        with _server(fails_after_start=False) as server:
            port = await server.listen(_HOST, 0)
            with await connect(_HOST, port, _TIMEOUT_MS) as connection:
                connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
                head = await connection.receive_head(_TIMEOUT_MS)
                assert head.status == 500
                assert await connection.receive_body(_TIMEOUT_MS, 100) == b""

    asyncio.run(scenario())


def test_response_in_progress_whose_handler_fails_is_incomplete() -> None:
    async def scenario() -> None:
        with _server(fails_after_start=True) as server:
            port = await server.listen(_HOST, 0)
            with await connect(_HOST, port, _TIMEOUT_MS) as connection:
                connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
                with pytest.raises(ExchangeError):
                    await connection.receive_head(_TIMEOUT_MS)
                    await connection.receive_body(_TIMEOUT_MS, 100)

    asyncio.run(scenario())


def test_server_with_a_response_that_is_not_read_yet_is_unfinished() -> None:
    """A daemon that exits drops what its connections have buffered."""
    sent = 0

    async def handler(request: HttpRequest, responder: Responder) -> None:
        nonlocal sent
        connection = next(iter(server.state.connections))
        await responder.start(200, [])
        while not connection.unsent:
            await responder.write(b"x" * 16_384)
            sent += 16_384
        responder.finish()

    server = HttpServer(
        ServerState(handler=handler, limits=RequestLimits, now_ms=lambda: 0)
    )

    async def scenario() -> None:
        with server:
            port = await server.listen(_HOST, 0)
            reader, writer = await asyncio.open_connection(_HOST, port)
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            async with asyncio.timeout(_TIMEOUT_MS / 1_000):
                while not sent or server.state.active:
                    await asyncio.sleep(0.01)
            assert not server.finished
            received = b""
            async with asyncio.timeout(_TIMEOUT_MS / 1_000):
                while not server.finished:
                    received += await reader.read(65_536)
        received += await reader.read()
        assert received.endswith(b"0\r\n\r\n")
        assert received.count(b"x") == sent
        writer.close()

    asyncio.run(scenario())

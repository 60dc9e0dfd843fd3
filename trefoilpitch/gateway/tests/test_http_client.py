"""Tests of the client's buffering and of its share of the event loop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import pytest

from trefoilpitch.gateway import ExchangeError, HttpConnection, connect
from trefoilpitch.retries import FailureKind
from trefoilpitch.standins import run_undelayed

_HOST = "127.0.0.1"
_TIMEOUT_MS = 1_000
_SEGMENT = b"x" * 65_536
# Bytes that a connection may hold while nobody reads them.
_MAX_HELD_BYTES = 1 << 20


class _Transport(asyncio.Transport):
    """Delivers segments while reading is not paused."""

    def __init__(self, connection: HttpConnection) -> None:
        super().__init__()
        self._connection = connection
        self.reading = True
        self.closed = False

    def deliver(self, segment: bytes, times: int) -> int:
        """Delivers a segment repeatedly; returns how often it was accepted."""
        for number in range(times):
            if self.closed or not self.reading:
                return number
            self._connection.data_received(segment)
        return times

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def is_closing(self) -> bool:
        return self.closed

    def abort(self) -> None:
        self.closed = True

    def write(self, data: Any) -> None:
        pass


class _SlowTransport(_Transport):
    """Its send buffer is full after each write."""

    def __init__(self, connection: HttpConnection) -> None:
        super().__init__(connection)
        self.written: list[memoryview] = []

    def write(self, data: Any) -> None:
        self.written.append(data)
        self._connection.pause_writing()

    def drain(self) -> bytes:
        """Lets the rest of the request through; returns all of it."""
        count = 0
        while count != len(self.written):
            count = len(self.written)
            self._connection.resume_writing()
        return b"".join(self.written)


def _connected() -> tuple[HttpConnection, _Transport]:
    connection = HttpConnection()
    transport = _Transport(connection)
    connection.connection_made(transport)
    return connection, transport


def _sent() -> tuple[HttpConnection, _Transport]:
    connection, transport = _connected()
    connection.send(b"GET", b"/x", [(b"Host", b"a")], b"")
    return connection, transport


def test_reading_pauses_while_nobody_takes_the_data() -> None:
    async def scenario() -> None:
        connection, transport = _sent()
        transport.deliver(b"HTTP/1.1 200 OK\r\n\r\n", 1)
        accepted = transport.deliver(_SEGMENT, 100)
        assert accepted * len(_SEGMENT) <= _MAX_HELD_BYTES
        assert not transport.closed
        await connection.receive_head(_TIMEOUT_MS)
        received = 0
        while received < accepted * len(_SEGMENT):
            data = await connection.receive_data(_TIMEOUT_MS)
            received += len(data or b"")
        with pytest.raises(ExchangeError) as raised:
            await connection.receive_data(1)
        assert raised.value.kind is FailureKind.RESPONSE_TIMEOUT
        assert transport.reading

    run_undelayed(scenario)


def test_reading_goes_on_after_the_end_of_a_long_response() -> None:
    """An idle connection that is left unread would hide its end."""

    async def scenario() -> None:
        connection, transport = _sent()
        length = str(2 * len(_SEGMENT)).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: " + length + b"\r\n\r\n"
        transport.deliver(head + _SEGMENT + _SEGMENT, 1)
        assert not transport.reading
        await connection.receive_head(_TIMEOUT_MS)
        body = await connection.receive_body(_TIMEOUT_MS, 1 << 20)
        assert body == _SEGMENT + _SEGMENT
        assert transport.reading

    run_undelayed(scenario)


@pytest.mark.parametrize("connect", [_connected, _sent])
def test_idle_connection_that_receives_data_is_closed(
    connect: Callable[[], tuple[HttpConnection, _Transport]],
) -> None:
    async def scenario() -> None:
        connection, transport = connect()
        if connect is _sent:
            transport.deliver(
                b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 1
            )
            await connection.receive_head(_TIMEOUT_MS)
            assert await connection.receive_data(_TIMEOUT_MS) is None
            assert connection.reusable
        accepted = transport.deliver(_SEGMENT, 100)
        assert accepted * len(_SEGMENT) <= _MAX_HELD_BYTES
        assert transport.closed
        assert not connection.reusable

    run_undelayed(scenario)


def test_reading_many_parts_leaves_the_event_loop_to_others() -> None:
    async def scenario() -> None:
        connection, transport = _sent()
        transport.deliver(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 1
        )
        transport.deliver(b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n", 1)
        turns = 0

        async def take_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        other = asyncio.create_task(take_turns())
        await connection.receive_head(_TIMEOUT_MS)
        body = await connection.receive_body(_TIMEOUT_MS * 10, 1 << 20)
        other.cancel()
        assert len(body) == 10_000
        assert turns > 100

    run_undelayed(scenario)


def test_body_in_small_chunks_takes_little_more_memory_than_its_bytes() -> None:
    async def scenario() -> None:
        connection, transport = _sent()
        transport.deliver(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 1
        )

        async def send_body() -> None:
            for part in [b"2\r\nxy\r\n" * 1_000] * 30 + [b"0\r\n\r\n"]:
                while not transport.deliver(part, 1):
                    await asyncio.sleep(0)

        await connection.receive_head(_TIMEOUT_MS)
        sending = asyncio.create_task(send_body())
        tracemalloc.start()
        try:
            body = await connection.receive_body(10 * _TIMEOUT_MS, 1 << 20)
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        await sending
        assert body == b"xy" * 30_000
        assert peak < 10 * len(body)

    run_undelayed(scenario)


def test_malformed_data_is_quoted_in_part_only() -> None:
    """The detail of a failure is logged, whatever an upstream sends."""

    async def scenario() -> None:
        connection, transport = _sent()
        transport.deliver(b"\0" * 60_000 + b"\r\n\r\n", 1)
        with pytest.raises(ExchangeError) as raised:
            await connection.receive_head(_TIMEOUT_MS)
        assert raised.value.kind is FailureKind.MALFORMED_RESPONSE
        assert len(raised.value.detail) < 1_000

    run_undelayed(scenario)


@pytest.mark.parametrize("turn", range(3))
def test_connection_that_opens_while_the_process_is_held_up_is_used(
    turn: int,
) -> None:
    """The verdict that a sound upstream cannot be reached ejects it."""

    def hold_up(turns_left: int) -> None:
        if turns_left:
            asyncio.get_running_loop().call_soon(hold_up, turns_left - 1)
        else:
            time.sleep(0.2)

    async def scenario() -> None:
        with socket.create_server((_HOST, 0)) as server:
            hold_up(turn + 1)
            port = server.getsockname()[1]
            with await connect(_HOST, port, 100) as connection:
                connection.send(b"GET", b"/", [(b"Host", b"a")], b"")

    run_undelayed(scenario)


def test_connection_that_is_not_accepted_times_out() -> None:
    async def scenario() -> None:
        with contextlib.ExitStack() as stack:
            server = stack.enter_context(socket.socket())
            server.bind((_HOST, 0))
            server.listen(0)
            address = server.getsockname()
            # Fills the queue, so that the kernel drops further requests.
            stack.enter_context(socket.create_connection(address))
            loop = asyncio.get_running_loop()
            started = loop.time()
            with pytest.raises(ExchangeError) as raised:
                await connect(_HOST, address[1], 100)
            assert raised.value.kind is FailureKind.CONNECT_TIMEOUT
            assert 0.1 <= loop.time() - started < 1.0

    run_undelayed(scenario)


@pytest.mark.parametrize(
    ("framing", "start", "end"),
    [
        ((b"Content-Length", b"4194304"), b"", b""),
        ((b"Transfer-Encoding", b"chunked"), b"400000\r\n", b"\r\n0\r\n\r\n"),
    ],
)
def test_large_body_is_neither_copied_nor_written_at_once(
    framing: tuple[bytes, bytes], start: bytes, end: bytes
) -> None:
    """The transport copies what a slow upstream does not take."""

    async def scenario() -> None:
        connection = HttpConnection()
        transport = _SlowTransport(connection)
        connection.connection_made(transport)
        body = bytes(range(256)) * 16_384
        connection.send(b"POST", b"/x", [(b"Host", b"a"), framing], body)
        assert sum(map(len, transport.written)) <= len(_SEGMENT)
        sent = transport.drain()
        head, _, rest = sent.partition(b"\r\n\r\n")
        assert head.startswith(b"POST /x HTTP/1.1")
        assert rest == start + body + end
        parts = [view for view in transport.written if view.obj is body]
        assert sum(map(len, parts)) == len(body)

    run_undelayed(scenario)


def test_rest_of_a_body_is_dropped_when_the_connection_is_closed() -> None:
    async def scenario() -> None:
        connection = HttpConnection()
        transport = _SlowTransport(connection)
        connection.connection_made(transport)
        length = (b"Content-Length", b"1000000")
        body = b"x" * 1_000_000
        connection.send(b"POST", b"/x", [(b"Host", b"a"), length], body)
        connection.close()
        written = len(transport.written)
        transport.drain()
        assert len(transport.written) == written

    run_undelayed(scenario)

"""Tests that peers that read nothing are kept, and vanished ones noticed."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import socket
import struct
import time
from collections.abc import Callable, Iterator
from typing import Any

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
from trefoilpitch.gateway._sockets import PeerMonitor
from trefoilpitch.retries import FailureKind

_HOST = "127.0.0.1"
_TIMEOUT_MS = 5_000
# Longer than the user timeout of the connections, which is 3 s.
_PAUSE_S = 5.0
# Time within which a vanished peer must be noticed.
_NOTICED_S = 7.0
# From asm-generic/socket.h and linux/filter.h: drops each packet.
_SO_ATTACH_FILTER = 26
_DROP = struct.pack("HBBI", 0x06, 0, 0, 0)


def _vanish(sock: socket.socket) -> None:
    """Makes the kernel drop all packets to a socket, also acknowledgements."""
    code = ctypes.create_string_buffer(_DROP)
    program = struct.pack("HxxxxxxP", 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


@contextlib.contextmanager
def _caller(port: int) -> Iterator[socket.socket]:
    """Opens a connection and sends a request on it."""
    with socket.create_connection((_HOST, port)) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        yield caller


class _Stream:
    """Answers with blocks until the caller is gone; records the time."""

    def __init__(self, block: bytes, gap_s: float) -> None:
        self._block = block
        self._gap_s = gap_s
        self.ended_s: float | None = None
        self.server = HttpServer(
            ServerState(
                handler=self._handle, limits=RequestLimits, now_ms=lambda: 0
            )
        )

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        try:
            await responder.start(200, [])
            while True:
                await responder.write(self._block)
                await asyncio.sleep(self._gap_s)
        finally:
            self.ended_s = time.monotonic()

    async def wait_for_end(self) -> float:
        while self.ended_s is None:
            await asyncio.sleep(0.05)
        return self.ended_s


def test_caller_that_vanishes_with_data_on_the_way_is_noticed() -> None:
    async def scenario() -> None:
        stream = _Stream(b"event", gap_s=0.1)
        with stream.server as server:
            port = await server.listen(_HOST, 0)
            with _caller(port) as caller:
                await asyncio.sleep(0.5)
                assert stream.ended_s is None
                _vanish(caller)
                async with asyncio.timeout(_NOTICED_S):
                    await stream.wait_for_end()

    asyncio.run(scenario())


@pytest.mark.parametrize("size", [32_768, 60])
def test_caller_that_vanishes_while_it_reads_nothing_is_noticed(
    size: int,
) -> None:
    async def scenario() -> None:
        stream = _Stream(b"x" * size, gap_s=0.0)
        with stream.server as server:
            port = await server.listen(_HOST, 0)
            with _caller(port) as caller:
                await asyncio.sleep(_PAUSE_S)
                assert stream.ended_s is None
                _vanish(caller)
                async with asyncio.timeout(_NOTICED_S):
                    await stream.wait_for_end()

    asyncio.run(scenario())


async def _read_late(
    server: socket.socket, length: int, action: Callable[[socket.socket], None]
) -> None:
    """Accepts a request, pauses, and then reads and answers it."""
    loop = asyncio.get_running_loop()
    upstream, _ = await loop.sock_accept(server)
    with upstream:
        upstream.setblocking(False)
        await asyncio.sleep(_PAUSE_S)
        action(upstream)
        received = 0
        while received < length:
            received += len(await loop.sock_recv(upstream, 1 << 20))
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        await loop.sock_sendall(upstream, response)


async def _send_to_late_reader(
    action: Callable[[socket.socket], None], timeout_s: float
) -> int:
    """Returns the status of the response."""
    body = b"x" * (32 << 20)
    length = str(len(body)).encode()
    headers = [(b"Host", b"a"), (b"Content-Length", length)]
    with socket.create_server((_HOST, 0)) as server:
        server.setblocking(False)
        task = asyncio.create_task(_read_late(server, len(body), action))
        try:
            port = server.getsockname()[1]
            with await connect(_HOST, port, _TIMEOUT_MS) as connection:
                connection.send(b"POST", b"/", headers, body)
                head = await connection.receive_head(timeout_s * 1_000)
                return head.status
        finally:
            task.cancel()
            await asyncio.wait([task])


def test_request_waits_for_an_upstream_that_reads_late() -> None:
    async def scenario() -> None:
        status = await _send_to_late_reader(lambda sock: None, 20.0)
        assert status == 200

    asyncio.run(scenario())


def test_upstream_that_vanishes_while_it_reads_nothing_is_noticed() -> None:
    async def scenario() -> None:
        started = time.monotonic()
        with pytest.raises(ExchangeError) as raised:
            await _send_to_late_reader(_vanish, 30.0)
        assert raised.value.kind is FailureKind.CONNECTION_LOST
        elapsed_s = time.monotonic() - started
        assert _PAUSE_S < elapsed_s < _PAUSE_S + _NOTICED_S

    asyncio.run(scenario())


class _Socket:
    """A socket that reports scripted states, and may refuse all options."""

    def __init__(self, *, refuses: bool = False) -> None:
        self.refuses = refuses
        self.info = b""
        self.options: dict[int, int] = {}

    def report(self, probes: int, age_ms: int, unsent_bytes: int) -> None:
        fields = struct.pack(
            "=3xB20xI28xI84xI", probes, 0, age_ms, unsent_bytes
        )
        self.info = fields

    def setsockopt(self, level: int, option: int, value: int) -> None:
        if self.refuses:
            raise OSError("not supported")
        self.options[option] = value

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        if self.refuses:
            raise OSError("not supported")
        return self.info


class _Transport(asyncio.Transport):
    def __init__(self, sock: _Socket) -> None:
        super().__init__()
        self._sock = sock

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._sock if name == "socket" else default

    def get_write_buffer_size(self) -> int:
        return 0


def test_connection_is_kept_where_the_options_are_refused() -> None:
    async def scenario() -> None:
        ended: list[bool] = []
        transport = _Transport(_Socket(refuses=True))
        monitor = PeerMonitor(transport, lambda: ended.append(True))
        monitor.data_written()
        for _ in range(5):
            monitor._check()
        assert not ended

    asyncio.run(scenario())


def test_peer_that_answers_rare_probes_is_kept() -> None:
    """Older kernels wait up to two minutes between two probes."""

    async def scenario() -> None:
        ended: list[bool] = []
        sock = _Socket()
        monitor = PeerMonitor(_Transport(sock), lambda: ended.append(True))
        for age_ms in range(1_000, 60_000, 1_000):
            # The probe is on its way for less than two of these checks.
            sock.report(int(age_ms > 58_000), age_ms, 1_000)
            monitor._check()
        sock.report(0, 10, 1_000)
        monitor._check()
        assert not ended
        monitor.close()

    asyncio.run(scenario())


def test_user_timeout_holds_again_when_the_window_opens() -> None:
    async def scenario() -> None:
        sock = _Socket()
        monitor = PeerMonitor(_Transport(sock), lambda: None)
        timeout_ms = sock.options[socket.TCP_USER_TIMEOUT]
        assert timeout_ms > 0
        sock.report(0, 10, 1_000)
        monitor._check()
        assert sock.options[socket.TCP_USER_TIMEOUT] == 0
        sock.report(0, 10, 0)
        monitor._check()
        assert sock.options[socket.TCP_USER_TIMEOUT] == timeout_ms
        monitor.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("probes", [None, 9])
def test_user_timeout_ends_an_idle_connection_whatever_the_probes(
    probes: int | None,
) -> None:
    """An upstream vanishes while it works on a request and sends nothing."""

    async def scenario() -> None:
        with socket.create_server((_HOST, 0)) as listener:
            port = listener.getsockname()[1]
            with await connect(_HOST, port, _TIMEOUT_MS) as connection:
                upstream, _ = listener.accept()
                transport = connection._transport
                assert transport is not None
                sock = transport.get_extra_info("socket")
                if probes is not None:
                    tcp = socket.IPPROTO_TCP
                    sock.setsockopt(tcp, socket.TCP_KEEPCNT, probes)
                connection.send(b"GET", b"/", [(b"Host", b"a")], b"")
                await asyncio.sleep(0.5)
                _vanish(upstream)
                started_s = time.monotonic()
                with upstream, pytest.raises(ExchangeError) as raised:
                    await connection.receive_head(2_000 * _NOTICED_S)
                assert raised.value.kind is FailureKind.CONNECTION_LOST
                assert 1.5 < time.monotonic() - started_s < _NOTICED_S

    asyncio.run(scenario())

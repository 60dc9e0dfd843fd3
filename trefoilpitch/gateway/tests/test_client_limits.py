"""The memory budget and the limits of one connection, as clients see them."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import weakref
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest

from trefoilpitch.fleet import RequestLimits
from trefoilpitch.gateway import (
    HttpRequest,
    HttpServer,
    Responder,
    ServerState,
)
from trefoilpitch.gateway._memory_budget import BudgetLimits, HeldKind
from trefoilpitch.gateway._memory_guard import ClientLimits, MemoryGuard
from trefoilpitch.metrics import Label, Metrics
from trefoilpitch.standins import event_loop_ms, run_undelayed

_HOST = "127.0.0.1"
_MB = 1024 * 1024
_TIMEOUT_S = 10.0
_POST = b"POST / HTTP/1.1\r\nHost: h\r\n"
_CLIENTS = ClientLimits(
    body_window_ms=300,
    max_blocked_ms=300,
    unread_timeout_ms=2_000,
    max_unread_bytes=256 * 1024,
)


class _Server:
    """A server with a budget of 8 MB; counts the requests that it runs."""

    def __init__(self) -> None:
        self.runs = 0
        self.handle: Callable[[Responder], Awaitable[None]] = self._respond
        self.metrics = Metrics()
        self.guard = MemoryGuard(
            BudgetLimits(total_bytes=8 * _MB, max_connections=50),
            _CLIENTS,
            event_loop_ms,
            self.metrics,
        )
        self.http = HttpServer(
            ServerState(
                handler=self._run,
                limits=RequestLimits,
                now_ms=event_loop_ms,
                guard=self.guard,
                workspace=lambda request: "workspace",
                refusal_headers=lambda request: [(b"X-Id", b"id-1")],
            )
        )
        self.port = 0

    def refusals(self, reason: str) -> int:
        """Returns the refusals that were counted."""
        counters = self.metrics.snapshot().counters
        label = Label(name="reason", value=reason)
        return counters.get(("connections_refused", (label,)), 0)

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(_HOST, self.port)

    async def send(self, data: bytes) -> bytes:
        """Sends a request on a connection of its own; returns all it gets."""
        reader, writer = await self.connect()
        writer.write(data)
        response = await reader.read()
        writer.close()
        return response

    async def _run(self, request: HttpRequest, responder: Responder) -> None:
        self.runs += 1
        await self.handle(responder)

    async def _respond(self, responder: Responder) -> None:
        await responder.respond(200, [], b"ok")


@contextlib.asynccontextmanager
async def _serving() -> AsyncIterator[_Server]:
    server = _Server()
    async with asyncio.timeout(_TIMEOUT_S):
        with server.http as http:
            server.port = await http.listen(_HOST, 0)
            yield server
        await asyncio.sleep(0.05)
    assert not any(server.guard.held_bytes().values())


def _declared(size: int) -> bytes:
    return _POST + b"Content-Length: %d\r\n\r\n" % size


def test_body_that_finds_no_room_is_refused_before_it_arrives() -> None:
    async def scenario() -> None:
        async with _serving() as server:
            _, holder = await server.connect()
            holder.write(_declared(4 * _MB) + b"x" * 100_000)
            await asyncio.sleep(0.1)
            response = await server.send(_declared(3 * _MB))
            head = response.partition(b"\r\n\r\n")[0]
            assert head.startswith(b"HTTP/1.1 503")
            assert b"Retry-After: 1" in head
            assert b"Connection: close" in head
            assert b"X-Id: id-1" in head
            assert server.runs == 0
            assert server.refusals("no_room") == 1
            holder.close()

    run_undelayed(scenario)


def test_ordinary_request_is_served_beside_large_bodies() -> None:
    async def scenario() -> None:
        async with _serving() as server:
            _, holder = await server.connect()
            holder.write(_declared(4 * _MB) + b"x" * 100_000)
            await asyncio.sleep(0.1)
            closing = _POST + b"Connection: close\r\nContent-Length: 5\r\n\r\n"
            response = await server.send(closing + b"x" * 5)
            assert response.startswith(b"HTTP/1.1 200")
            holder.close()

    run_undelayed(scenario)


def test_body_over_the_limit_is_refused_before_it_arrives() -> None:
    async def scenario() -> None:
        async with _serving() as server:
            response = await server.send(_declared(5 * _MB))
            assert response.startswith(b"HTTP/1.1 413")
            assert server.refusals("body_too_large") == 1

    run_undelayed(scenario)


def test_stalled_body_gives_way_to_another_one() -> None:
    async def scenario() -> None:
        async with _serving() as server:
            server.guard.clients = ClientLimits(body_window_ms=60_000)
            reader, holder = await server.connect()
            holder.write(_declared(4 * _MB) + b"x" * 100_000)
            await asyncio.sleep(1.2)
            closing = _POST + b"Connection: close\r\n"
            closing += b"Content-Length: %d\r\n\r\n" % (3 * _MB)
            response = await server.send(closing + b"x" * (3 * _MB))
            assert response.startswith(b"HTTP/1.1 200")
            assert (await reader.read()).startswith(b"HTTP/1.1 503")
            assert server.runs == 1
            assert server.refusals("evicted") == 1
            holder.close()

    run_undelayed(scenario)


@pytest.mark.parametrize("sent", [b"", b"x" * 500])
def test_body_that_arrives_too_slowly_is_given_up(sent: bytes) -> None:
    async def scenario() -> None:
        async with _serving() as server:
            response = await server.send(_declared(5_000) + sent)
            assert response.startswith(b"HTTP/1.1 408")
            assert server.refusals("slow_body") == 1
            assert server.runs == 0

    run_undelayed(scenario)


def test_body_that_makes_progress_is_not_given_up() -> None:
    async def scenario() -> None:
        async with _serving() as server:
            reader, writer = await server.connect()
            writer.write(_declared(10 * 2_000))
            for _ in range(10):
                writer.write(b"x" * 2_000)
                await asyncio.sleep(0.1)
            assert (await reader.readline()).split()[1] == b"200"
            writer.close()

    run_undelayed(scenario)


def test_very_many_tiny_chunks_are_refused() -> None:
    async def scenario() -> None:
        async with _serving() as server:
            head = _POST + b"Transfer-Encoding: chunked\r\n\r\n"
            response = await server.send(head + b"1\r\nx\r\n" * 4_000)
            assert response.startswith(b"HTTP/1.1 400")
            assert server.refusals("small_chunks") == 1

    run_undelayed(scenario)


def test_chunks_of_ordinary_size_are_served() -> None:
    async def scenario() -> None:
        async with _serving() as server:
            head = _POST + b"Connection: close\r\n"
            head += b"Transfer-Encoding: chunked\r\n\r\n"
            chunk = b"64\r\n" + b"x" * 100 + b"\r\n"
            response = await server.send(head + chunk * 9_000 + b"0\r\n\r\n")
            assert response.startswith(b"HTTP/1.1 200")

    run_undelayed(scenario)


def test_pipelined_bytes_are_bounded_and_all_requests_are_served() -> None:
    async def scenario() -> None:
        async with _serving() as server:
            reader, writer = await server.connect()
            request = b"GET / HTTP/1.1\r\nHost: h\r\nX-Padding: %s\r\n\r\n"
            count = 24
            writer.write((request % (b"x" * 12_000)) * count)
            most = 0
            while server.runs < count:
                held = server.guard.held_bytes()[HeldKind.UNPARSED]
                most = max(most, held)
                await asyncio.sleep(0.001)
            assert most <= 200_000
            for _ in range(count):
                assert (await reader.readline()).split()[1] == b"200"
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(2)
            writer.close()

    run_undelayed(scenario)


def _unread(total: int) -> Callable[[Responder], Awaitable[None]]:
    """Returns a handler that streams more than a client reads."""

    async def handle(responder: Responder) -> None:
        await responder.start(200, [])
        for _ in range(total // 65_536):
            await responder.write(b"x" * 65_536)
        responder.finish()

    return handle


def test_stream_that_is_not_read_is_given_up_soon() -> None:
    """Its upstream would cut off a response that is blocked for long."""

    async def scenario() -> None:
        async with _serving() as server:
            server.handle = _unread(64 * _MB)
            _, writer = await server.connect()
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            while not server.refusals("unread_response"):
                await asyncio.sleep(0.01)
            assert server.guard.held_bytes()[HeldKind.RESPONSE] < _MB
            writer.close()

    run_undelayed(scenario)


def test_complete_response_that_nobody_reads_is_given_up() -> None:
    async def scenario() -> None:
        async with _serving() as server:

            async def handle(responder: Responder) -> None:
                await responder.respond(200, [], b"x" * (64 * _MB))

            server.handle = handle
            _, writer = await server.connect()
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            while not server.refusals("unread_response"):
                await asyncio.sleep(0.05)
            writer.close()

    run_undelayed(scenario)


def test_connections_over_the_limit_replace_idle_ones() -> None:
    async def scenario() -> None:
        async with _serving() as server:
            idle = [await server.connect() for _ in range(50)]
            await asyncio.sleep(0.1)
            closing = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            assert (await server.send(closing)).startswith(b"HTTP/1.1 200")
            assert server.refusals("evicted") == 1
            for _, writer in idle:
                writer.close()

    run_undelayed(scenario)


def test_refused_body_is_not_kept_while_the_client_goes_on_sending() -> None:
    async def scenario() -> None:
        async with _serving() as server:
            reader, writer = await server.connect()
            head = _POST + b"Transfer-Encoding: chunked\r\n\r\n"
            writer.write(head + b"500000\r\n" + b"x" * (5 * _MB))
            assert (await reader.readline()).split()[1] == b"413"
            assert not server.guard.held_bytes()[HeldKind.BODY]
            assert not server.guard.held_bytes()[HeldKind.UNPARSED]
            writer.close()

    run_undelayed(scenario)


def test_closed_connection_is_freed_without_the_cyclic_collector() -> None:
    """It may hold a part of a body."""

    async def scenario() -> None:
        async with _serving() as server:
            reader, writer = await server.connect()
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await reader.readuntil(b"ok")
            writer.write(_declared(50_000) + b"x" * 40_000)
            await asyncio.sleep(0.1)
            connections = server.http.state.connections
            (reference,) = [
                weakref.ref(connection) for connection in connections
            ]
            gc.disable()
            try:
                writer.close()
                await asyncio.sleep(0.1)
                assert reference() is None
            finally:
                gc.enable()

    run_undelayed(scenario)


@pytest.mark.parametrize("answers", [False, True])
def test_client_over_its_share_is_only_answered_if_it_is_a_peer(
    answers: bool,
) -> None:
    """A peer takes a closed connection for a request that may have run."""

    async def scenario() -> None:
        async with _serving() as server:
            server.http.state.answers_over_share = answers
            release = asyncio.Event()

            async def handle(responder: Responder) -> None:
                await release.wait()
                await responder.respond(200, [], b"ok")

            server.handle = handle
            server.http.state.workspace = lambda request: None
            writers = []
            response = b""
            while not server.refusals("over_share"):
                reader, writer = await server.connect()
                writers.append(writer)
                writer.write(_declared(200_000) + b"x" * 200_000)
                await asyncio.sleep(0.01)
                if server.refusals("no_room"):
                    break
            held = server.guard.held_bytes()
            while not server.refusals("over_share"):
                reader, writer = await server.connect()
                writers.append(writer)
                writer.write(_declared(60_000) + b"x" * 60_000)
                await asyncio.sleep(0.01)
            with contextlib.suppress(ConnectionError):
                response = await reader.read()
            assert held[HeldKind.BODY] > 4 * _MB
            assert response.startswith(b"HTTP/1.1 503") == answers
            release.set()
            for writer in writers:
                writer.close()

    run_undelayed(scenario)

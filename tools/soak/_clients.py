"""Simulated callers that record their requests and responses."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from tools.soak._checks import CallerRequest, History, RequestKind
from trefoilpitch.gateway import ExchangeError, HttpConnection, connect
from trefoilpitch.standins import send

_HOST = "127.0.0.1"
_CONNECT_TIMEOUT_MS = 1_000
_DEADLINE_MS = 6_000
# Callers wait a little longer than the deadline that they send, so that the
# daemon's own time-out response still arrives.
_RESPONSE_TIMEOUT_MS = _DEADLINE_MS + 500
_MAX_PAUSE_S = 0.05
_REUSE_SHARE = 0.7
_ABANDON_SHARE = 0.04
_ABANDON_MS = 60
_EXTRA_ROUTE_SHARE = 0.3
_MAX_RESPONSE_BYTES = 1 << 20
_KINDS = (
    RequestKind.IDEMPOTENT,
    RequestKind.ONCE,
    RequestKind.ONCE,
    RequestKind.STREAM,
    RequestKind.STREAM,
)


class Callers:
    """Sends requests to daemons, reusing idle connections.

    Args:
        history: Receives a record of each request.
        now_ms: Returns the time since the start of the run.
        rng: Source of random kinds, daemons and pauses.
    """

    def __init__(
        self, history: History, now_ms: Callable[[], int], rng: random.Random
    ) -> None:
        self._history = history
        self._now_ms = now_ms
        self._rng = rng
        self._count = 0
        self._idle_connections: dict[int, list[HttpConnection]] = {}

    async def run(self, ports: dict[str, int]) -> None:
        """Sends requests one after another until cancelled.

        Args:
            ports: Caller port of each daemon by its name.
        """
        while True:
            daemon = self._rng.choice(list(ports))
            kind = self._rng.choice(_KINDS)
            await self.send_request(daemon, ports[daemon], kind)
            await asyncio.sleep(self._rng.random() * _MAX_PAUSE_S)

    async def send_request(
        self, daemon: str, port: int, kind: RequestKind
    ) -> CallerRequest:
        """Sends one request and records it with its response."""
        self._count += 1
        request = CallerRequest(
            request_id=f"r{self._count}",
            kind=kind,
            daemon=daemon,
            line=f"POST {self._choose_prefix(kind)}x{self._count}",
            body=f"body {self._count}".encode(),
            sent_ms=self._now_ms(),
        )
        self._history.requests[request.request_id] = request
        timeout_ms = _RESPONSE_TIMEOUT_MS
        if self._rng.random() < _ABANDON_SHARE:
            timeout_ms = _ABANDON_MS
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                await self._exchange(request, port)
        except TimeoutError:
            request.abandoned = timeout_ms == _ABANDON_MS
        except ExchangeError:
            # What was received so far is recorded for the checks.
            pass
        request.ended_ms = self._now_ms()
        return request

    def _choose_prefix(self, kind: RequestKind) -> str:
        """Returns a route of a kind, sometimes one just added or removed."""
        recent_routes = self._history.extra_routes[-2:]
        default_prefix: str = kind.value
        if kind is not RequestKind.IDEMPOTENT or not recent_routes:
            return default_prefix
        if self._rng.random() >= _EXTRA_ROUTE_SHARE:
            return default_prefix
        return self._rng.choice(recent_routes).prefix

    async def _exchange(self, request: CallerRequest, port: int) -> None:
        connection = await self._acquire_connection(port)
        is_reusable = False
        try:
            send(
                connection,
                request.line.partition(" ")[2],
                request_id=request.request_id,
                body=request.body,
                X_Trefoilpitch_Deadline_Ms=str(_DEADLINE_MS),
                X_Trefoilpitch_Model="*",
                X_Trefoilpitch_Token_Counts="100,20",
            )
            await self._receive(connection, request)
            if connection.reusable and self._rng.random() < _REUSE_SHARE:
                self._idle_connections.setdefault(port, []).append(connection)
                is_reusable = True
        finally:
            if not is_reusable:
                connection.close()

    async def _acquire_connection(self, port: int) -> HttpConnection:
        idle = self._idle_connections.get(port, [])
        while idle:
            connection = idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        return await connect(_HOST, port, _CONNECT_TIMEOUT_MS)

    async def _receive(
        self, connection: HttpConnection, request: CallerRequest
    ) -> None:
        head = await connection.receive_head(_RESPONSE_TIMEOUT_MS)
        request.status = head.status
        request.response_request_id = head.header(
            b"x-trefoilpitch-request-attempt-id"
        )
        request.seal = head.header(b"x-trefoilpitch-response-seal")
        while len(request.received) < _MAX_RESPONSE_BYTES:
            data = await connection.receive_data(_RESPONSE_TIMEOUT_MS)
            if data is None:
                request.complete = True
                return
            request.received += data

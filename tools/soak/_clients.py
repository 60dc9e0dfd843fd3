"""Callers of the daemons; they record what they send and get."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from tools.soak._checks import CallerRequest, History, RequestKind
from trefoilpitch.gateway import ExchangeError, HttpConnection, connect
from trefoilpitch.standins import send

_HOST = "127.0.0.1"
_CONNECT_MS = 1_000
_DEADLINE_MS = 6_000
# Callers give a little more time than they say.
_PATIENCE_MS = _DEADLINE_MS + 500
_MAX_PAUSE_S = 0.05
_KEEP_SHARE = 0.7
_LEAVE_SHARE = 0.04
_LEAVE_MS = 60
_EXTRA_SHARE = 0.3
_MAX_ANSWER_BYTES = 1 << 20
_KINDS = (
    RequestKind.IDEMPOTENT,
    RequestKind.ONCE,
    RequestKind.ONCE,
    RequestKind.STREAM,
    RequestKind.STREAM,
)


class Callers:
    """Send requests to daemons, on kept connections where there are any.

    Args:
        history: Where they record.
        now_ms: The time since the run's start.
        rng: Draws kinds, daemons and pauses.
    """

    def __init__(
        self, history: History, now_ms: Callable[[], int], rng: random.Random
    ) -> None:
        self._history = history
        self._now_ms = now_ms
        self._rng = rng
        self._count = 0
        self._kept: dict[int, list[HttpConnection]] = {}

    async def run(self, ports: dict[str, int]) -> None:
        """Sends requests one after the other until cancelled.

        Args:
            ports: Where each daemon listens.
        """
        while True:
            daemon = self._rng.choice(list(ports))
            kind = self._rng.choice(_KINDS)
            await self.ask(daemon, ports[daemon], kind)
            await asyncio.sleep(self._rng.random() * _MAX_PAUSE_S)

    async def ask(
        self, daemon: str, port: int, kind: RequestKind
    ) -> CallerRequest:
        """Sends one request and records what becomes of it."""
        self._count += 1
        request = CallerRequest(
            request_id=f"r{self._count}",
            kind=kind,
            daemon=daemon,
            line=f"POST {self._prefix(kind)}x{self._count}",
            body=f"body {self._count}".encode(),
            sent_ms=self._now_ms(),
        )
        self._history.requests[request.request_id] = request
        patience_ms = _PATIENCE_MS
        if self._rng.random() < _LEAVE_SHARE:
            patience_ms = _LEAVE_MS
        try:
            async with asyncio.timeout(patience_ms / 1_000):
                await self._exchange(request, port)
        except TimeoutError:
            request.left = patience_ms == _LEAVE_MS
        except ExchangeError:
            # What came before the end is recorded; the checks judge it.
            pass
        request.ended_ms = self._now_ms()
        return request

    def _prefix(self, kind: RequestKind) -> str:
        """Returns a route of a kind, at times one that comes or goes."""
        extra = self._history.extra_routes[-2:]
        usual: str = kind.value
        if kind is not RequestKind.IDEMPOTENT or not extra:
            return usual
        if self._rng.random() >= _EXTRA_SHARE:
            return usual
        return self._rng.choice(extra).prefix

    async def _exchange(self, request: CallerRequest, port: int) -> None:
        connection = await self._connection(port)
        kept = False
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
            if connection.reusable and self._rng.random() < _KEEP_SHARE:
                self._kept.setdefault(port, []).append(connection)
                kept = True
        finally:
            if not kept:
                connection.close()

    async def _connection(self, port: int) -> HttpConnection:
        kept = self._kept.get(port, [])
        while kept:
            connection = kept.pop()
            if connection.reusable:
                return connection
            connection.close()
        return await connect(_HOST, port, _CONNECT_MS)

    async def _receive(
        self, connection: HttpConnection, request: CallerRequest
    ) -> None:
        head = await connection.receive_head(_PATIENCE_MS)
        request.status = head.status
        request.answer_id = head.header(b"x-trefoilpitch-request-attempt-id")
        request.seal = head.header(b"x-trefoilpitch-response-seal")
        while len(request.received) < _MAX_ANSWER_BYTES:
            data = await connection.receive_data(_PATIENCE_MS)
            if data is None:
                request.complete = True
                return
            request.received += data

"""Tests of the server's connections."""

from __future__ import annotations

import asyncio

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

"""Calls to a store that no longer knows the connections of before."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from trefoilpitch.fleet import StoreUnavailableError
from trefoilpitch.gateway import ListenAddress
from trefoilpitch.platform import _store
from trefoilpitch.platform._store import PlatformStore
from trefoilpitch.platform.tests.harness import HOST, run

_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class _ForgetfulStore:
    """Responds to the calls on connections since its last loss only."""

    def __init__(self) -> None:
        self._generation = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> ListenAddress:
        assert self._server is not None
        port = self._server.sockets[0].getsockname()[1]
        return ListenAddress(host=HOST, port=port)

    async def __aenter__(self) -> _ForgetfulStore:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self

    async def __aexit__(self, *exception: object) -> None:
        assert self._server is not None
        self._server.close()

    def lose_connections(self) -> None:
        self._generation += 1

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        generation = self._generation
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                if generation == self._generation:
                    writer.write(_RESPONSE)
        writer.close()


def test_only_one_call_is_lost_with_the_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The daemon had several calls in progress before, and each has left an idle
    # connection.
    monkeypatch.setattr(_store, "_CALL_TIMEOUT_MS", 300)

    async def scenario() -> None:
        async with _ForgetfulStore() as server:
            store = PlatformStore(server.address, lambda name: None)
            await asyncio.gather(*(store.renew_lease(n) for n in range(3)))
            server.lose_connections()
            with pytest.raises(StoreUnavailableError):
                await store.renew_lease(0)
            await store.renew_lease(0)

    run(scenario)

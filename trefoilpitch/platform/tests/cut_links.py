"""Daemons some of which lose their links to the workers."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
from collections.abc import AsyncIterator
from typing import Any

from trefoilpitch.gateway import (
    ExchangeError,
    HttpConnection,
    Node,
    NodeSettings,
    ResponseHead,
    connect,
)
from trefoilpitch.platform.tests.harness import (
    TIMEOUT_MS,
    Fleet,
    node_settings,
    running_node,
    running_workers,
    wait_until,
)
from trefoilpitch.retries import FailureKind
from trefoilpitch.standins import send

_MS_PER_S = 1_000


class CutMode(enum.Enum):
    """What becomes of a daemon's connections to the workers."""

    # Nothing arrives any more; new connections get no response.
    HANG = "hang"
    # Open connections are reset, new ones are refused.
    RESET = "reset"
    # Open connections live on, new ones are refused.
    REFUSE_NEW = "refuse_new"


class LinkCut:
    """The links of one daemon to the workers, which can be cut.

    Args:
        node: The daemon.
    """

    def __init__(self, node: Node) -> None:
        self._mode: CutMode | None = None
        self._ports: frozenset[int] | None = None
        self._connections: list[tuple[int, HttpConnection]] = []
        # Number of connections that were requested while the links were cut.
        self.refused = 0
        node._links._open_connection = self._open

    def cut(self, mode: CutMode, ports: frozenset[int] | None = None) -> None:
        """Cuts the links.

        Args:
            mode: What becomes of the connections.
            ports: Ports of the workers; None for all workers.
        """
        self._mode, self._ports = mode, ports
        for port, connection in self._connections:
            transport = connection._transport
            if not self._is_cut(port) or transport is None:
                continue
            if mode is CutMode.HANG:
                transport.pause_reading()
            elif mode is CutMode.RESET and not transport.is_closing():
                connection.connection_lost(ConnectionResetError("cut"))
                transport.abort()

    def heal(self) -> None:
        """Restores the links; connections that hang are lost."""
        self._mode = None

    def _is_cut(self, port: int) -> bool:
        return self._mode is not None and (
            self._ports is None or port in self._ports
        )

    async def _open(
        self, host: str, port: int, timeout_ms: float
    ) -> HttpConnection:
        if self._is_cut(port):
            self.refused += 1
            if self._mode is not CutMode.HANG:
                raise ExchangeError(FailureKind.CONNECT_REFUSED, "cut")
            await asyncio.sleep(timeout_ms / _MS_PER_S)
            raise ExchangeError(FailureKind.CONNECT_TIMEOUT, "cut")
        connection = await connect(host, port, timeout_ms)
        self._connections.append((port, connection))
        return connection


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Daemon:
    """A daemon of the fleet, and its links to the workers."""

    settings: NodeSettings
    node: Node
    links: LinkCut

    async def open_connection(self) -> HttpConnection:
        callers = self.settings.callers
        return await connect(callers.host, callers.port, TIMEOUT_MS)

    async def send_request(
        self, target: str, request_id: str, **fields: Any
    ) -> tuple[ResponseHead, bytes]:
        """Sends a request to this daemon and returns the response."""
        with await self.open_connection() as connection:
            send(connection, target, request_id=request_id, **fields)
            head = await connection.receive_head(TIMEOUT_MS)
            return head, await connection.receive_body(TIMEOUT_MS, 1 << 20)


@contextlib.asynccontextmanager
async def running_daemons(
    count: int, *, plain: int = 2, models: int = 0, **fields: Any
) -> AsyncIterator[tuple[Fleet, list[Daemon]]]:
    """Runs a store, workers and daemons that know of each other.

    Args:
        count: Number of daemons.
        plain: Number of workers of the plain service.
        models: Number of workers of the model service.
        **fields: Fields of the configuration to add or replace.
    """
    async with (
        running_workers(plain, models, **fields) as fleet,
        contextlib.AsyncExitStack() as stack,
    ):
        daemons = []
        for number in range(count):
            settings = node_settings(f"vm-{number}")
            node = await stack.enter_async_context(
                running_node(settings, fleet.store)
            )
            daemons.append(
                Daemon(settings=settings, node=node, links=LinkCut(node))
            )
        for daemon in daemons:
            await _wait_for_view(daemon.node, plain + models, count - 1)
        yield fleet, daemons


async def _wait_for_view(node: Node, upstreams: int, peers: int) -> None:
    await wait_until(
        lambda: (
            node.ready
            and len(node.view.upstreams) == upstreams
            and len(node._peers.alive()) == peers
        )
    )

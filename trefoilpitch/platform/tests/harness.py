"""Runs a daemon and stand-ins of store and workers in one event loop."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from trefoilpitch.gateway import (
    HttpConnection,
    ListenAddress,
    Node,
    NodeSettings,
    ResponseHead,
    connect,
)
from trefoilpitch.metrics import Metrics
from trefoilpitch.platform._documents import PlatformDocuments
from trefoilpitch.platform._interfaces import PlatformInterfaces
from trefoilpitch.platform._requests import PlatformRequests
from trefoilpitch.platform._store import PlatformStore
from trefoilpitch.standins import (
    EventLoopClock,
    PlatformStoreStandIn,
    PlatformWorkerStandIn,
    config_document,
    free_port,
    run_undelayed,
    send,
)

HOST = "127.0.0.1"
# Limits how long a failing test runs.
TIMEOUT_MS = 10_000
_SCENARIO_TIMEOUT_S = 60
_RETRY_SLACK = 60.0
_GRACE_MS = 2_000
APPLY_MS = 2_000


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    """Runs a scenario on an event loop, for a minute of its time at most."""

    async def bounded() -> None:
        async with asyncio.timeout(_SCENARIO_TIMEOUT_S):
            await scenario()

    run_undelayed(bounded)


def loop_time_s() -> float:
    """Returns the time of the running event loop."""
    return asyncio.get_running_loop().time()


async def wait_until(condition: Callable[[], object]) -> None:
    """Polls until a condition holds."""
    async with asyncio.timeout(TIMEOUT_MS / 1_000):
        while not condition():
            await asyncio.sleep(0.005)


class Fleet:
    """A store, workers and the daemon under test."""

    def __init__(
        self, store: PlatformStoreStandIn, stack: contextlib.AsyncExitStack
    ) -> None:
        self.store = store
        self._stack = stack
        self.workers: dict[str, PlatformWorkerStandIn] = {}
        self.settings: NodeSettings | None = None
        self.node: Node | None = None

    @property
    def daemon(self) -> Node:
        assert self.node is not None
        return self.node

    @property
    def callers(self) -> ListenAddress:
        assert self.settings is not None
        return self.settings.callers

    def register(
        self, worker: PlatformWorkerStandIn, service: str, **fields: object
    ) -> None:
        self.workers[worker.worker_id] = worker
        self.store.put(
            f"servers/{worker.worker_id}", worker.entry(service, **fields)
        )

    async def add_worker(
        self, worker_id: str, service: str
    ) -> PlatformWorkerStandIn:
        """Starts and registers a worker, which stops with the fleet."""
        worker = PlatformWorkerStandIn(worker_id)
        await self._stack.enter_async_context(worker)
        self.register(worker, service)
        return worker

    async def wait_for_upstreams(self, count: int) -> None:
        await wait_until(lambda: len(self.daemon.view.upstreams) == count)

    async def open_connection(self) -> HttpConnection:
        return await connect(self.callers.host, self.callers.port, TIMEOUT_MS)

    async def send_request(
        self,
        target: str,
        *,
        request_id: str = "id-1",
        body: bytes = b"",
        method: str = "POST",
        **headers: str,
    ) -> tuple[ResponseHead, bytes]:
        with await self.open_connection() as connection:
            send(
                connection,
                target,
                request_id=request_id,
                body=body,
                method=method,
                **headers,
            )
            head = await connection.receive_head(TIMEOUT_MS)
            return head, await connection.receive_body(TIMEOUT_MS, 1 << 20)


def stream_routes(
    gap_ms: int, *, resumable: bool = True
) -> list[dict[str, Any]]:
    """Returns the routes with one model on the stream route.

    Args:
        gap_ms: Longest acceptable pause between the events of a stream.
        resumable: Whether another upstream may continue a stream.
    """
    routes: list[dict[str, Any]] = config_document()["routes"]
    for route in routes:
        if route["name"] == "stream":
            route["target-gap-ms"] = gap_ms
            route["model-tiers"] = []
            route["resumable"] = resumable
    return routes


def node_settings(name: str = "vm-1") -> NodeSettings:
    def address() -> ListenAddress:
        return ListenAddress(host=HOST, port=free_port())

    return NodeSettings(
        name=name,
        incarnation=f"{name}-start",
        failure_domain="zone-a",
        callers=address(),
        readiness=address(),
        directory=address(),
        peers=address(),
        heartbeats=address(),
        grace_ms=_GRACE_MS,
        apply_ms=APPLY_MS,
        retry_ratio=0.9,
        retry_slack=_RETRY_SLACK,
        retry_window_ms=10_000,
        metrics=address(),
    )


def create_node(settings: NodeSettings, store: PlatformStoreStandIn) -> Node:
    return Node(
        settings,
        store=PlatformStore(store.address, lambda name: None),
        documents=PlatformDocuments(),
        requests=PlatformRequests(),
        auxiliary=PlatformInterfaces(2.0),
        clock=EventLoopClock(),
        rng=random.Random(7),
        metrics=Metrics(),
    )


@contextlib.asynccontextmanager
async def running_node(
    settings: NodeSettings, store: PlatformStoreStandIn
) -> AsyncIterator[Node]:
    """Runs a daemon until the block ends."""
    node = create_node(settings, store)
    task = asyncio.create_task(node.run())
    try:
        yield node
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


@contextlib.asynccontextmanager
async def running_workers(
    plain: int = 1, models: int = 0, **fields: Any
) -> AsyncIterator[Fleet]:
    """Runs a store and workers, without a daemon.

    Args:
        plain: Number of workers of the plain service.
        models: Number of workers of the model service.
        **fields: Fields of the configuration to add or replace.
    """
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(PlatformStoreStandIn())
        fleet = Fleet(store, stack)
        store.put("op/config", config_document(**fields))
        for number in range(plain):
            await fleet.add_worker(f"plain-{number}", "plain-service")
        for number in range(models):
            await fleet.add_worker(f"model-{number}", "model-service")
        yield fleet


@contextlib.asynccontextmanager
async def running_fleet(
    plain: int = 1,
    models: int = 0,
    *,
    retry_slack: float = _RETRY_SLACK,
    grace_ms: int = _GRACE_MS,
    **fields: Any,
) -> AsyncIterator[Fleet]:
    """Runs a store, workers and a daemon that has read their registrations."""
    async with running_workers(plain, models, **fields) as fleet:
        fleet.settings = dataclasses.replace(
            node_settings(), retry_slack=retry_slack, grace_ms=grace_ms
        )
        async with running_node(fleet.settings, fleet.store) as node:
            fleet.node = node
            await wait_until(lambda: fleet.daemon.ready)
            await fleet.wait_for_upstreams(plain + models)
            yield fleet

"""A daemon that fetches changes while one of its peers does not reply."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, MutableSequence
from typing import TYPE_CHECKING, Any

from trefoilpitch.fleet import Member
from trefoilpitch.gateway import Node, NodeSettings
from trefoilpitch.gateway._peers import Heartbeat
from trefoilpitch.platform._documents import PlatformDocuments
from trefoilpitch.platform.tests.harness import (
    APPLY_MS,
    HOST,
    node_settings,
    run,
    running_node,
    wait_until,
)
from trefoilpitch.standins import (
    PlatformStoreStandIn,
    config_document,
    event_loop_ms,
)

if TYPE_CHECKING:
    from _typeshed import SupportsLenAndGetItem

_HEARTBEAT_S = 0.1


class _FirstChoice(random.Random):
    """Prefers the peer that was heard first."""

    def choice(self, seq: SupportsLenAndGetItem[Any]) -> Any:
        return seq[0]

    def shuffle(self, x: MutableSequence[Any]) -> None:
        pass


def _register(
    store: PlatformStoreStandIn, settings: NodeSettings, peer_port: int
) -> None:
    member = Member(
        name=settings.name,
        incarnation=settings.incarnation,
        caller_address=f"{HOST}:{settings.callers.port}",
        peer_host=HOST,
        peer_port=peer_port,
        heartbeat_port=settings.heartbeats.port,
        failure_domain=settings.failure_domain,
    )
    write = PlatformDocuments().encode_member(member, 0)
    store.put_bytes(write.key, write.value)


@contextlib.asynccontextmanager
async def _silent_peer(
    node: Node, store: PlatformStoreStandIn
) -> AsyncIterator[None]:
    """Runs a peer that is ahead and accepts connections, but never replies."""
    settings = node_settings("vm-silent")
    server = await asyncio.start_server(
        lambda reader, writer: None, HOST, settings.peers.port
    )
    _register(store, settings, settings.peers.port)

    async def send_heartbeats() -> None:
        sequence = 0
        while True:
            sequence += 1
            node._receive_heartbeat(
                Heartbeat(
                    node=settings.name,
                    incarnation=settings.incarnation,
                    sequence=sequence,
                    revision=1_000,
                    current=False,
                    store_reachable=False,
                    ready=True,
                    versions=(),
                    era=1,
                )
            )
            await asyncio.sleep(_HEARTBEAT_S)

    task = asyncio.create_task(send_heartbeats())
    try:
        yield
    finally:
        task.cancel()
        server.close()


def test_changes_are_fetched_from_another_peer_in_time() -> None:
    async def scenario() -> None:
        async with (
            PlatformStoreStandIn() as own_store,
            PlatformStoreStandIn() as newer_store,
        ):
            settings = node_settings("vm-1")
            ahead = node_settings("vm-2")
            own_store.put("op/config", config_document())
            _register(own_store, ahead, ahead.peers.port)
            _register(newer_store, settings, settings.peers.port)
            for _ in range(9):
                newer_store.put("op/config", config_document())
            async with running_node(settings, own_store) as node:
                node._rng = _FirstChoice(1)
                await wait_until(lambda: node.ready)
                async with _silent_peer(node, own_store):
                    await wait_until(
                        lambda: (
                            "vm-silent" in node.view.members
                            and "vm-silent" in node._peers.alive()
                        )
                    )
                    newer_store.put("op/config", config_document(2))
                    async with running_node(ahead, newer_store):
                        await wait_until(lambda: "vm-2" in node._peers.alive())
                        heard_ms = event_loop_ms()
                        await wait_until(
                            lambda: node._configuration_version == 2
                        )
                        elapsed_ms = event_loop_ms() - heard_ms
            assert elapsed_ms < APPLY_MS

    run(scenario)

"""A daemon whose listing of the store is older than what its peers have."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from trefoilpitch.fleet import ItemBatch
from trefoilpitch.gateway import Node
from trefoilpitch.platform.tests.harness import (
    APPLY_MS,
    create_node,
    node_settings,
    run,
    running_node,
    running_workers,
    wait_until,
)
from trefoilpitch.rendezvous import rank
from trefoilpitch.standins import PlatformStoreStandIn, config_document

# More than watch the store in a fleet.
_PEERS = 10


def _last_to_watch() -> str:
    """Returns a name whose daemon leaves the store to the others."""
    peers = [f"vm-{number}" for number in range(_PEERS)]
    names = (f"late-{number}" for number in range(1_000))
    return next(n for n in names if rank("watchers", {n, *peers})[-1] == n)


async def _start_peers(
    stack: contextlib.AsyncExitStack, store: PlatformStoreStandIn
) -> None:
    peers: list[Node] = []
    for number in range(_PEERS):
        settings = node_settings(f"vm-{number}")
        node = running_node(settings, store)
        peers.append(await stack.enter_async_context(node))
    await wait_until(
        lambda: all(p.ready and len(p.view.members) >= _PEERS for p in peers)
    )


@pytest.mark.parametrize("peers_reply", [True, False])
def test_daemon_with_an_old_listing_catches_up(peers_reply: bool) -> None:
    """It lists before all registrations, and reads the reply after them."""

    async def scenario() -> None:
        async with (
            running_workers(plain=1) as fleet,
            contextlib.AsyncExitStack() as stack,
        ):
            node = create_node(node_settings(_last_to_watch()), fleet.store)
            store = node._follower._store
            listed = await store.read_all()
            released = asyncio.Event()

            async def read_all() -> ItemBatch:
                await released.wait()
                return listed

            store.read_all = read_all  # type: ignore[method-assign]
            if not peers_reply:

                async def fetch(*arguments: object) -> None:
                    return None

                node._peer_items.fetch = fetch  # type: ignore[assignment]
            task = asyncio.create_task(node.run())
            stack.callback(task.cancel)
            await _start_peers(stack, fleet.store)
            released.set()
            await wait_until(lambda: node.ready)
            async with asyncio.timeout(APPLY_MS / 1_000):
                while len(node.view.members) <= _PEERS:
                    await asyncio.sleep(0.01)
            # And it follows what comes after.
            fleet.store.put("op/config", config_document(2))
            async with asyncio.timeout(APPLY_MS / 1_000):
                while node._configuration_version < 2:
                    await asyncio.sleep(0.01)

    run(scenario)

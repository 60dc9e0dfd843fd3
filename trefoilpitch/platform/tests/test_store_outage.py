"""Daemons whose calls are lost while the store is away.

Load pattern: a change completes the watches of all daemons at once. The store
goes away before they have opened the next ones, which are then lost.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

import pytest

from trefoilpitch.gateway import ListenAddress, Node, NodeSettings
from trefoilpitch.platform.tests.harness import (
    APPLY_MS,
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


@contextlib.asynccontextmanager
async def _running_daemons(
    count: int, store: PlatformStoreStandIn
) -> AsyncIterator[list[Node]]:
    """Runs daemons that have received each other's heartbeats."""
    store.put("op/config", config_document())
    async with contextlib.AsyncExitStack() as stack:
        nodes = [
            await stack.enter_async_context(
                running_node(node_settings(f"vm-{number}"), store)
            )
            for number in range(count)
        ]
        await wait_until(
            lambda: all(
                node.ready
                and len(node.view.members) == count
                and len(node._peers.alive()) == count - 1
                for node in nodes
            )
        )
        yield nodes


def _all_have(nodes: list[Node], version: int) -> bool:
    return all(node._configuration_version == version for node in nodes)


async def _lose_watches(nodes: list[Node], store: PlatformStoreStandIn) -> None:
    """Makes the store go away between two watches of each daemon."""
    store.put("op/config", config_document(2))
    await wait_until(lambda: _all_have(nodes, 2))
    store.unresponsive = True
    before = store.calls["kv-watch"]
    await wait_until(lambda: store.calls["kv-watch"] >= before + len(nodes))


@pytest.mark.parametrize("count", [1, 2, 3])
def test_change_after_an_outage_takes_effect_in_time(count: int) -> None:
    async def scenario() -> None:
        async with (
            PlatformStoreStandIn() as store,
            _running_daemons(count, store) as nodes,
        ):
            await _lose_watches(nodes, store)
            store.unresponsive = False
            store.put("op/config", config_document(3))
            acknowledged_ms = event_loop_ms()
            await wait_until(lambda: _all_have(nodes, 3))
            assert event_loop_ms() - acknowledged_ms < APPLY_MS

    run(scenario)


def test_daemons_do_not_confirm_each_other_without_the_store() -> None:
    async def scenario() -> None:
        async with (
            PlatformStoreStandIn() as store,
            _running_daemons(2, store) as nodes,
        ):
            await _lose_watches(nodes, store)
            await wait_until(
                lambda: not any(node._is_current() for node in nodes)
            )

    run(scenario)


def test_view_is_current_while_the_store_has_no_changes() -> None:
    async def scenario() -> None:
        async with (
            PlatformStoreStandIn() as store,
            _running_daemons(2, store) as nodes,
        ):
            watches = store.calls["kv-watch"]
            while store.calls["kv-watch"] < watches + 2 * len(nodes):
                assert all(node._is_current() for node in nodes)
                await asyncio.sleep(0.01)

    run(scenario)


def _known_names(node: Node) -> set[str]:
    return set(node._members.names())


def test_daemons_whose_leases_have_ended_know_each_other() -> None:
    """Each took itself for the only one and used the whole fleet's limits."""

    async def scenario() -> None:
        async with (
            PlatformStoreStandIn() as store,
            _running_daemons(3, store) as nodes,
        ):
            names = {f"vm-{number}" for number in range(3)}
            for key in store.keys("trefoilpitch/member/"):
                store.remove(key)
            await wait_until(
                lambda: (
                    not any(
                        node.view.is_listed(name)
                        for node in nodes
                        for name in names
                    )
                )
            )
            assert all(_known_names(node) == names for node in nodes)
            assert all(len(node.caller_addresses()) == 3 for node in nodes)
            await wait_until(
                lambda: len(store.keys("trefoilpitch/member/")) == 3
            )
            assert all(_known_names(node) == names for node in nodes)

    run(scenario)


def test_daemon_that_has_just_started_presumes_peers_until_it_hears_one() -> (
    None
):
    async def scenario() -> None:
        async with PlatformStoreStandIn() as store:
            store.put("op/config", config_document())
            first, second = node_settings("vm-1"), node_settings("vm-2")
            seeds = (first.peers, second.peers)
            async with running_node(_seeded(first, seeds), store) as node:
                await wait_until(lambda: node.ready)
                assert len(_known_names(node)) > 100
                async with running_node(_seeded(second, seeds), store):
                    await wait_until(
                        lambda: _known_names(node) == {"vm-1", "vm-2"}
                    )

    run(scenario)


def _seeded(
    settings: NodeSettings, seeds: tuple[ListenAddress, ...]
) -> NodeSettings:
    return dataclasses.replace(settings, seeds=seeds)

"""Daemons whose store is restored from an older copy."""

from __future__ import annotations

import asyncio

import pytest

from trefoilpitch.gateway._rollouts import ResponseQuality
from trefoilpitch.platform._store import PlatformStore
from trefoilpitch.platform.tests.harness import (
    Fleet,
    node_settings,
    run,
    running_fleet,
    running_node,
    wait_until,
)
from trefoilpitch.standins import (
    PlatformStoreStandIn,
    PlatformWorkerStandIn,
    config_document,
)

_MEMBERS = "trefoilpitch/member/"
_STATUS = "status/rollout/plain-service"
_ORDER = {"service": "plain-service", "target": "v2", "duration-s": 600}


async def _roll_back(fleet: Fleet) -> None:
    """Gives the daemon evidence of a bad version until it is rolled back."""
    entry = fleet.daemon.view.upstreams["plain-new"].entry
    for _ in range(10):
        fleet.daemon._dispatcher.record_evidence(entry, ResponseQuality.FAILED)
    await wait_until(
        lambda: fleet.store.value(_STATUS)["state"] == "rolled_back"
    )


def test_daemon_registers_again_under_a_lease_of_its_own() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            daemon, store = fleet.daemon, fleet.store
            await wait_until(lambda: store.keys(_MEMBERS))
            empty = PlatformStoreStandIn().copy()
            store.restore(empty)
            # The lease id of this daemon now belongs to another one.
            store.put("op/config", config_document())
            await wait_until(lambda: daemon.view.era == 2)
            renewals = store.calls.get("kv-keep", 0)
            await daemon._registration.renew()
            assert store.keys(_MEMBERS)
            assert store.calls.get("kv-keep", 0) == renewals

    run(scenario)


def test_requests_are_served_while_the_store_lacks_what_it_had() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=2) as fleet:
            daemon, store = fleet.daemon, fleet.store
            copy = store.copy()
            tenants = [{"name": "workspace-b", "api-keys": ["key-b"]}]
            store.put("op/config", config_document(2, tenants=tenants))
            view = daemon.view
            await wait_until(
                lambda: view.configuration and view.configuration.version == 2
            )
            store.restore(copy)
            await wait_until(lambda: view.era == 2)
            served, _ = await fleet.send_request("/plain/x", Api_Key="key-b")
            refused, _ = await fleet.send_request("/plain/x", Api_Key="key-a")
            assert (served.status, refused.status) == (200, 401)

    run(scenario)


def test_rolled_back_version_stays_rolled_back() -> None:
    async def scenario() -> None:
        new = PlatformWorkerStandIn("plain-new")
        async with running_fleet(plain=1) as fleet, new as worker:
            store = fleet.store
            fleet.register(worker, "plain-service", version="v2")
            order = store.put("op/rollout/plain-service", _ORDER)
            await wait_until(
                lambda: (store.value(_STATUS) or {}).get("state") == "running"
            )
            copy = store.copy()
            await _roll_back(fleet)
            store.restore(copy)
            assert store.value(_STATUS)["state"] == "running"
            assert order
            await wait_until(
                lambda: store.value(_STATUS)["state"] == "rolled_back"
            )

    run(scenario)


def test_rollout_whose_order_is_written_again_does_not_start_over() -> None:
    async def scenario() -> None:
        new = PlatformWorkerStandIn("plain-new")
        async with running_fleet(plain=1) as fleet, new as worker:
            daemon, store = fleet.daemon, fleet.store
            fleet.register(worker, "plain-service", version="v2")
            copy = store.copy()
            store.put("op/rollout/plain-service", _ORDER)
            await wait_until(
                lambda: (store.value(_STATUS) or {}).get("state") == "running"
            )
            await _roll_back(fleet)
            store.restore(copy)
            await wait_until(lambda: daemon.view.era == 2)
            assert store.value(_STATUS) is None
            store.put("op/config", config_document(5))
            store.put("op/rollout/plain-service", _ORDER)
            await wait_until(lambda: store.value(_STATUS) is not None)
            assert store.value(_STATUS)["state"] == "rolled_back"

    run(scenario)


def test_daemon_that_only_has_the_copy_learns_the_rest_from_its_peer() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            store = fleet.store
            await wait_until(lambda: store.keys(_MEMBERS))
            copy = store.copy()
            tenants = [{"name": "workspace-b", "api-keys": ["key-b"]}]
            store.put("op/config", config_document(2, tenants=tenants))
            view = fleet.daemon.view
            await wait_until(
                lambda: view.configuration and view.configuration.version == 2
            )
            store.restore(copy)
            settings = node_settings("vm-2")
            async with running_node(settings, store) as late:
                await wait_until(lambda: late.ready)
                statuses = set()
                fleet.settings = settings
                for number in range(40):
                    head, _ = await fleet.send_request(
                        "/plain/x",
                        request_id=f"id-{number}",
                        Api_Key="key-b",
                    )
                    statuses.add(head.status)
                    await asyncio.sleep(0.05)
                assert statuses <= {200, 503}
                assert head.status == 200

    run(scenario)


@pytest.mark.parametrize("text", ["", "x", "-1", "1.5", "1e3"])
def test_malformed_era_is_ignored(text: str) -> None:
    store = PlatformStore(PlatformStoreStandIn().address, lambda name: None)
    store._record_era("3")
    store._record_era(text)
    assert store.era == 3

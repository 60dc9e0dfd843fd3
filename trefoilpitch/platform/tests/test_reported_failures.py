"""Failures that operators of similar systems reported, brought about here.

Streams that are slow or stalled are in test_upstream_notices.py.
"""

from __future__ import annotations

import asyncio

import pytest

from trefoilpitch.fleet import StoreUnavailableError, UpstreamState
from trefoilpitch.gateway import ListenAddress
from trefoilpitch.platform._store import PlatformStore
from trefoilpitch.platform.tests.harness import (
    HOST,
    Fleet,
    node_settings,
    run,
    running_fleet,
    running_node,
    wait_until,
)
from trefoilpitch.standins import PlatformWorkerStandIn, WorkerFault

_RECORD = "trefoilpitch/rollout/plain-service"


def _response(lease: int) -> bytes:
    body = b'{"lease":%d,"ttl-ms":1000}' % lease
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def test_second_copy_of_a_response_is_not_taken_for_the_next_one() -> None:
    async def scenario() -> None:
        connections = 0

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal connections
            connections += 1
            lease = connections * 100
            while await reader.readuntil(b"}"):
                writer.write(_response(lease))
                await asyncio.sleep(0.02)
                writer.write(_response(lease))
                lease += 1

        server = await asyncio.start_server(serve, HOST, 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            store = PlatformStore(
                ListenAddress(host=HOST, port=port), lambda name: None
            )
            leases = []
            for _ in range(4):
                leases.append(await store.grant_lease(1_000))
                await asyncio.sleep(0.05)
            assert leases == [100, 200, 300, 400]
            server.close()

    run(scenario)


def test_response_of_a_connection_that_timed_out_is_discarded() -> None:
    async def scenario() -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"}")
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            store = PlatformStore(
                ListenAddress(host=HOST, port=port), lambda name: None
            )
            with pytest.raises(StoreUnavailableError):
                await store.grant_lease(1_000)
            assert not store._idle_connections

    run(scenario)


def test_requests_that_arrive_during_a_planned_stop_are_answered() -> None:
    async def scenario() -> None:
        # Long enough for a busy machine to send them while they are accepted.
        async with running_fleet(plain=2, grace_ms=8_000) as fleet:
            for worker in fleet.workers.values():
                worker.response_delay_ms = 40
            statuses: list[int] = []

            async def call(number: int) -> None:
                head, _ = await fleet.send_request(
                    "/once/x", request_id=f"id-{number}"
                )
                statuses.append(head.status)

            async with asyncio.TaskGroup() as group:
                for number in range(60):
                    group.create_task(call(number))
                    if number == 20:
                        fleet.daemon.leave()
                    await asyncio.sleep(0.01)
            assert statuses == [200] * 60

    run(scenario)


@pytest.mark.parametrize(
    "change", ["removed", "draining", "evacuated", "leaving", "paused"]
)
def test_upstream_taken_out_while_connecting_gets_no_request(
    change: str,
) -> None:
    """As after a pause of the process between its choice and its send."""

    async def scenario() -> None:
        async with running_fleet(plain=1) as fleet:
            dispatcher = fleet.daemon._dispatcher
            view = fleet.daemon.view
            entry = view.upstreams["plain-0"].entry
            assert dispatcher.may_send(entry)
            match change:
                case "removed":
                    fleet.store.remove("servers/plain-0")
                    await fleet.wait_for_upstreams(0)
                case "draining":
                    worker = fleet.workers["plain-0"]
                    fleet.register(worker, "plain-service", state="draining")
                    await wait_until(
                        lambda: (
                            view.upstreams["plain-0"].entry.state
                            is UpstreamState.DRAINING
                        )
                    )
                case "evacuated":
                    view.evacuated.add(entry.failure_domain)
                case _:
                    dispatcher.record_notices(
                        entry,
                        leaving=change == "leaving",
                        pause_ms=500 if change == "paused" else 0,
                    )
            assert not dispatcher.may_send(entry)

    run(scenario)


def test_running_work_of_a_silent_upstream_is_neither_repeated_nor_cut() -> (
    None
):
    async def scenario() -> None:
        async with running_fleet(plain=0, models=2) as fleet:
            for worker in fleet.workers.values():
                worker.response_delay_ms = 150
            task = asyncio.create_task(
                fleet.send_request("/stream/x", X_Trefoilpitch_Model="*")
            )
            await wait_until(lambda: _runs(fleet) == 1)
            for key in fleet.store.keys("servers/"):
                fleet.store.remove(key)
            await fleet.wait_for_upstreams(0)
            head, body = await task
            assert (head.status, body.count(b"data:")) == (200, 5)
            assert _runs(fleet) == 1

    run(scenario)


def test_two_daemons_write_each_rollout_step_once() -> None:
    async def scenario() -> None:
        new = PlatformWorkerStandIn("plain-new")
        async with running_fleet(plain=1) as fleet, new as worker:
            worker.faults.extend([WorkerFault.ERROR] * 50)
            fleet.register(worker, "plain-service", version="v2")
            store = fleet.store
            async with running_node(node_settings("vm-2"), store) as other:
                await wait_until(lambda: len(other.view.members) == 2)
                order = {
                    "service": "plain-service",
                    "target": "v2",
                    "duration-s": 2.0,
                }
                store.put("op/rollout/plain-service", order)
                await wait_until(
                    lambda: (
                        (store.value(_RECORD) or {}).get("phase") == "completed"
                    )
                )
                written = [
                    stored for stored in store._history if stored.key == _RECORD
                ]
                steps = [stored.value for stored in written]
                assert len(steps) == len(set(steps))

    run(scenario)


def _runs(fleet: Fleet) -> int:
    return sum(len(worker.runs) for worker in fleet.workers.values())

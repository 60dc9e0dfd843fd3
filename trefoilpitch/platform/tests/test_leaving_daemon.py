"""A daemon that leaves: its directory, and the requests that it still has."""

from __future__ import annotations

import asyncio
import dataclasses

from trefoilpitch.platform.tests.harness import (
    HOST,
    TIMEOUT_MS,
    node_settings,
    run,
    running_fleet,
    running_node,
    wait_until,
)
from trefoilpitch.platform.tests.test_whole_path import _get
from trefoilpitch.standins import WorkerFault, send


def test_leaving_daemon_still_lists_the_other_daemons_to_callers() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            settings = dataclasses.replace(
                node_settings("vm-2"), grace_ms=8_000
            )
            assert fleet.settings is not None
            other = f"{HOST}:{fleet.settings.callers.port}".encode()
            async with running_node(settings, fleet.store) as node:
                await wait_until(lambda: len(node.caller_addresses()) == 2)
                await wait_until(
                    lambda: len(fleet.daemon.caller_addresses()) == 2
                )
                # Keeps it from exiting before its grace period ends.
                worker = fleet.workers["plain-0"]
                worker.faults.append(WorkerFault.HANG)
                fleet.settings = settings
                with await fleet.open_connection() as connection:
                    send(
                        connection, "/once/x", X_Trefoilpitch_Deadline_Ms="9000"
                    )
                    await wait_until(lambda: worker.runs)
                    node.leave()
                    for _ in range(13):
                        await asyncio.sleep(0.5)
                        status, body = await _get(
                            settings.directory.port,
                            "/trefoilpitch/resolve?name=a",
                        )
                        assert status == 200
                        assert other in body

    run(scenario)


def test_request_that_waits_for_an_upstream_is_answered_at_exit() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            worker = fleet.workers["plain-0"]
            worker.faults.append(WorkerFault.HANG)
            with await fleet.open_connection() as connection:
                send(connection, "/plain/x", X_Trefoilpitch_Deadline_Ms="9000")
                await wait_until(lambda: worker.runs)
                fleet.daemon.leave()
                head = await connection.receive_head(TIMEOUT_MS)
                assert head.status in (502, 504)

    run(scenario)

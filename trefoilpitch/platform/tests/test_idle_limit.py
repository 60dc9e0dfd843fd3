"""Idle timers that were started under an older configuration."""

from __future__ import annotations

import asyncio

from trefoilpitch.platform.tests.harness import (
    TIMEOUT_MS,
    run,
    running_fleet,
    wait_until,
)
from trefoilpitch.standins import config_document, send


def _limits(idle_ms: int) -> dict[str, int]:
    limits: dict[str, int] = dict(config_document()["limits"])
    limits["idle-timeout-ms"] = idle_ms
    return limits


def test_raised_idle_timeout_applies_to_connections_that_are_idle() -> None:
    async def scenario() -> None:
        async with running_fleet(limits=_limits(600)) as fleet:
            with await fleet.open_connection() as connection:
                for request_id in ("id-1", "id-2"):
                    send(connection, "/plain/x", request_id=request_id)
                    head = await connection.receive_head(TIMEOUT_MS)
                    assert head.status == 200
                    await connection.receive_body(TIMEOUT_MS, 1 << 20)
                    if request_id == "id-1":
                        connection._h11.start_next_cycle()
                        fleet.store.put(
                            "op/config",
                            config_document(9, limits=_limits(5_000)),
                        )
                        await wait_until(
                            lambda: (
                                fleet.daemon.view.configuration
                                and fleet.daemon.view.configuration.version == 9
                            )
                        )
                        await asyncio.sleep(1.0)

    run(scenario)

"""Workers that restart cold under their IDs while the store is unavailable."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from trefoilpitch.gateway import ResponseHead
from trefoilpitch.platform._requests import PlatformRequests
from trefoilpitch.platform.tests.cut_links import (
    CutMode,
    Daemon,
    running_daemons,
)
from trefoilpitch.platform.tests.harness import run, wait_until

_REQUESTS = 8
_COLD_PER_S = 3
_SERVICE: dict[str, Any] = {
    "name": "plain-service",
    "cold-start-s": 60.0,
    "cold-per-s": _COLD_PER_S,
    "health-path": "/health",
}


async def _lose_and_restore_link(daemon: Daemon) -> None:
    daemon.links.cut(CutMode.RESET)
    await daemon.send_request("/plain/x", "lost")
    daemon.links.heal()
    await wait_until(lambda: not daemon.node._links.lost)


@pytest.mark.parametrize(
    ("reported", "bound"),
    [
        ("59000", _COLD_PER_S),
        # It has not restarted.
        ("0", _REQUESTS),
        # It does not say, so that it may have.
        (None, _COLD_PER_S),
        ("-1", _COLD_PER_S),
    ],
)
def test_worker_that_came_back_gets_its_cold_share_until_it_reports(
    reported: str | None, bound: int
) -> None:
    async def scenario() -> None:
        async with running_daemons(1, plain=1, services=[_SERVICE]) as (
            fleet,
            (daemon,),
        ):
            worker = fleet.workers["plain-0"]
            worker.cold_ms = reported
            await _lose_and_restore_link(daemon)
            await wait_until(lambda: worker.health_reads)
            if reported == "0":
                await wait_until(
                    lambda: not daemon.node._restarts.own_cold_ms()
                )
            await asyncio.gather(
                *(
                    daemon.send_request(
                        "/once/x", f"id-{n}", X_Trefoilpitch_Deadline_Ms="300"
                    )
                    for n in range(_REQUESTS)
                )
            )
            assert len(worker.runs) == bound

    run(scenario)


def test_peers_are_told_of_a_cold_worker() -> None:
    async def scenario() -> None:
        async with running_daemons(2, plain=1, services=[_SERVICE]) as (
            fleet,
            daemons,
        ):
            fleet.workers["plain-0"].cold_ms = "59000"
            await _lose_and_restore_link(daemons[0])
            entry = daemons[1].node.view.upstreams["plain-0"].entry
            await wait_until(lambda: daemons[1].node._restarts.is_cold(entry))

    run(scenario)


@pytest.mark.parametrize(
    ("status", "value", "cold_ms"),
    [
        (200, "0", 0),
        (200, "2500", 2_500),
        (200, "2500.7", 2_500),
        (200, None, None),
        (200, "-1", None),
        (200, "nan", None),
        (200, "soon", None),
        (503, "0", None),
    ],
)
def test_health_response_says_how_long_a_worker_is_cold(
    status: int, value: str | None, cold_ms: int | None
) -> None:
    headers: tuple[tuple[bytes, bytes], ...] = ()
    if value is not None:
        headers = ((b"x-trefoilpitch-cold-ms", value.encode()),)
    head = ResponseHead(status=status, headers=headers)
    assert PlatformRequests().decode_cold_ms(head) == cold_ms

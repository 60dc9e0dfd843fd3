"""Upstreams that leave one after the other under one stream."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Collection

import pytest

from trefoilpitch.gateway import ExchangeError, ResponseHead
from trefoilpitch.platform.tests.harness import (
    Fleet,
    run,
    running_fleet,
    stream_routes,
    wait_until,
)
from trefoilpitch.standins import PlatformWorkerStandIn

_EVENTS = 40


async def _announce(fleet: Fleet, worker: PlatformWorkerStandIn) -> None:
    """Lists a worker as draining and waits until the daemon knows."""
    revision = fleet.daemon.view.revision
    fleet.register(worker, "model-service", state="draining")
    await wait_until(lambda: fleet.daemon.view.revision > revision)


async def _end_upstreams_in_turn(
    fleet: Fleet,
    count: int,
    *,
    leaving: Collection[int] = (),
    draining: Collection[int] = (),
) -> tuple[ResponseHead, bytes]:
    """Sends a stream under which upstreams end, and returns the response.

    Args:
        fleet: A fleet with the upstream `model-0`.
        count: How many end; another one starts before each ending.
        leaving: Numbers of those that announce their end in their responses.
        draining: Numbers of those that are listed as draining before.
    """
    worker = fleet.workers["model-0"]
    worker.leaving = 0 in leaving
    worker.events, worker.event_delay_ms = _EVENTS, 50
    task = asyncio.create_task(fleet.send_request("/stream/x"))
    for number in range(count):
        await wait_until(functools.partial(len, worker.runs))
        following = await fleet.add_worker(
            f"model-{number + 1}", "model-service"
        )
        following.leaving = number + 1 in leaving
        following.events, following.event_delay_ms = _EVENTS, 50
        await asyncio.sleep(0.3)
        if number in draining:
            await _announce(fleet, worker)
        worker.stop()
        worker = following
    return await task


@pytest.mark.parametrize("announced", ["leaving", "draining"])
def test_ends_of_leaving_upstreams_do_not_use_up_the_attempts(
    announced: str,
) -> None:
    async def scenario() -> None:
        routes = stream_routes(gap_ms=2_000)
        async with running_fleet(plain=0, models=1, routes=routes) as fleet:
            head, body = await _end_upstreams_in_turn(
                fleet, 3, **{announced: range(3)}
            )
            assert head.status == 200
            assert body.count(b"id: ") == _EVENTS

    run(scenario)


def test_ends_without_an_announcement_use_up_the_attempts() -> None:
    """A request that ends its upstreams is not sent to more of them."""

    async def scenario() -> None:
        routes = stream_routes(gap_ms=2_000)
        async with running_fleet(plain=0, models=1, routes=routes) as fleet:
            with pytest.raises(ExchangeError):
                await _end_upstreams_in_turn(fleet, 3)
            assert not fleet.workers["model-3"].runs

    run(scenario)


def test_stream_that_may_run_once_is_not_resumed_after_a_departure() -> None:
    async def scenario() -> None:
        routes = stream_routes(gap_ms=2_000, resumable=False)
        async with running_fleet(plain=0, models=1, routes=routes) as fleet:
            with pytest.raises(ExchangeError):
                await _end_upstreams_in_turn(fleet, 1, leaving={0})
            assert not fleet.workers["model-1"].runs

    run(scenario)

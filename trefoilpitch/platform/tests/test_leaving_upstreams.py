"""Upstreams that leave one after the other under one stream."""

from __future__ import annotations

import asyncio
import functools

from trefoilpitch.platform.tests.harness import (
    run,
    running_fleet,
    stream_routes,
    wait_until,
)

_EVENTS = 40


def test_ends_of_leaving_upstreams_do_not_use_up_the_attempts() -> None:
    async def scenario() -> None:
        routes = stream_routes(gap_ms=2_000)
        async with running_fleet(plain=0, models=1, routes=routes) as fleet:
            worker = fleet.workers["model-0"]
            worker.leaving = True
            worker.events, worker.event_delay_ms = _EVENTS, 50
            task = asyncio.create_task(fleet.send_request("/stream/x"))
            for number in range(1, 4):
                await wait_until(functools.partial(len, worker.runs))
                following = await fleet.add_worker(
                    f"model-{number}", "model-service"
                )
                following.leaving = number < 3
                following.events, following.event_delay_ms = _EVENTS, 50
                await asyncio.sleep(0.3)
                worker.stop()
                worker = following
            head, body = await task
            assert head.status == 200
            assert body.count(b"id: ") == _EVENTS

    run(scenario)

"""Streams that are cut off by more upstreams than their route allows."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Sequence

import pytest

from trefoilpitch.gateway import ExchangeError, ResponseHead
from trefoilpitch.platform.tests.harness import (
    Fleet,
    run,
    running_fleet,
    stream_routes,
)
from trefoilpitch.standins import PlatformWorkerStandIn, WorkerFault, WorkerRun

_EVENTS = 40
# The route allows three.
_UPSTREAMS = 4


async def _send(
    fleet: Fleet, faults: Sequence[WorkerFault]
) -> tuple[ResponseHead, bytes]:
    """Sends a stream; one attempt after the other has one of the faults."""
    left = list(faults)
    for worker in fleet.workers.values():
        worker.events, worker.event_delay_ms = _EVENTS, 5
        worker.on_run = lambda _: spread()

    def spread() -> None:
        for worker in fleet.workers.values():
            worker.faults.clear()
            worker.faults.extend(left[:1])
        del left[:1]

    spread()
    async with asyncio.timeout(5):
        return await fleet.send_request("/stream/x")


def _runs(fleet: Fleet) -> list[int]:
    return sorted(len(worker.runs) for worker in fleet.workers.values())


def test_stream_returns_to_upstreams_that_have_run_it() -> None:
    async def scenario() -> None:
        routes = stream_routes(gap_ms=2_000)
        async with running_fleet(
            plain=0, models=_UPSTREAMS, routes=routes
        ) as fleet:
            head, body = await _send(fleet, [WorkerFault.CUT] * 3)
            assert head.status == 200
            assert body.count(b"id: ") == _EVENTS
            assert _runs(fleet) == [0, 1, 1, 2]

    run(scenario)


def test_upstreams_that_are_gone_do_not_use_up_the_attempts() -> None:
    async def scenario() -> None:
        routes = stream_routes(gap_ms=2_000)
        async with running_fleet(
            plain=0, models=_UPSTREAMS, routes=routes
        ) as fleet:
            gone: list[PlatformWorkerStandIn] = []

            def remove(worker: PlatformWorkerStandIn, _: WorkerRun) -> None:
                if len(gone) < _UPSTREAMS - 1:
                    gone.append(worker)
                    fleet.store.remove(f"servers/{worker.worker_id}")

            for worker in fleet.workers.values():
                worker.events, worker.event_delay_ms = 8, 200
                worker.on_run = functools.partial(remove, worker)
                worker.faults.append(WorkerFault.CUT)
            task = asyncio.create_task(fleet.send_request("/stream/x"))
            await fleet.wait_for_upstreams(1)
            fleet.workers[
                next(iter(fleet.daemon.view.upstreams))
            ].faults.clear()
            head, body = await task
            assert head.status == 200
            assert body.count(b"id: ") == 8
            assert _runs(fleet) == [1, 1, 1, 1]

    run(scenario)


def test_stream_that_is_always_cut_off_is_given_up() -> None:
    async def scenario() -> None:
        routes = stream_routes(gap_ms=2_000)
        async with running_fleet(
            plain=0, models=_UPSTREAMS, routes=routes
        ) as fleet:
            with pytest.raises(ExchangeError):
                await _send(fleet, [WorkerFault.CUT] * 1_000)
            runs = _runs(fleet)
            assert runs[0] == 0
            assert sum(runs) == 6

    run(scenario)


def test_stream_under_which_two_upstreams_ended_is_not_resumed_again() -> None:
    """The third upstream only cuts it off."""

    async def scenario() -> None:
        routes = stream_routes(gap_ms=2_000)
        async with running_fleet(
            plain=0, models=_UPSTREAMS, routes=routes
        ) as fleet:
            workers = fleet.workers.values()
            ended: list[PlatformWorkerStandIn] = []

            def end_first_two(
                worker: PlatformWorkerStandIn, _: WorkerRun
            ) -> None:
                if len(ended) == 2:
                    return
                ended.append(worker)
                asyncio.get_running_loop().call_later(0.1, worker.stop)
                if len(ended) == 2:
                    for other in workers:
                        other.faults.extend([WorkerFault.CUT] * 10)

            for worker in workers:
                worker.events, worker.event_delay_ms = _EVENTS, 20
                worker.on_run = functools.partial(end_first_two, worker)
            with pytest.raises(ExchangeError):
                async with asyncio.timeout(5):
                    await fleet.send_request("/stream/x")
            assert len(ended) == 2
            assert _runs(fleet) == [0, 1, 1, 1]

    run(scenario)

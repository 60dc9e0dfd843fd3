"""Requests are freed when they end, without the cyclic collector.

A request holds its body, of up to `max-body-bytes`. The collector runs so
rarely that the bodies of many requests would stay in memory until then.
"""

from __future__ import annotations

import asyncio
import gc
import weakref

import pytest

from trefoilpitch.gateway._request_run import RequestRun
from trefoilpitch.platform.tests.harness import Fleet, run, running_fleet
from trefoilpitch.standins import WorkerFault, WorkerRun


def _record_runs(fleet: Fleet) -> list[weakref.ref[RequestRun]]:
    """Returns a list that receives the requests that reach a worker."""
    seen: list[weakref.ref[RequestRun]] = []

    def record(_: WorkerRun) -> None:
        runs = fleet.daemon._request_handler._runs
        seen.extend(weakref.ref(run) for run in runs)

    for worker in fleet.workers.values():
        worker.on_run = record
    return seen


@pytest.mark.parametrize(
    ("target", "fault"),
    [
        ("/plain/x", None),
        ("/plain/x", WorkerFault.LOST),
        ("/plain/x", WorkerFault.ERROR),
        ("/once/x", WorkerFault.CUT),
        ("/stream/x", None),
        ("/stream/x", WorkerFault.CUT),
        ("/stream/x", WorkerFault.SHED),
    ],
)
def test_request_is_freed_at_its_end(
    target: str, fault: WorkerFault | None
) -> None:
    async def scenario() -> None:
        async with running_fleet(plain=2, models=2) as fleet:
            seen = _record_runs(fleet)
            for worker in fleet.workers.values():
                worker.faults.extend([fault] if fault else [])
            gc.disable()
            try:
                await fleet.send_request(target, X_Trefoilpitch_Model="*")
            finally:
                await asyncio.sleep(0.1)
                alive = [run for run in seen if run() is not None]
                gc.enable()
            assert seen
            assert not alive

    run(scenario)


def test_request_that_is_handed_over_is_freed_at_its_end() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=2) as fleet:
            seen = _record_runs(fleet)
            for worker in fleet.workers.values():
                worker.response_delay_ms = 3_000
            gc.disable()
            try:
                await fleet.send_request(
                    "/plain/x", X_Trefoilpitch_Deadline_Ms="2000"
                )
            finally:
                await asyncio.sleep(0.1)
                alive = [run for run in seen if run() is not None]
                gc.enable()
            assert seen
            assert not alive

    run(scenario)

"""Escalations: the good response is kept until another one is secured."""

from __future__ import annotations

import pytest

from trefoilpitch.platform.tests.harness import (
    Fleet,
    run,
    running_fleet,
)
from trefoilpitch.standins import WorkerFault, WorkerRun

_EVENTS = 5


def _fail_after_first_run(fleet: Fleet, fault: WorkerFault) -> None:
    """Lets the small model respond; all requests after that one fail."""

    def on_run(_: WorkerRun) -> None:
        for worker in fleet.workers.values():
            if not worker.faults:
                worker.faults.extend([fault] * 1_000)

    for worker in fleet.workers.values():
        worker.confidence = {"small": 5, "large": 90}
        worker.events = _EVENTS
        worker.event_delay_ms = 20
        worker.on_run = on_run


async def _escalate(fleet: Fleet) -> None:
    """Sends a stream and checks that the small model's response is whole."""
    head, body = await fleet.send_request(
        "/stream/x",
        X_Trefoilpitch_Model="*",
        X_Trefoilpitch_Token_Counts="100,300",
    )
    events = [
        f"id: {number}\ndata: id-1-{number}\n\n".encode()
        for number in range(1, _EVENTS + 1)
    ]
    assert head.status == 200
    assert body == b"".join(events)


@pytest.mark.parametrize("models", [1, 2])
@pytest.mark.parametrize(
    "fault", [WorkerFault.SHED, WorkerFault.ERROR, WorkerFault.LOST]
)
def test_good_response_is_delivered_if_the_larger_model_fails(
    fault: WorkerFault, models: int
) -> None:
    async def scenario() -> None:
        async with running_fleet(plain=0, models=models) as fleet:
            _fail_after_first_run(fleet, fault)
            await _escalate(fleet)

    run(scenario)


def test_good_response_is_delivered_if_other_upstreams_are_gone() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=0, models=2) as fleet:
            _fail_after_first_run(fleet, WorkerFault.SHED)

            def stop_others(first: WorkerRun) -> None:
                for worker in fleet.workers.values():
                    if first not in worker.runs:
                        worker.stop()
                    elif not worker.faults:
                        worker.faults.extend([WorkerFault.SHED] * 1_000)

            for worker in fleet.workers.values():
                worker.on_run = stop_others
            await _escalate(fleet)

    run(scenario)


def test_larger_model_that_is_slow_to_respond_takes_over() -> None:
    """Only one of both works on the request after a short time."""

    async def scenario() -> None:
        async with running_fleet(plain=0, models=2) as fleet:
            _fail_after_first_run(fleet, WorkerFault.SHED)
            workers = list(fleet.workers.values())

            def delay_large(_: WorkerRun) -> None:
                for worker in workers:
                    worker.response_delay_ms = 400

            for worker in workers:
                worker.on_run = delay_large
                worker.events = _EVENTS
                worker.event_delay_ms = 100
            await _escalate(fleet)
            models = [
                r.headers["x-trefoilpitch-model"]
                for w in workers
                for r in w.runs
            ]
            assert sorted(models) == ["large", "small"]
            assert sum(worker.abandoned for worker in workers) == 1

    run(scenario)

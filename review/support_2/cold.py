"""A worker that turns cold while the platform's store is down."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

from review.support_2.deployment import (
    DaemonProcess,
    Deployment,
    run_case,
)
from review.support_2.standins import config_document

_SERVICE = "plain-service"
_COLD_S = 3.0
_COLD_PER_S = 12
# `cold-per-s` x `cold-over` + `cold-slack`.
_MOST_PER_S = _COLD_PER_S * 1.5 + 5
_OUTAGE_S = 4.5
_REQUESTS_PER_S = 24
_RESPONSE_MS = 20


async def _send(deployment: Deployment, daemon: DaemonProcess) -> None:
    async def one() -> None:
        await deployment.request(daemon, "/plain/x", "read", method="GET")

    while True:
        deployment.spawn(one())
        await asyncio.sleep(1 / _REQUESTS_PER_S)


def _busiest_second(arrived_s: list[float]) -> int:
    """Returns the largest number of arrivals in any span of a second."""
    return max(
        (sum(t <= other < t + 1.0 for other in arrived_s) for t in arrived_s),
        default=0,
    )


async def scenario(deployment: Deployment, trouble: bool) -> bool:
    """Runs the case; returns whether the rule FAILBACK held."""
    document = config_document()
    for service in document["services"]:
        if service["name"] == _SERVICE:
            service["cold-start-s"] = _COLD_S
            service["cold-per-s"] = _COLD_PER_S
            service["health-path"] = "/health"
    deployment.store.put("op/config", document)
    for number in range(2):
        worker = await deployment.add_worker(f"i-{number}", _SERVICE)
        worker.response_delay_ms = _RESPONSE_MS
        worker.cold_ms = "0"
    record, cold = deployment.record, deployment.workers[0]
    born = int(time.time() * 1_000)
    deployment.register(cold, _SERVICE, born=born)
    await deployment.start()
    for daemon in deployment.daemons:
        deployment.spawn(_send(deployment, daemon))
    await asyncio.sleep(3.0)
    if trouble:
        deployment.store.refusal_status = 503
        record.note("the store answers 503 to every call")
    await asyncio.sleep(1.0)

    arrived_s: list[float] = []
    noted = cold.on_run

    def on_run(run: object) -> None:
        noted(run)
        arrived_s.append(record.now_s())

    cold.on_run = on_run
    begun_s = record.now_s()
    record.note(f"{cold.worker_id} is cold for {_COLD_S} s")
    # What the worker says of itself: in its entry, which the store takes while
    # it is up, and in its health responses.
    left_ms = int(_COLD_S * 1_000)
    if not trouble:
        deployment.register(
            cold, _SERVICE, born=born, seq=2, **{"cold-left-ms": left_ms}
        )
    while record.now_s() < begun_s + _COLD_S:
        left_ms = int((begun_s + _COLD_S - record.now_s()) * 1_000)
        cold.cold_ms = str(max(0, left_ms))
        await asyncio.sleep(0.01)
    cold.cold_ms = "0"
    record.note(f"{cold.worker_id} is warm")
    await asyncio.sleep(_OUTAGE_S - 1.0 - _COLD_S)
    deployment.store.refusal_status = None
    cold_s = [t for t in arrived_s if t < begun_s + _COLD_S]
    most = _busiest_second(cold_s)
    record.note(
        f"{len(cold_s)} requests reached the cold worker, at most {most} in a"
        f" second; the rule permits {_MOST_PER_S:g};"
        f" {cold.health_reads} health responses were read"
    )
    return most <= _MOST_PER_S


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(sys.argv[1]), 3, scenario))

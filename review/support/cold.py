"""What the cases on cold workers share."""

from __future__ import annotations

import asyncio

from review.support.http import Message
from review.support.load import Clients, configuration, most_in_window
from review.support.record import CannotRunError, Record
from review.support.store import Store
from review.support.worker import Serve, Worker, plain

SERVICE = "pulpit-lm"
ZONES = ["suva-central", "nausori-delta", "lautoka-west"]
COLD_S = 3.0
# As in the sites' files.
COLD_PER_S = 12
COLD_OVER = 1.5
COLD_SLACK = 5
DEADLINE_MS = 20_000
WORK_S = 2.5
# A cold worker crashes at a rate well above `cold-per-s`.
CRASH_PER_S = 2 * COLD_PER_S
_HEARTBEAT_S = 1.2


def lost_jobs_configuration() -> dict[str, object]:
    """Returns a configuration with one route whose requests run once."""
    route: dict[str, object] = {
        "name": "sermon-index",
        "path-prefix": "/sermon/",
        "kind": "non_idempotent",
        "timeout-ms": DEADLINE_MS,
        "target-latency-ms": 4_000,
        "service": SERVICE,
        "max-attempts": 1,
    }
    service: dict[str, object] = {
        "name": SERVICE,
        "cold-start-s": COLD_S,
        "cold-per-s": COLD_PER_S,
    }
    return configuration([route], [service])


def brittle_while_cold(work_s: float = WORK_S) -> Serve:
    """Returns a way to respond that crashes a cold worker at a high rate."""
    respond = plain(work_s)

    async def serve(
        worker: Worker, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        if worker.is_cold:
            now_s = worker.arrivals[-1].time_s
            recent = [a for a in worker.arrivals if now_s - a.time_s < 1.0]
            if sum(a.cold for a in recent) > CRASH_PER_S:
                worker.crash()
                return
        await respond(worker, request, writer)

    return serve


async def write_heartbeats(store: Store, workers: list[Worker]) -> None:
    """Writes the entries of the workers until cancelled."""
    while True:
        for worker in workers:
            if worker.is_up and not store.down:
                store.put(f"servers/{worker.worker_id}", worker.entry())
        await asyncio.sleep(_HEARTBEAT_S)


def judge(record: Record, worker: Worker, clients: Clients) -> bool:
    """Returns whether a worker that was cold got no more than it may."""
    cold = [arrival for arrival in worker.arrivals if arrival.cold]
    if not cold:
        raise CannotRunError("the cold worker got no request")
    record_arrivals(record, worker)
    most = most_in_window([arrival.time_s for arrival in cold], 1.0)
    bound = COLD_PER_S * COLD_OVER + COLD_SLACK
    record.say(f"answers: {clients.statuses()}; None is no complete answer")
    reached = {arrival.request_id for arrival in cold}
    lost = sum(
        outcome.request_id in reached and outcome.status != 200
        for outcome in clients.outcomes
    )
    record.say(
        f"cold for {COLD_S:.0f} s: {len(cold)} requests, {most} of them within"
        f" one second; {bound:g} may; it crashed {worker.crashes} times, and"
        f" {lost} requests that it had begun got no success"
    )
    return most <= bound


def record_arrivals(record: Record, worker: Worker) -> None:
    """Writes which requests a worker got while it was cold."""
    for arrival in worker.arrivals:
        if arrival.cold:
            record.line(f"{arrival.request_id} reached {worker.worker_id} cold")

"""Entries of another writer beside the workers of routes that were added."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

from review.support_2.deployment import Deployment, run_case
from review.support_2.standins import config_document

_HEARTBEAT_S = 1.2
# The bound `config-apply-ms`.
_APPLY_S = 2.0
_OBSERVED_S = 8.0
_INTERVAL_S = 0.1
# Requests on added routes from which on the rule counts.
_LEAST_REQUESTS = 20


async def _beat(deployment: Deployment, services: dict[str, str]) -> None:
    """Writes each worker's entry again, with a higher `seq`."""
    born = {w.worker_id: int(time.time() * 1_000) for w in deployment.workers}
    seq = 1
    while True:
        for worker in deployment.workers:
            deployment.register(
                worker,
                services[worker.worker_id],
                born=born[worker.worker_id],
                seq=seq,
            )
        seq += 1
        await asyncio.sleep(_HEARTBEAT_S)


def _add_foreign(deployment: Deployment, services: dict[str, str]) -> None:
    """Adds another writer's entry beside each plain worker."""
    for number, worker in enumerate(deployment.workers):
        if services[worker.worker_id] != "plain-service":
            continue
        entry = worker.entry("meter", slots=1, born=int(time.time() * 1_000))
        key = f"servers/meter-{number}"
        deployment.store.put(key, entry)
        deployment.record.note(f"another writer adds {key}: {entry}")


async def _measure(
    deployment: Deployment,
) -> tuple[dict[str, int], dict[str, int]]:
    """Returns the requests that are sent and served, by route."""
    sent = {"plain": 0, "stream": 0}
    served = {"plain": 0, "stream": 0}

    async def one(kind: str, number: int) -> None:
        sent[kind] += 1
        daemon = deployment.daemons[number % len(deployment.daemons)]
        fields = {}
        if kind == "stream":
            fields["X_Trefoilpitch_Model"] = "*"
        status, _ = await deployment.request(
            daemon, f"/{kind}/x", kind, **fields
        )
        served[kind] += status == 200

    jobs: list[asyncio.Task[None]] = []
    end_s = deployment.record.now_s() + _OBSERVED_S
    while deployment.record.now_s() < end_s:
        for kind in sent:
            jobs.append(deployment.spawn(one(kind, len(jobs) // 2)))
        await asyncio.sleep(_INTERVAL_S)
    await asyncio.gather(*jobs)
    return sent, served


async def scenario(deployment: Deployment, trouble: bool) -> bool:
    """Runs the case; returns whether the rule CONFIG held."""
    document = config_document(1)
    first = [r for r in document["routes"] if r["name"] == "stream"]
    deployment.store.put("op/config", document | {"routes": first})
    services = {}
    for number in range(3):
        for kind in ("plain", "model"):
            worker_id = f"i-{kind}-{number}"
            services[worker_id] = f"{kind}-service"
            await deployment.add_worker(worker_id, services[worker_id])
    deployment.spawn(_beat(deployment, services))
    await deployment.start()
    record = deployment.record
    deployment.store.put("op/config", config_document(2))
    record.note("version 2 adds the routes of the plain service")
    await asyncio.sleep(_APPLY_S + 1.0)
    if trouble:
        _add_foreign(deployment, services)
    await asyncio.sleep(1.0)
    sent, served = await _measure(deployment)
    record.note(f"served: {served} of {sent}; plain routes were added later")
    if sent["plain"] < _LEAST_REQUESTS:
        return True
    shares = {kind: served[kind] / sent[kind] for kind in sent}
    return shares["plain"] >= shares["stream"] / 4


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(sys.argv[1]), 3, scenario))

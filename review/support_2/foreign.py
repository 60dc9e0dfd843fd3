"""Entries of another writer in the list of the workers."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

from review.support_2.deployment import Deployment, run_case
from review.support_2.standins import config_document

_HEARTBEAT_S = 1.2
_OBSERVED_S = 8.0
_INTERVAL_S = 0.1


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


async def scenario(deployment: Deployment, trouble: bool) -> bool:
    """Runs the case; returns whether the rule Starved held."""
    deployment.store.put("op/config", config_document())
    services = {}
    for number in range(3):
        for kind in ("plain", "model"):
            worker_id = f"i-{kind}-{number}"
            services[worker_id] = f"{kind}-service"
            await deployment.add_worker(worker_id, services[worker_id])
    deployment.spawn(_beat(deployment, services))
    await deployment.start()
    record = deployment.record
    if trouble:
        for number, worker in enumerate(deployment.workers):
            if services[worker.worker_id] != "plain-service":
                continue
            entry = worker.entry(
                "meter", slots=1, born=int(time.time() * 1_000)
            )
            deployment.store.put(f"servers/meter-{number}", entry)
            record.note(f"another writer adds servers/meter-{number}: {entry}")
    await asyncio.sleep(1.0)
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

    jobs = []
    end_s = record.now_s() + _OBSERVED_S
    while record.now_s() < end_s:
        for kind in sent:
            jobs.append(deployment.spawn(one(kind, len(jobs) // 2)))
        await asyncio.sleep(_INTERVAL_S)
    await asyncio.gather(*jobs)
    shares = {kind: served[kind] / sent[kind] for kind in sent}
    overall = sum(served.values()) / sum(sent.values())
    record.note(f"served: {served} of {sent}")
    return all(share >= overall / 4 for share in shares.values())


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(sys.argv[1]), 3, scenario))

"""A machine without links to the workers, and a request that ends workers."""

from __future__ import annotations

import asyncio
import pathlib
import sys

from review.support_2.crashes import DeadlyRequest
from review.support_2.deployment import HOST, Deployment, run_case
from review.support_2.links import LinkedView
from review.support_2.standins import config_document

_WORKERS = 8
_CUT_S = 9.0


async def scenario(deployment: Deployment, trouble: bool) -> bool:
    """Runs the case; returns whether the rule BUDGET held."""
    deployment.store.put("op/config", config_document())
    request = DeadlyRequest(deployment)
    await request.add_workers(_WORKERS)
    record, daemon = deployment.record, deployment.daemons[0]
    view = LinkedView(deployment.store)
    await view.start()
    daemon.store = f"{HOST}:{view.port}"
    for worker in deployment.workers:
        view.follow(worker)
    try:
        await deployment.start()
        for other in deployment.daemons:
            deployment.spawn(request.send_sound(other))
        await asyncio.sleep(2.0)
        if trouble:
            view.cut()
            record.note("vm-1 is partitioned from all workers")
        begun_s = record.now_s()
        await asyncio.sleep(0.3)
        await request.send_for(daemon, _CUT_S - 0.3)
        return request.holds(0.0, begun_s + _CUT_S)
    finally:
        view.close()


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(sys.argv[1]), 3, scenario))

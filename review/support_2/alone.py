"""A machine that comes back alone, and a request that ends workers."""

from __future__ import annotations

import asyncio
import pathlib
import sys

from review.support_2.crashes import DeadlyRequest
from review.support_2.deployment import CONTACT_S, Deployment, run_case
from review.support_2.standins import config_document

_WORKERS = 8
_RESTART_S = 0.5
_OBSERVED_S = 13.0


async def scenario(deployment: Deployment, trouble: bool) -> bool:
    """Runs the case; returns whether the rule BUDGET held."""
    deployment.store.put("op/config", config_document())
    request = DeadlyRequest(deployment)
    await request.add_workers(_WORKERS)
    await deployment.start()
    record, daemon = deployment.record, deployment.daemons[0]
    sound = deployment.spawn(request.send_sound(daemon))
    await asyncio.sleep(1.0)
    in_touch_s = 0.0
    if trouble:
        for other in deployment.daemons:
            other.kill()
        record.note("all machines are killed; only vm-1 comes back")
        await asyncio.sleep(_RESTART_S)
        in_touch_s = record.now_s() + CONTACT_S
        daemon.start()
        await deployment.wait_ready(daemon)
    await asyncio.sleep(1.0)
    await request.send_for(daemon, _OBSERVED_S)
    sound.cancel()
    return request.holds(in_touch_s, record.now_s())


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(sys.argv[1]), 3, scenario))

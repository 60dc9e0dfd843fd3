"""Daemons that cannot reach the upstreams, while the others can."""

from __future__ import annotations

import pytest

from trefoilpitch.platform.tests.cut_links import CutMode, running_daemons
from trefoilpitch.platform.tests.harness import run, stream_routes

_GAP_MS = 400


@pytest.mark.parametrize("mode", CutMode)
@pytest.mark.parametrize("target", ["/plain/x", "/once/x", "/stream/x"])
def test_caller_of_daemon_without_links_is_served(
    target: str, mode: CutMode
) -> None:
    """Its first attempt succeeds, as at the other daemons."""

    async def scenario() -> None:
        routes = stream_routes(gap_ms=_GAP_MS)
        async with running_daemons(3, plain=2, models=2, routes=routes) as (
            fleet,
            daemons,
        ):
            daemons[0].links.cut(mode)
            statuses = []
            for number in range(6):
                head, _ = await daemons[0].send_request(
                    target, f"id-{number}", X_Trefoilpitch_Deadline_Ms="2000"
                )
                statuses.append(head.status)
            assert statuses == [200] * 6
            runs = [
                run.request_id
                for worker in fleet.workers.values()
                for run in worker.runs
            ]
            assert sorted(runs) == [f"id-{number}" for number in range(6)]

    run(scenario)

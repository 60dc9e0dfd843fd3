"""Speeds that upstreams report, on the whole path and between daemons."""

from __future__ import annotations

from trefoilpitch.platform.tests.harness import (
    node_settings,
    run,
    running_fleet,
    running_node,
    wait_until,
)


def test_all_daemons_learn_a_reported_speed_and_no_work_stays_behind() -> None:
    """Guards against work of ended requests that counts for ever.

    Each daemon of a large fleet hears from a given upstream too rarely to tell
    its speed from a moment's hiccup.
    """

    async def scenario() -> None:
        async with running_fleet(plain=0, models=1) as fleet:
            fleet.workers["model-0"].load = "1,0,8,250"
            other = node_settings("vm-2")
            async with running_node(other, fleet.store) as peer:
                await wait_until(
                    lambda: len(fleet.daemon.caller_addresses()) == 2
                )
                for number in range(4):
                    head, _ = await fleet.send_request(
                        "/stream/x",
                        request_id=f"id-{number}",
                        X_Trefoilpitch_Model="*",
                        X_Trefoilpitch_Token_Counts="200,40",
                    )
                    assert head.status == 200
                work = fleet.daemon._dispatcher.work
                entry = fleet.daemon.view.upstreams["model-0"].entry
                await wait_until(lambda: work.work_ms(entry) == 0)
                estimates = fleet.daemon._metrics.counters()
                assert any("work_estimates" in name for name in estimates)
                speeds = peer._dispatcher.work.speeds
                await wait_until(
                    lambda: (speeds.duration("model-0", 0) or 0.0) > 1.2
                )

    run(scenario)

"""What a daemon reports as its demand, and what it collects."""

from __future__ import annotations

from trefoilpitch.clock import ManualClock
from trefoilpitch.gateway._demands import FleetDemands

_MEMBERS = {"own", "a", "b"}


class _Daemon:
    def __init__(self) -> None:
        self.clock = ManualClock(10_000)
        self.demand: dict[str, int] = {}
        self.heard: dict[str, int] = {}
        self.demands = FleetDemands(
            self.clock,
            own_name="own",
            members=lambda: _MEMBERS,
            peers_demand=lambda service: self.heard,
            own_demand=lambda: self.demand,
        )

    def report_after(self, elapsed_ms: int) -> dict[str, int]:
        for _ in range(elapsed_ms // 100):
            self.clock.advance(100)
            self.demands.of_service("s")
        return self.demands.report()


def test_demand_follows_within_a_second_or_so() -> None:
    """Requests in flight at the moment of a heartbeat would be noise."""
    daemon = _Daemon()
    daemon.demand = {"s": 10}
    assert daemon.report_after(100) == {"s": 1}
    assert daemon.report_after(1_500) == {"s": 8}
    daemon.demand = {}
    assert daemon.report_after(2_000) == {"s": 1}
    assert daemon.report_after(2_000) == {}
    daemon.demand = {"s": 1}
    assert daemon.report_after(1_000) == {"s": 1}


def test_own_demand_is_the_one_that_the_others_know() -> None:
    """Daemons would otherwise compute shares from different figures."""
    daemon = _Daemon()
    daemon.heard = {"a": 4, "b": 2}
    daemon.demand = {"s": 9}
    assert daemon.demands.of_service("s") == {"own": 3, "a": 4, "b": 2}
    reported = daemon.report_after(3_000)
    daemon.demand = {}
    daemon.clock.advance(100)
    assert daemon.demands.of_service("s") == {"a": 4, "b": 2} | {
        "own": reported["s"]
    }


def test_demands_are_equal_while_no_heartbeat_has_been_heard() -> None:
    daemon = _Daemon()
    assert daemon.demands.of_service("s") == {"own": 1, "a": 1, "b": 1}

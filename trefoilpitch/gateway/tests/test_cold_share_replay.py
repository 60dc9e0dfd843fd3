"""Replays of the traffic to a cold upstream from a fleet of daemons.

The daemons use the actual demands, shares and counts; requests and heartbeats
are simulated in steps of 50 ms.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.gateway._cold_share import (
    ColdRequestCounter,
    ColdShares,
)
from trefoilpitch.gateway._demands import FleetDemands
from trefoilpitch.gateway._peers import heartbeat_interval_ms, peer_timeout_ms

_RATE_PER_S = 12
# What the platform's rules allow in any second, over all daemons.
_BOUND = 23
_STEP_MS = 50
_LOST_DATAGRAMS = 0.03
_COLD_MS = 12_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Load:
    name: str
    daemons: int
    # Requests that a daemon has in flight and waiting, by its number and the
    # time.
    demand: Callable[[int, int], int]
    # When the fleet is divided into halves, and until when.
    divided_ms: tuple[int, int] = (0, 0)
    # Least share of the rate that is used.
    least_used: float = 0.6


def _even(number: int, now_ms: int) -> int:
    return 3


def _few_busy(number: int, now_ms: int) -> int:
    return 20 if number % 8 == 0 else 0


def _moving(number: int, now_ms: int) -> int:
    """Callers move to other daemons every three seconds."""
    return 20 if number % 4 == now_ms // 3_000 % 4 else 0


def _wave(number: int, now_ms: int) -> int:
    return 1 + (now_ms // 500 + number) % 6


class _ColdFleet:
    """Daemons that send as many requests to a cold upstream as they may."""

    def __init__(self, load: _Load, seed: int) -> None:
        self._load = load
        self._rng = random.Random(seed)
        self._clock = ManualClock(10_000)
        self._names = [f"vm-{number}" for number in range(load.daemons)]
        # By receiver: the demand of each sender and when it was heard.
        self._heard: list[dict[str, tuple[int, int]]] = [
            {} for _ in self._names
        ]
        self._demands = [self._fleet_demands(n) for n in range(load.daemons)]
        self._shares = [ColdShares(name) for name in self._names]
        self._counters = [ColdRequestCounter() for _ in self._names]
        self._beat_ms = [
            self._rng.randrange(heartbeat_interval_ms(load.daemons))
            for _ in self._names
        ]
        # Monotonic times of the requests, and their daemons.
        self.sent: list[tuple[int, int]] = []

    def play(self) -> None:
        """Heartbeats for five seconds, then the upstream is cold."""
        for elapsed_ms in range(-5_000, _COLD_MS, _STEP_MS):
            self._send_heartbeats(elapsed_ms)
            if elapsed_ms >= 0:
                for number in range(self._load.daemons):
                    self._send_requests(number, elapsed_ms)
            self._clock.advance(_STEP_MS)

    def most_in_a_second(self) -> int:
        times = sorted(at for at, _ in self.sent)
        first = most = 0
        for last, at in enumerate(times):
            while times[first] <= at - 1_000:
                first += 1
            most = max(most, last - first + 1)
        return most

    def _fleet_demands(self, number: int) -> FleetDemands:
        def own_demand() -> dict[str, int]:
            elapsed_ms = self._clock.now_ms() - 15_000
            return {"s": self._load.demand(number, max(0, elapsed_ms))}

        return FleetDemands(
            self._clock,
            own_name=self._names[number],
            members=lambda: self._names,
            peers_demand=lambda service: self._heard_by(number),
            own_demand=own_demand,
        )

    def _heard_by(self, number: int) -> dict[str, int]:
        limit_ms = self._clock.now_ms() - peer_timeout_ms(self._load.daemons)
        return {
            name: demand
            for name, (demand, at) in self._heard[number].items()
            if at >= limit_ms
        }

    def _send_heartbeats(self, elapsed_ms: int) -> None:
        now_ms = self._clock.now_ms()
        start_ms, end_ms = self._load.divided_ms
        divided = start_ms <= elapsed_ms < end_ms
        for number, name in enumerate(self._names):
            if elapsed_ms + 5_000 < self._beat_ms[number]:
                continue
            self._beat_ms[number] += heartbeat_interval_ms(self._load.daemons)
            demand = self._demands[number].report().get("s", 0)
            for other in range(self._load.daemons):
                cut = divided and number % 2 != other % 2
                lost = self._rng.random() < _LOST_DATAGRAMS
                if other != number and not cut and not lost:
                    self._heard[other][name] = demand, now_ms

    def _send_requests(self, number: int, elapsed_ms: int) -> None:
        now_ms = self._clock.now_ms()
        if not self._load.demand(number, elapsed_ms):
            return
        settled = self._shares[number].settled(
            "u",
            _RATE_PER_S,
            self._names,
            self._demands[number].of_service("s"),
            now_ms,
        )
        while self._counters[number].used("u", now_ms) < settled:
            self._counters[number].record("u", now_ms)
            self.sent.append((now_ms, number))


_LOADS = [
    load
    for daemons in (9, 83)
    for load in (
        _Load(name=f"even-{daemons}", daemons=daemons, demand=_even),
        _Load(name=f"few-busy-{daemons}", daemons=daemons, demand=_few_busy),
        _Load(
            name=f"moving-{daemons}",
            daemons=daemons,
            demand=_moving,
            least_used=0.2,
        ),
        _Load(
            name=f"wave-{daemons}",
            daemons=daemons,
            demand=_wave,
            least_used=0.2,
        ),
        _Load(
            name=f"divided-{daemons}",
            daemons=daemons,
            demand=_few_busy,
            divided_ms=(3_000, 9_000),
            least_used=0.2,
        ),
    )
]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", _LOADS, ids=lambda load: load.name)
def test_no_second_exceeds_the_bound(load: _Load, seed: int) -> None:
    """A share that two daemons use in one second counts twice."""
    fleet = _ColdFleet(load, seed)
    fleet.play()
    assert fleet.most_in_a_second() <= _BOUND
    used = len(fleet.sent) / (_RATE_PER_S * _COLD_MS / 1_000)
    assert used >= load.least_used

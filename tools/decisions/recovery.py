"""Service while a failure domain goes out of service and returns cold."""

from __future__ import annotations

import dataclasses
import random
import statistics

from tools.decisions.engines import Engine, EventQueue
from tools.decisions.load_scenario import VERSION, example_bundle
from trefoilpitch.configuration import Configuration
from trefoilpitch.routing import (
    RoutingTable,
    UpstreamState,
    choose_upstream,
    routing_table,
)

_LOAD = 0.6
_RUN_MS = 500.0
_OUT_OF_SERVICE_AT_MS = 20_000
_BACK_IN_SERVICE_AT_MS = 50_000
_END_MS = 140_000
_WINDOW_MS = 2_000
_FULL_SERVICE_SHARE = 0.8
_FAILURE_DOMAIN = "c"
_TIMEOUT_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecoveryFigures:
    """Effects of a failure domain's return under one slow-start policy."""

    # The slow-start policy: "naive" for none, or "allowance".
    ramp: str
    # Requests that exceeded the limit of a cold upstream.
    over_bound: int
    # Requests that failed or timed out.
    failed: int
    # Requests for which no upstream had capacity.
    refused: int
    # Requests sent to the failure domain while it was out of service.
    while_out: int
    # Time from the return until the domain serves its share of requests, in
    # milliseconds; -1 if it never does.
    full_service_ms: int
    # Median latency after the return, in milliseconds.
    p50_ms: int


class _Ramp:
    """One node's estimate of each cold upstream's concurrency limit."""

    def __init__(self, run: _Run) -> None:
        self._run = run
        self._limits: dict[str, int] = {}
        self._successes: dict[str, int] = {}

    def start_cold(self, name: str) -> None:
        self._limits[name] = self._run.engines[name].upstream.cold_capacity
        self._successes[name] = 0

    def allowance(self, name: str) -> int | None:
        """Returns how many requests may be started; None if it is warm."""
        if name not in self._limits:
            return None
        return max(self._limits[name] - self._run.in_flight[name], 0)

    def finished(self, name: str, succeeded: bool) -> None:
        if name not in self._limits:
            return
        if not succeeded:
            self.start_cold(name)
            return
        self._successes[name] += 1
        if self._successes[name] >= 4 * self._limits[name]:
            self._successes[name] = 0
            self._limits[name] *= 2
        if self._limits[name] >= self._run.engines[name].upstream.capacity:
            del self._limits[name]


class _Run:
    """Simulation of one node that routes to six engines."""

    def __init__(self, seed: int, ramp: str) -> None:
        self.events = EventQueue()
        bundle = example_bundle()
        upstreams = bundle.pools[0].upstreams
        self.engines = {one.name: Engine(one, self.events) for one in upstreams}
        self.in_flight = dict.fromkeys(self.engines, 0)
        self._base = Configuration(revision=1, bundle=bundle)
        self._table: RoutingTable = routing_table(self._base)
        self._rng = random.Random(f"{seed}/{ramp}")
        self._ramp = _Ramp(self) if ramp == "allowance" else None
        self._domain_engines = {
            one.name
            for one in upstreams
            if one.failure_domain == _FAILURE_DOMAIN
        }
        capacity = sum(one.capacity for one in upstreams)
        self._mean_interval_ms = _RUN_MS / (capacity * _LOAD)
        self._latencies: list[float] = []
        self._served: list[tuple[float, bool]] = []
        self._failed = self._refused = self._while_out = 0
        self._is_out = False

    def run(self, ramp: str) -> RecoveryFigures:
        self.events.at(_OUT_OF_SERVICE_AT_MS, self._take_out_of_service)
        self.events.at(_BACK_IN_SERVICE_AT_MS, self._return_to_service)
        self._generate_arrival()
        self.events.run_until(_END_MS)
        return RecoveryFigures(
            ramp=ramp,
            over_bound=sum(one.overruns for one in self.engines.values()),
            failed=self._failed,
            refused=self._refused,
            while_out=self._while_out,
            full_service_ms=self._full_service_ms(),
            p50_ms=round(statistics.median(self._latencies)),
        )

    def _take_out_of_service(self) -> None:
        self._is_out = True
        self._table = routing_table(
            dataclasses.replace(
                self._base,
                revision=2,
                failure_domains_out=frozenset({_FAILURE_DOMAIN}),
            )
        )

    def _return_to_service(self) -> None:
        self._is_out = False
        self._table = routing_table(self._base)
        for name in self._domain_engines:
            self.engines[name].start_cold()
            if self._ramp is not None:
                self._ramp.start_cold(name)

    def _generate_arrival(self) -> None:
        self._dispatch()
        self.events.after(
            self._rng.expovariate(1.0 / self._mean_interval_ms),
            self._generate_arrival,
        )

    def _dispatch(self) -> None:
        chosen = choose_upstream(
            self._table, VERSION, self._states(), self._rng
        ).value_or(None)
        if chosen is None:
            self._refused += 1
            return
        name = chosen.name
        self._while_out += self._is_out and name in self._domain_engines
        self.in_flight[name] += 1
        started_ms = self.events.now_ms

        def done(succeeded: bool) -> None:
            self.in_flight[name] -= 1
            if self._ramp is not None:
                self._ramp.finished(name, succeeded)
            self._record_result(name, started_ms, succeeded)

        run_ms = self._rng.gammavariate(2.0, _RUN_MS / 2.0)
        self.engines[name].submit(run_ms, done)

    def _record_result(
        self, name: str, started_ms: float, succeeded: bool
    ) -> None:
        latency_ms = self.events.now_ms - started_ms
        if not succeeded or latency_ms > _TIMEOUT_MS:
            self._failed += 1
            return
        if self.events.now_ms >= _BACK_IN_SERVICE_AT_MS:
            self._latencies.append(latency_ms)
            self._served.append(
                (self.events.now_ms, name in self._domain_engines)
            )

    def _states(self) -> dict[str, UpstreamState]:
        states = {}
        for name, in_flight in self.in_flight.items():
            allowance = self._ramp.allowance(name) if self._ramp else None
            states[name] = UpstreamState(
                name=name,
                in_flight=in_flight,
                cold=allowance is not None,
                allowance=allowance or 0,
                concurrency_limit=self.engines[name].upstream.capacity * 2,
            )
        return states

    def _full_service_ms(self) -> int:
        fair_share = len(self._domain_engines) / len(self.engines)
        for start_ms in range(_BACK_IN_SERVICE_AT_MS, _END_MS, _WINDOW_MS):
            end_ms = start_ms + _WINDOW_MS
            window = [
                is_returning
                for at_ms, is_returning in self._served
                if start_ms <= at_ms < end_ms
            ]
            if (
                window
                and sum(window) / len(window)
                >= _FULL_SERVICE_SHARE * fair_share
            ):
                return end_ms - _BACK_IN_SERVICE_AT_MS
        return -1


def measure(seed: int) -> list[RecoveryFigures]:
    """Simulates the outage and return of a failure domain under each ramp."""
    return [_Run(seed, ramp).run(ramp) for ramp in ("naive", "allowance")]

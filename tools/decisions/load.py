"""Latency by priority under load, compared to round robin and least loaded."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random
from collections.abc import Callable

from tools.decisions.engines import Engine, EventQueue
from tools.decisions.load_node import Node
from tools.decisions.load_scenario import (
    CAPACITY,
    DOMAINS,
    ENGINES,
    MEAN_RUN_MS,
    REQUEST_KINDS,
    Job,
    Outcomes,
    RequestKind,
    example_bundle,
)
from trefoilpitch.configuration import Configuration
from trefoilpitch.routing import LoadReport

LOADS = (0.5, 0.9, 1.1, 2.0)
_NODES = 3
_WORKSPACES = 10
_WARM_UP_MS = 20_000
_MEASURED_MS = 120_000
# Unmeasured arrivals that keep up the load behind the measured ones, and the
# time to finish all requests.
_TAIL_MS = 30_000
_DRAIN_MS = 130_000
_ARRIVALS_END_MS = _WARM_UP_MS + _MEASURED_MS + _TAIL_MS
_REPORT_INTERVAL_MS = 250
_REPORT_LAG_MS = 500
_RETRY_ONE_IN = 3

Dispatch = Callable[["LoadRun", Job], None]


class LoadRun:
    """Simulation of one policy under one load."""

    def __init__(self, seed: int, load: float, policy: str) -> None:
        self.events = EventQueue()
        self.rng = random.Random(f"{seed}/{load}/{policy}")
        self.configuration = Configuration(revision=1, bundle=example_bundle())
        upstreams = example_bundle().pools[0].upstreams
        self.engines = {
            upstream.name: Engine(upstream, self.events)
            for upstream in upstreams
        }
        self.outcomes = Outcomes(
            latencies=collections.defaultdict(list),
            offered=collections.Counter(),
            in_time=collections.Counter(),
            refused=collections.Counter(),
            by_workspace=collections.defaultdict(lambda: [0, 0]),
            retries=[0, 0],
        )
        self._numbers = itertools.count()
        self._arrivals = random.Random(f"{seed}/{load}/arrivals")
        rate = load * ENGINES * CAPACITY / MEAN_RUN_MS
        self._mean_interval_ms = 1.0 / rate
        self._nodes = [
            Node(self, f"node-{index}", domain, CAPACITY // _NODES)
            for index, domain in zip(
                range(_NODES), itertools.cycle(DOMAINS), strict=False
            )
        ]
        self._dispatch = _POLICIES[policy]
        self._reported_loads: dict[str, int] = dict.fromkeys(self.engines, 0)

    @property
    def nodes(self) -> list[Node]:
        """The entry VMs."""
        return self._nodes

    @property
    def reported_loads(self) -> dict[str, int]:
        """Load of each engine according to its last report."""
        return self._reported_loads

    def next_number(self) -> int:
        """Returns a number that is unique in this run."""
        return next(self._numbers)

    def run(self) -> Outcomes:
        """Runs the simulation to its end."""
        self._send_reports()
        self._generate_arrival()
        self.events.run_until(_ARRIVALS_END_MS + _DRAIN_MS)
        return self.outcomes

    def admit(self, job: Job) -> None:
        """Records an admitted job."""
        if job.is_retry:
            self.outcomes.retries[1] += 1

    def refuse(self, job: Job, retry_after_ms: int, node: Node) -> None:
        """Records a refusal; some callers retry after the requested delay."""
        if job.is_retry or not self._is_measured(job):
            return
        self.outcomes.refused[job.kind.priority] += 1
        if self.rng.randrange(_RETRY_ONE_IN) == 0:
            self.events.after(
                retry_after_ms, lambda: self._schedule_retry(job, node)
            )

    def finish(self, job: Job, succeeded: bool) -> None:
        """Records the end of a job."""
        if job.is_retry or not succeeded or not self._is_measured(job):
            return
        latency_ms = self.events.now_ms - job.arrival_ms
        priority = job.kind.priority
        self.outcomes.latencies[priority].append(latency_ms)
        if latency_ms <= job.kind.deadline_ms:
            self.outcomes.in_time[priority] += 1
            self.outcomes.by_workspace[job.workspace][1] += 1

    def _schedule_retry(self, job: Job, node: Node) -> None:
        self.outcomes.retries[0] += 1
        now_ms = self.events.now_ms
        node.offer(dataclasses.replace(job, arrival_ms=now_ms, is_retry=True))

    def _is_measured(self, job: Job) -> bool:
        return 0.0 <= job.arrival_ms - _WARM_UP_MS < _MEASURED_MS

    def _generate_arrival(self) -> None:
        if self.events.now_ms >= _ARRIVALS_END_MS:
            return
        rng = self._arrivals
        kind = rng.choices(REQUEST_KINDS, [one.share for one in REQUEST_KINDS])[
            0
        ]
        weights = [1.0 / (rank + 1) for rank in range(_WORKSPACES)]
        number = rng.choices(range(_WORKSPACES), weights)[0]
        job = Job(
            kind=kind,
            workspace=f"workspace-{number}",
            arrival_ms=self.events.now_ms,
            run_ms=rng.gammavariate(2.0, kind.run_ms / 2.0),
        )
        if self._is_measured(job):
            self.outcomes.offered[kind.priority] += 1
            self.outcomes.by_workspace[job.workspace][0] += 1
        self._dispatch(self, job)
        interval_ms = rng.expovariate(1.0 / self._mean_interval_ms)
        self.events.after(interval_ms, self._generate_arrival)

    def _send_reports(self) -> None:
        created_ms = self.events.now_ms
        for name, engine in self.engines.items():
            report = engine.report(0.0)
            load = engine.load

            def deliver(
                name: str = name, report: LoadReport = report, load: int = load
            ) -> None:
                self._reported_loads[name] = load
                for node in self._nodes:
                    node.report(name, report, created_ms)

            self.events.after(_REPORT_LAG_MS, deliver)
        self.events.after(_REPORT_INTERVAL_MS, self._send_reports)


def _trefoilpitch(run: LoadRun, job: Job) -> None:
    run.rng.choice(run.nodes).offer(job)


def _round_robin(run: LoadRun, job: Job) -> None:
    names = list(run.engines)
    _submit(run, job, names[run.next_number() % len(names)])


def _least_loaded(run: LoadRun, job: Job) -> None:
    loads = run.reported_loads
    lowest = min(loads.values())
    names = [name for name, load in loads.items() if load == lowest]
    _submit(run, job, run.rng.choice(names))


def _submit(run: LoadRun, job: Job, name: str) -> None:
    run.engines[name].submit(job.run_ms, lambda ok: run.finish(job, ok))


_POLICIES: dict[str, Dispatch] = {
    "trefoilpitch": _trefoilpitch,
    "round robin": _round_robin,
    "least-loaded": _least_loaded,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadFigures:
    """Latency and success of one priority under one policy and load."""

    # Offered work divided by the engines' capacity.
    load: float
    policy: str
    priority: str
    # Percentiles of the latency of successful requests, in milliseconds.
    p50_ms: int
    p95_ms: int
    p99_ms: int
    # Share of offered requests that met their deadline, from 0 to 1.
    in_time: float
    # Share of offered requests that were refused, from 0 to 1.
    refused: float
    # Lowest share of any workspace that met its deadline, over all priorities.
    worst_workspace: float
    # Share of retries after the requested delay that were admitted.
    again_admitted: float


def measure(seed: int) -> list[LoadFigures]:
    """Simulates every policy under every load."""
    figures = []
    for load in LOADS:
        for policy in _POLICIES:
            outcomes = LoadRun(seed, load, policy).run()
            for kind in REQUEST_KINDS:
                figures.append(_figures(load, policy, kind, outcomes))
    return figures


def _figures(
    load: float, policy: str, kind: RequestKind, outcomes: Outcomes
) -> LoadFigures:
    latencies = sorted(outcomes.latencies[kind.priority]) or [0.0]
    offered = max(outcomes.offered[kind.priority], 1)
    shares = [
        answered / offers
        for offers, answered in outcomes.by_workspace.values()
        if offers
    ]
    retried, admitted = outcomes.retries
    return LoadFigures(
        load=load,
        policy=policy,
        priority=kind.priority.value,
        p50_ms=_percentile(latencies, 0.5),
        p95_ms=_percentile(latencies, 0.95),
        p99_ms=_percentile(latencies, 0.99),
        in_time=round(outcomes.in_time[kind.priority] / offered, 3),
        refused=round(outcomes.refused[kind.priority] / offered, 3),
        worst_workspace=round(min(shares), 3),
        again_admitted=round(admitted / retried, 3) if retried else 1.0,
    )


def _percentile(ordered: list[float], share: float) -> int:
    return round(ordered[min(int(share * len(ordered)), len(ordered) - 1)])

"""Latency by priority under load, against round robin and least-loaded."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random
from collections.abc import Callable

from tools.decisions.engines import Engine, EventQueue
from tools.decisions.load_node import Node
from tools.decisions.load_world import (
    CAPACITY,
    DOMAINS,
    ENGINES,
    KINDS,
    MEAN_RUN_MS,
    Job,
    Kind,
    Outcomes,
    example_bundle,
)
from trefoilpitch.configuration import Configuration
from trefoilpitch.routing import LoadReport

LOADS = (0.5, 0.9, 1.1, 2.0)
_NODES = 3
_WORKSPACES = 10
_WARM_UP_MS = 20_000
_DURATION_MS = 120_000
# Arrivals after the measured ones, and the time to finish them all.
_RUN_OUT_MS = 30_000
_DRAIN_MS = 130_000
_ARRIVALS_END_MS = _WARM_UP_MS + _DURATION_MS + _RUN_OUT_MS
_REPORT_EVERY_MS = 250
_REPORT_LAG_MS = 500
_RETRY_SAMPLES = 3

Dispatch = Callable[["Run", Job], None]


class Run:
    """One run of a policy under one load."""

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
            again=[0, 0],
        )
        self._numbers = itertools.count()
        self._arrivals = random.Random(f"{seed}/{load}/arrivals")
        rate = load * ENGINES * CAPACITY / MEAN_RUN_MS
        self._gap_ms = 1.0 / rate
        self._nodes = [
            Node(self, f"node-{index}", domain, CAPACITY // _NODES)
            for index, domain in zip(
                range(_NODES), itertools.cycle(DOMAINS), strict=False
            )
        ]
        self._dispatch = _POLICIES[policy]
        self._stale: dict[str, int] = dict.fromkeys(self.engines, 0)

    @property
    def nodes(self) -> list[Node]:
        """The entry VMs."""
        return self._nodes

    @property
    def stale_loads(self) -> dict[str, int]:
        """Loads as the last report told them."""
        return self._stale

    def next_number(self) -> int:
        """Returns a number that was not returned before."""
        return next(self._numbers)

    def run(self) -> Outcomes:
        """Runs to the end."""
        self._report()
        self._arrive()
        self.events.run_until(_ARRIVALS_END_MS + _DRAIN_MS)
        return self.outcomes

    def admit(self, job: Job) -> None:
        """Notes that a job was let in."""
        if job.again:
            self.outcomes.again[1] += 1

    def refuse(self, job: Job, retry_after_ms: int, node: Node) -> None:
        """Notes a refusal; some callers come again as they were asked to."""
        if job.again or not self._counts(job):
            return
        self.outcomes.refused[job.kind.priority] += 1
        if self.rng.randrange(_RETRY_SAMPLES) == 0:
            self.events.after(retry_after_ms, lambda: self._again(job, node))

    def finish(self, job: Job, is_whole: bool) -> None:
        """Notes an answer."""
        if job.again or not is_whole or not self._counts(job):
            return
        latency_ms = self.events.now_ms - job.arrival_ms
        priority = job.kind.priority
        self.outcomes.latencies[priority].append(latency_ms)
        if latency_ms <= job.kind.deadline_ms:
            self.outcomes.in_time[priority] += 1
            self.outcomes.by_workspace[job.workspace][1] += 1

    def _again(self, job: Job, node: Node) -> None:
        self.outcomes.again[0] += 1
        now_ms = self.events.now_ms
        node.offer(dataclasses.replace(job, arrival_ms=now_ms, again=True))

    def _counts(self, job: Job) -> bool:
        return 0.0 <= job.arrival_ms - _WARM_UP_MS < _DURATION_MS

    def _arrive(self) -> None:
        if self.events.now_ms >= _ARRIVALS_END_MS:
            return
        rng = self._arrivals
        kind = rng.choices(KINDS, [one.share for one in KINDS])[0]
        weights = [1.0 / (rank + 1) for rank in range(_WORKSPACES)]
        number = rng.choices(range(_WORKSPACES), weights)[0]
        job = Job(
            kind=kind,
            workspace=f"workspace-{number}",
            arrival_ms=self.events.now_ms,
            run_ms=rng.gammavariate(2.0, kind.run_ms / 2.0),
        )
        if self._counts(job):
            self.outcomes.offered[kind.priority] += 1
            self.outcomes.by_workspace[job.workspace][0] += 1
        self._dispatch(self, job)
        gap_ms = rng.expovariate(1.0 / self._gap_ms)
        self.events.after(gap_ms, self._arrive)

    def _report(self) -> None:
        taken_ms = self.events.now_ms
        for name, engine in self.engines.items():
            report = engine.report(0.0)
            load = engine.load

            def arrive(
                name: str = name, report: LoadReport = report, load: int = load
            ) -> None:
                self._stale[name] = load
                for node in self._nodes:
                    node.report(name, report, taken_ms)

            self.events.after(_REPORT_LAG_MS, arrive)
        self.events.after(_REPORT_EVERY_MS, self._report)


def _trefoilpitch(run: Run, job: Job) -> None:
    run.rng.choice(run.nodes).offer(job)


def _round_robin(run: Run, job: Job) -> None:
    names = list(run.engines)
    _submit(run, job, names[run.next_number() % len(names)])


def _least_loaded(run: Run, job: Job) -> None:
    loads = run.stale_loads
    lowest = min(loads.values())
    names = [name for name, load in loads.items() if load == lowest]
    _submit(run, job, run.rng.choice(names))


def _submit(run: Run, job: Job, name: str) -> None:
    run.engines[name].submit(job.run_ms, lambda ok: run.finish(job, ok))


_POLICIES: dict[str, Dispatch] = {
    "trefoilpitch": _trefoilpitch,
    "round robin": _round_robin,
    "least-loaded": _least_loaded,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadFigures:
    """Latency and success of one priority under one policy and load."""

    # Offered work over the engines' capacity.
    load: float
    # The policy.
    policy: str
    # The priority.
    priority: str
    # Percentiles of the latency of answers, in milliseconds.
    p50_ms: int
    p95_ms: int
    p99_ms: int
    # Share of offered requests that were answered in time, from 0 to 1.
    in_time: float
    # Share that was refused at once, from 0 to 1.
    refused: float
    # Lowest share in time of any workspace, all priorities together.
    worst_workspace: float
    # Share of refused callers admitted when they came again as told.
    again_admitted: float


def measure(seed: int) -> list[LoadFigures]:
    """Runs every policy under every load."""
    figures = []
    for load in LOADS:
        for policy in _POLICIES:
            outcomes = Run(seed, load, policy).run()
            for kind in KINDS:
                figures.append(_figures(load, policy, kind, outcomes))
    return figures


def _figures(
    load: float, policy: str, kind: Kind, outcomes: Outcomes
) -> LoadFigures:
    latencies = sorted(outcomes.latencies[kind.priority]) or [0.0]
    offered = max(outcomes.offered[kind.priority], 1)
    shares = [
        answered / offers
        for offers, answered in outcomes.by_workspace.values()
        if offers
    ]
    came, admitted = outcomes.again
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
        again_admitted=round(admitted / came, 3) if came else 1.0,
    )


def _percentile(ordered: list[float], share: float) -> int:
    return round(ordered[min(int(share * len(ordered)), len(ordered) - 1)])

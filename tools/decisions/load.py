"""Latency by priority under load, against round robin and least-loaded."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random
from collections.abc import Callable

from tools.decisions.engines import Engine, EventQueue
from trefoilpitch.bundle import (
    Bundle,
    Model,
    ModelVersion,
    Pool,
    Priority,
    Upstream,
    UpstreamKind,
    VersionRef,
)
from trefoilpitch.configuration import Configuration
from trefoilpitch.limits import (
    AdmissionQueue,
    ConcurrencyLimit,
    Queued,
    Refused,
    Ticket,
    concurrency_limit,
)
from trefoilpitch.routing import (
    LoadReport,
    UpstreamState,
    choose_upstream,
    routing_table,
)

VERSION = VersionRef("bench", "1")
LOADS = (0.5, 0.9, 1.1, 2.0)
_DOMAINS = ("a", "b", "c")
_ENGINES = 6
_CAPACITY = 8
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
_BASE_LATENCY_MS = 20.0
_RETRY_SAMPLES = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of request."""

    # How urgently it is served.
    priority: Priority
    # Share of the requests, from 0 to 1.
    share: float
    # Mean run time, in milliseconds.
    run_ms: float
    # Time that it may take in all, in milliseconds.
    deadline_ms: int


KINDS = (
    Kind(
        priority=Priority.INTERACTIVE,
        share=0.4,
        run_ms=400.0,
        deadline_ms=5_000,
    ),
    Kind(
        priority=Priority.STANDARD, share=0.4, run_ms=600.0, deadline_ms=20_000
    ),
    Kind(
        priority=Priority.BATCH, share=0.2, run_ms=1_500.0, deadline_ms=120_000
    ),
)
_MEAN_RUN_MS = sum(kind.share * kind.run_ms for kind in KINDS)


@dataclasses.dataclass(slots=True)
class Job:
    """One request on its way."""

    # What it is.
    kind: Kind
    # The workspace that asks.
    workspace: str
    # When it arrived, in virtual milliseconds.
    arrival_ms: float
    # How long it runs.
    run_ms: float
    # Whether it was refused before and came again.
    again: bool = False


@dataclasses.dataclass(slots=True)
class Outcomes:
    """What became of the jobs of one run."""

    # Latencies of whole answers by priority, in milliseconds.
    latencies: dict[Priority, list[float]]
    # Jobs offered by priority.
    offered: collections.Counter[Priority]
    # Jobs answered within their deadline by priority.
    in_time: collections.Counter[Priority]
    # Jobs refused by priority.
    refused: collections.Counter[Priority]
    # Jobs offered and answered in time by workspace.
    by_workspace: dict[str, list[int]]
    # Jobs that came again as asked, and those of them that were admitted.
    again: list[int]


def example_bundle(engines: int = _ENGINES, cold_capacity: int = 1) -> Bundle:
    """Returns a bundle with one pool that spans the failure domains."""
    return Bundle(
        name="measured",
        version=1,
        failure_domains=_DOMAINS,
        models=(
            Model(
                name=VERSION.model,
                versions=(
                    ModelVersion(
                        name=VERSION.version,
                        prompt_cost_nano=1,
                        output_cost_nano=1,
                    ),
                ),
                default_version=VERSION.version,
            ),
        ),
        pools=(
            Pool(
                name="engines",
                kind=UpstreamKind.ENGINE,
                serves=(str(VERSION),),
                upstreams=tuple(
                    Upstream(
                        name=f"engine-{index}",
                        address=f"127.0.0.1:{9000 + index}",
                        failure_domain=_DOMAINS[index % len(_DOMAINS)],
                        capacity=_CAPACITY,
                        cold_capacity=cold_capacity,
                    )
                    for index in range(engines)
                ),
            ),
        ),
    )


class Node:
    """An entry VM with its own queue and lagged view of the engines."""

    def __init__(self, run: Run, name: str, domain: str) -> None:
        self._run = run
        self._domain = domain
        self._table = routing_table(run.configuration, node=name)
        capacity = _CAPACITY // _NODES
        self._limits: dict[str, ConcurrencyLimit] = {
            engine: concurrency_limit(capacity) for engine in run.engines
        }
        self._in_flight = dict.fromkeys(run.engines, 0)
        self._at_report = dict.fromkeys(run.engines, 0)
        self._reports: dict[str, tuple[LoadReport, float]] = {}
        self._jobs: dict[str, Job] = {}
        self._queue = AdmissionQueue(self._concurrency())

    def report(self, name: str, report: LoadReport, taken_ms: float) -> None:
        """Takes in a load report."""
        self._reports[name] = (report, taken_ms)
        self._at_report[name] = self._in_flight[name]

    def offer(self, job: Job) -> None:
        """Takes a job in or refuses it."""
        now_ms = int(self._run.events.now_ms)
        ticket = Ticket(
            request_id=f"{self._run.next_number()}",
            workspace=job.workspace,
            weight=1,
            priority=job.kind.priority,
            deadline_ms=int(job.arrival_ms) + job.kind.deadline_ms,
            expected_run_ms=int(job.kind.run_ms),
        )
        self._expire(now_ms)
        outcome = self._queue.offer(ticket, now_ms)
        if isinstance(outcome, Refused):
            self._run.refuse(job, outcome.retry_after_ms, self)
            return
        self._run.admit(job)
        self._jobs[ticket.request_id] = job
        self._displace(outcome)
        self._pump()

    def _displace(self, outcome: Queued) -> None:
        if outcome.displaced is not None:
            victim = self._jobs.pop(outcome.displaced.ticket.request_id)
            self._run.refuse(victim, outcome.displaced.retry_after_ms, self)

    def _expire(self, now_ms: int) -> None:
        for refused in self._queue.expire(now_ms):
            job = self._jobs.pop(refused.ticket.request_id)
            self._run.refuse(job, refused.retry_after_ms, self)

    def _pump(self) -> None:
        while len(self._queue):
            now_ms = int(self._run.events.now_ms)
            self._expire(now_ms)
            chosen = choose_upstream(
                self._table,
                VERSION,
                self._states(),
                self._run.rng,
                local_domain=self._domain,
            )
            upstream = chosen.value_or(None)
            if upstream is None:
                return
            ticket = self._queue.take(now_ms)
            if ticket is None:
                return
            self._start(upstream.name, self._jobs.pop(ticket.request_id))

    def _start(self, name: str, job: Job) -> None:
        self._in_flight[name] += 1
        in_flight = self._in_flight[name]
        started_ms = self._run.events.now_ms

        def done(is_whole: bool) -> None:
            self._in_flight[name] -= 1
            waited_ms = self._run.events.now_ms - started_ms - job.run_ms
            limit = self._limits[name]
            self._limits[name] = limit.finished(
                _BASE_LATENCY_MS + max(waited_ms, 0.0), in_flight
            )
            now_ms = int(self._run.events.now_ms)
            for refused in self._queue.set_concurrency(
                self._concurrency(), now_ms
            ):
                victim = self._jobs.pop(refused.ticket.request_id)
                self._run.refuse(victim, refused.retry_after_ms, self)
            self._run.finish(job, is_whole)
            self._pump()

        self._run.engines[name].submit(job.run_ms, done)

    def _states(self) -> dict[str, UpstreamState]:
        now_ms = self._run.events.now_ms
        states = {}
        for name, in_flight in self._in_flight.items():
            report, taken_ms = self._reports.get(name, (None, 0.0))
            if report is not None:
                age_ms = int(now_ms - taken_ms)
                report = dataclasses.replace(report, age_ms=age_ms)
            states[name] = UpstreamState(
                name=name,
                in_flight=in_flight,
                in_flight_change=in_flight - self._at_report[name],
                report=report,
                concurrency_limit=self._limits[name].requests,
            )
        return states

    def _concurrency(self) -> int:
        return sum(limit.requests for limit in self._limits.values())


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
        rate = load * _ENGINES * _CAPACITY / _MEAN_RUN_MS
        self._gap_ms = 1.0 / rate
        self._nodes = [
            Node(self, f"node-{index}", domain)
            for index, domain in zip(
                range(_NODES), itertools.cycle(_DOMAINS), strict=False
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

"""An entry VM of the load measurement, using the project's real decisions."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping
from typing import Protocol

from tools.decisions.engines import Engine, EventQueue
from tools.decisions.load_scenario import VERSION, Job
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

_BASE_LATENCY_MS = 20.0


class LoadRun(Protocol):
    """The simulation that a node is part of."""

    @property
    def events(self) -> EventQueue:
        """The event queue with the virtual time."""

    @property
    def rng(self) -> random.Random:
        """Source of random numbers."""

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""

    @property
    def engines(self) -> Mapping[str, Engine]:
        """The engines by name."""

    def next_number(self) -> int:
        """Returns a number that is unique in this run."""

    def admit(self, job: Job) -> None:
        """Records an admitted job."""

    def refuse(self, job: Job, retry_after_ms: int, node: Node) -> None:
        """Records a refusal."""

    def finish(self, job: Job, succeeded: bool) -> None:
        """Records the end of a job."""


class Node:
    """An entry VM with its own queue and a delayed view of the engines.

    Args:
        run: The simulation that it is part of.
        name: Its name in the routing table.
        domain: Its failure domain.
        capacity: Its initial concurrency limit for each engine.
    """

    def __init__(
        self, run: LoadRun, name: str, domain: str, capacity: int
    ) -> None:
        self._run = run
        self._domain = domain
        self._table = routing_table(run.configuration, node=name)
        self._limits: dict[str, ConcurrencyLimit] = {
            engine: concurrency_limit(capacity) for engine in run.engines
        }
        self._in_flight = dict.fromkeys(run.engines, 0)
        self._in_flight_at_report = dict.fromkeys(run.engines, 0)
        self._reports: dict[str, tuple[LoadReport, float]] = {}
        self._jobs: dict[str, Job] = {}
        self._queue = AdmissionQueue(self._concurrency())

    def report(self, name: str, report: LoadReport, created_ms: float) -> None:
        """Receives an engine's load report, created at a virtual time."""
        self._reports[name] = (report, created_ms)
        self._in_flight_at_report[name] = self._in_flight[name]

    def offer(self, job: Job) -> None:
        """Queues a job or refuses it."""
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
        self._dispatch_queued()

    def _displace(self, outcome: Queued) -> None:
        if outcome.displaced is not None:
            victim = self._jobs.pop(outcome.displaced.ticket.request_id)
            self._run.refuse(victim, outcome.displaced.retry_after_ms, self)

    def _expire(self, now_ms: int) -> None:
        for refused in self._queue.expire(now_ms):
            job = self._jobs.pop(refused.ticket.request_id)
            self._run.refuse(job, refused.retry_after_ms, self)

    def _dispatch_queued(self) -> None:
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
            self._dispatch(upstream.name, self._jobs.pop(ticket.request_id))

    def _dispatch(self, name: str, job: Job) -> None:
        self._in_flight[name] += 1
        in_flight = self._in_flight[name]
        started_ms = self._run.events.now_ms

        def done(succeeded: bool) -> None:
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
            self._run.finish(job, succeeded)
            self._dispatch_queued()

        self._run.engines[name].submit(job.run_ms, done)

    def _states(self) -> dict[str, UpstreamState]:
        now_ms = self._run.events.now_ms
        states = {}
        for name, in_flight in self._in_flight.items():
            report, created_ms = self._reports.get(name, (None, 0.0))
            if report is not None:
                age_ms = int(now_ms - created_ms)
                report = dataclasses.replace(report, age_ms=age_ms)
            states[name] = UpstreamState(
                name=name,
                in_flight=in_flight,
                in_flight_change=in_flight - self._in_flight_at_report[name],
                report=report,
                concurrency_limit=self._limits[name].requests,
            )
        return states

    def _concurrency(self) -> int:
        return sum(limit.requests for limit in self._limits.values())

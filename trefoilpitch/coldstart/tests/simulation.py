"""Simulates daemons, one upstream and a network with faults.

The engine checks the concurrency limit of the cold upstream.
"""

from __future__ import annotations

import dataclasses
import functools
import random
from collections.abc import Callable
from typing import Any

from trefoilpitch.bundle import Upstream
from trefoilpitch.clock import ManualClock
from trefoilpitch.coldstart import (
    PAYLOAD_KINDS,
    Admission,
    AdmissionKind,
    ColdStartHost,
    ColdStartSettings,
    DemandChanged,
    FleetObserved,
    TimePassed,
    UpstreamReported,
    UpstreamsChanged,
    WorkEnded,
    WorkOutcome,
)
from trefoilpitch.membership import (
    Endpoints,
    Member,
    MembershipView,
    MemberState,
    Report,
)
from trefoilpitch.peering import (
    LinkFaults,
    MemoryNetwork,
    PeerIdentity,
    PeerKeys,
    create_payload_registry,
)

SETTINGS = ColdStartSettings(
    validity_ms=1_000,
    margin_ms=40,
    view_lag_ms=800,
    view_age_limit_ms=200,
    max_work_ms=4_000,
    report_age_limit_ms=400,
    report_lag_ms=200,
    retry_ms=60,
    holding_interval_ms=100,
)
UPSTREAM = Upstream(
    name="u",
    address="127.0.0.1:1",
    failure_domain="fd0",
    capacity=8,
    cold_capacity=2,
)
# The successes needed for each concurrency limit. The upstream is warm after
# ``WARM_SUCCESSES``.
RAMP_LIMITS = ((0, 2), (2, 4), (6, 8))
WARM_SUCCESSES = 14
STEP_MS = 20
TICK_MS = 60
REPORT_MS = 100
MIN_RESTART_MS = 640
VIEW_LAG_MS = SETTINGS.view_lag_ms - SETTINGS.view_age_limit_ms - TICK_MS
REGISTRY = create_payload_registry(PAYLOAD_KINDS)
KEYS = PeerKeys(current=b"key")


class OverloadError(AssertionError):
    """A cold upstream ran more work than its concurrency limit."""


@dataclasses.dataclass
class Work:
    # The process that sent it and is notified of its end.
    sender: Any
    admission: Admission
    end_ms: int
    # Whether its sender has stopped waiting.
    is_abandoned: bool = False


class Engine:
    """The upstream. Work continues even if no sender waits for it."""

    def __init__(self) -> None:
        self.number = 1
        self.up_ms = 0
        self.running: list[Work] = []
        self.successes = 0
        self.history: list[tuple[int, str, int]] = []
        self.peak = 0

    @property
    def incarnation(self) -> str:
        return f"e{self.number}"

    @property
    def is_warm(self) -> bool:
        return self.successes >= WARM_SUCCESSES

    def concurrency_limit(self) -> int:
        return max(n for needed, n in RAMP_LIMITS if self.successes >= needed)

    def start(self, work: Work, now_ms: int) -> bool:
        if now_ms < self.up_ms:
            return False
        self.running.append(work)
        self.peak = max(self.peak, len(self.running))
        if not self.is_warm and len(self.running) > self.concurrency_limit():
            raise OverloadError(
                f"{len(self.running)} running, limit {self.concurrency_limit()}"
            )
        return True

    def restart(self, now_ms: int, down_ms: int) -> list[Work]:
        lost, self.running = self.running, []
        self.number += 1
        self.up_ms = now_ms + down_ms
        self.successes = 0
        return lost


class Process:
    """One process incarnation of a daemon."""

    def __init__(
        self, simulation: Simulation, name: str, incarnation: str
    ) -> None:
        self.simulation = simulation
        self.name = name
        self.incarnation = incarnation
        self.started_ms = simulation.now_ms
        self.settled_ms = simulation.now_ms + VIEW_LAG_MS
        self.paused_until_ms = 0
        self.is_alive = True
        self.tick_offset_ms = STEP_MS * (simulation.started % 3)
        # Delay of changes of the fleet in this process's view; random if None.
        self.lag_ms: int | None = None
        self.waiting = 0
        # Whether waiting work is held back although there may be credits.
        self.pause_work = False
        self.backlog: list[Callable[[], object]] = []
        self.known_members: dict[str, Member] = {}
        self.view_due_ms = 0
        self.transport = simulation.network.attach(
            PeerIdentity(
                deployment="test",
                name=name,
                incarnation=incarnation,
                address=name,
            ),
            keys=KEYS,
            registry=REGISTRY,
            handler=lambda message: self.call_when_running(
                functools.partial(self.host.receive, message)
            ),
        )
        self.host = ColdStartHost(
            simulation.clock, self.transport, lambda upstream: None, SETTINGS
        )
        self.host.observe(UpstreamsChanged((UPSTREAM,)))

    @property
    def is_paused(self) -> bool:
        return self.simulation.now_ms < self.paused_until_ms

    def call_when_running(self, call: Callable[[], object]) -> None:
        if self.is_paused:
            self.backlog.append(call)
        elif self.is_alive:
            call()

    def tick(self) -> None:
        view = MembershipView(
            own_name=self.name,
            members=tuple(self.known_members.values()) or (self._own_member(),),
            as_of_ms=self.simulation.now_ms,
            last_contact_ms=None,
            is_settled=self.simulation.now_ms >= self.settled_ms,
            unmatched_seeds=self.simulation.size
            - max(len(self.known_members), 1),
        )
        self.host.observe(FleetObserved(view))
        self.host.handle(DemandChanged("u", self.waiting))
        self.host.handle(TimePassed())

    def work(self) -> None:
        while self.waiting and not self.pause_work:
            admission = self.host.admit("u")
            if admission.kind is AdmissionKind.WAIT:
                return
            self.waiting -= 1
            self.simulation.send_work(self, admission)

    def _own_member(self) -> Member:
        return create_member(self.name, self.incarnation, MemberState.ALIVE)


class Simulation:
    """Advances the time step by step; one seed decides all random choices.

    It assumes only that views lag by a bounded time, that work ends within its
    limit, and that a restart takes longer than reports are valid.
    """

    def __init__(self, size: int = 4, seed: int = 0) -> None:
        self.size = size
        self.random = random.Random(seed)
        self.clock = ManualClock(10_000)
        self.network = MemoryNetwork(self.clock, seed=seed)
        self.engine = Engine()
        self.processes: dict[str, Process] = {}
        self.noticed_paused: set[str] = set()
        self.leaving: set[str] = set()
        self.sides: dict[str, int] = {}
        self.report_loss = 0.0
        self.durations_ms: tuple[int, ...] = (40, 200, SETTINGS.max_work_ms)
        self.started = 0
        self.updates: list[tuple[int, Process, dict[str, Member]]] = []
        self.reports: list[tuple[int, Process, UpstreamReported]] = []
        for index in range(size):
            self.start(f"vm{index}")

    @property
    def now_ms(self) -> int:
        return self.clock.now_ms()

    def start(self, name: str) -> None:
        """Starts or replaces a VM's process; work that it sent continues."""
        self.crash(name, is_noticed=False)
        self.started += 1
        self.processes[name] = Process(self, name, f"i{self.started:04d}")
        self.fleet_changed()

    def crash(self, name: str, *, is_noticed: bool = True) -> None:
        process = self.processes.pop(name, None)
        if process is not None:
            process.is_alive = False
            process.transport.close()
        self.noticed_paused.discard(name)
        self.leaving.discard(name)
        if is_noticed:
            self.fleet_changed()

    def leave(self, name: str) -> None:
        """Begins a graceful shutdown; the process keeps running."""
        self.leaving.add(name)
        self.fleet_changed()

    def pause(self, name: str, for_ms: int, *, is_noticed: bool) -> None:
        self.processes[name].paused_until_ms = self.now_ms + for_ms
        if is_noticed:
            self.noticed_paused.add(name)
            self.fleet_changed()

    def partition(self, names: set[str]) -> None:
        self.sides = {name: int(name in names) for name in self.names()}
        self.network.partition(tuple(names))
        self.fleet_changed()

    def heal(self) -> None:
        self.sides = {}
        self.network.heal()
        self.fleet_changed()

    def set_faults(self, faults: LinkFaults) -> None:
        self.network.set_default_faults(faults)

    def restart_engine(self, down_ms: int) -> None:
        for work in self.engine.restart(self.now_ms, down_ms):
            self._end(work, WorkOutcome.FAILED)

    def abandon_work(self, name: str) -> None:
        """Makes a process stop waiting for its work, which continues."""
        process = self.processes[name]
        for work in self.engine.running:
            if work.sender is process and not work.is_abandoned:
                self._end(work, WorkOutcome.FAILED, may_run=True)
                work.is_abandoned = True

    def add_waiting(self, name: str, count: int) -> None:
        self.processes[name].waiting += count

    def run(self, for_ms: int) -> None:
        for _ in range(for_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            self._step()

    def names(self) -> list[str]:
        return [f"vm{index}" for index in range(self.size)]

    def fleet_changed(self) -> None:
        """Schedules an update of each process's view after its own lag."""
        for process in self.processes.values():
            lag_ms = process.lag_ms
            if lag_ms is None:
                lag_ms = self.random.randint(0, VIEW_LAG_MS)
            process.view_due_ms = max(process.view_due_ms, self.now_ms + lag_ms)
            known_members = {
                name: self._observed_member(process, name)
                for name in self.names()
            }
            self.updates.append((process.view_due_ms, process, known_members))

    def send_work(self, process: Process, admission: Admission) -> None:
        duration_ms = self.random.choice(self.durations_ms)
        work = Work(process, admission, self.now_ms + duration_ms)
        never_sent = self.random.random() < 0.05
        if never_sent or not self.engine.start(work, self.now_ms):
            self._end(work, WorkOutcome.NOT_RUN)

    def _observed_member(self, observer: Process, name: str) -> Member:
        process = self.processes.get(name)
        same_side = self.sides.get(observer.name, 0) == self.sides.get(name, 0)
        is_seen = name not in self.noticed_paused or name == observer.name
        if process is None or not same_side or not is_seen:
            return create_member(name, "", MemberState.GONE)
        state = MemberState.ALIVE
        if name in self.leaving:
            state = MemberState.LEAVING
        return create_member(name, process.incarnation, state)

    def _step(self) -> None:
        self._finish_work()
        self._publish_reports()
        self._resume_processes()
        self._deliver_updates()
        self._deliver_reports()
        self.network.deliver_due()
        for process in list(self.processes.values()):
            if process.is_paused:
                continue
            if (self.now_ms + process.tick_offset_ms) % TICK_MS < STEP_MS:
                process.tick()
            process.work()

    def _resume_processes(self) -> None:
        for process in self.processes.values():
            if process.paused_until_ms and not process.is_paused:
                process.paused_until_ms = 0
                if process.name in self.noticed_paused:
                    self.noticed_paused.discard(process.name)
                    self.fleet_changed()
                process.settled_ms = self.now_ms + VIEW_LAG_MS
                backlog, process.backlog = process.backlog, []
                for call in backlog:
                    call()

    def _deliver_updates(self) -> None:
        due = [u for u in self.updates if u[0] <= self.now_ms]
        self.updates = [u for u in self.updates if u[0] > self.now_ms]
        for _, process, known_members in due:
            process.call_when_running(
                functools.partial(
                    setattr, process, "known_members", known_members
                )
            )

    def _publish_reports(self) -> None:
        engine = self.engine
        if self.now_ms >= engine.up_ms:
            engine.history.append(
                (self.now_ms, engine.incarnation, len(engine.running))
            )
            del engine.history[:-40]
        if self.now_ms % REPORT_MS >= STEP_MS:
            return
        for process in self.processes.values():
            if process.is_paused or self.random.random() < self.report_loss:
                continue
            self._request_report(process)

    def _request_report(self, process: Process) -> None:
        if self.now_ms < self.engine.up_ms:
            return
        oldest_ms = self.now_ms - self.random.randint(0, SETTINGS.report_lag_ms)
        states = [s for s in self.engine.history if s[0] >= oldest_ms]
        _, incarnation, running = states[0]
        report = UpstreamReported(
            upstream="u",
            incarnation=incarnation,
            running=running,
            as_of_ms=self.now_ms,
        )
        due_ms = self.now_ms + self.random.randint(0, 60)
        self.reports.append((due_ms, process, report))

    def _deliver_reports(self) -> None:
        due = [r for r in self.reports if r[0] <= self.now_ms]
        self.reports = [r for r in self.reports if r[0] > self.now_ms]
        for _, process, report in due:
            process.call_when_running(
                functools.partial(process.host.observe, report)
            )

    def _finish_work(self) -> None:
        ended = [w for w in self.engine.running if w.end_ms <= self.now_ms]
        for work in ended:
            self.engine.running.remove(work)
            self.engine.successes += 1
            self._end(work, WorkOutcome.SUCCEEDED)

    def _end(
        self, work: Work, outcome: WorkOutcome, *, may_run: bool = False
    ) -> None:
        if work.is_abandoned:
            return
        event = WorkEnded(
            admission=work.admission, outcome=outcome, may_run=may_run
        )
        work.sender.call_when_running(
            functools.partial(work.sender.host.handle, event)
        )


def create_member(name: str, incarnation: str, state: MemberState) -> Member:
    """Builds a member with the name as its peer address."""
    return Member(
        name=name,
        incarnation=incarnation,
        failure_domain="fd0",
        endpoints=Endpoints(
            caller_address=name, admin_address=name, peer_address=name
        ),
        state=state,
        report=Report(),
        report_ms=0,
    )

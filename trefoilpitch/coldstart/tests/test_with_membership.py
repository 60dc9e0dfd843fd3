"""The concurrency limit holds with views of the real membership protocol."""

from __future__ import annotations

import random
from typing import TypeVar

import pytest

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
from trefoilpitch.coldstart.tests.simulation import UPSTREAM, Engine, Work
from trefoilpitch.membership import PAYLOAD_KINDS as MEMBERSHIP_KINDS
from trefoilpitch.membership import (
    Endpoints,
    LeaveRequested,
    MembershipHost,
    MembershipMessage,
    MessageReceived,
    Tick,
    create_membership,
)
from trefoilpitch.peering import (
    LinkFaults,
    MemoryNetwork,
    PeerIdentity,
    PeerKeys,
    ReceivedMessage,
    create_payload_registry,
)

T = TypeVar("T")
SIZE = 5
STEP_MS = 50
TICK_MS = 200
REPORT_MS = 500
SETTINGS = ColdStartSettings(max_work_ms=12_000)
DURATIONS_MS = (100, 1_000, SETTINGS.max_work_ms)
NAMES = [f"vm{index}" for index in range(SIZE)]
REGISTRY = create_payload_registry(MEMBERSHIP_KINDS, PAYLOAD_KINDS)
DOWN_MS = SETTINGS.report_age_limit_ms + SETTINGS.report_lag_ms + STEP_MS


class Daemon:
    """The membership and cold start protocols in one process."""

    def __init__(self, deployment: Deployment, name: str, number: int) -> None:
        self.deployment = deployment
        self.name = name
        self.paused_until_ms = 0
        self.waiting = 0
        self.backlog: list[ReceivedMessage] = []
        self.ended: list[WorkEnded] = []
        incarnation = f"{deployment.now_ms:012x}-{number:08x}"
        self.transport = deployment.network.attach(
            PeerIdentity(
                deployment="test",
                name=name,
                incarnation=incarnation,
                address=name,
            ),
            keys=PeerKeys(current=b"key"),
            registry=REGISTRY,
            handler=self.backlog.append,
        )
        state = create_membership(
            name=name,
            incarnation=incarnation,
            failure_domain="fd0",
            endpoints=Endpoints(
                caller_address=name, admin_address=name, peer_address=name
            ),
            now_ms=deployment.now_ms,
            seeds=tuple(NAMES),
        )
        self.membership = MembershipHost(
            deployment.clock, state, self.transport, lambda incarnation: None
        )
        self.cold_start = ColdStartHost(
            deployment.clock, self.transport, lambda upstream: None, SETTINGS
        )
        self.cold_start.observe(UpstreamsChanged((UPSTREAM,)))

    def step(self) -> None:
        now_ms = self.deployment.now_ms
        if now_ms < self.paused_until_ms:
            return
        for event in _drain(self.ended):
            self.cold_start.handle(event)
        for message in _drain(self.backlog):
            self._receive(message)
        if now_ms % TICK_MS == 0:
            if self.membership.handle(Tick()):
                view = self.membership.view
                self.cold_start.observe(FleetObserved(view))
            self.cold_start.handle(DemandChanged("u", self.waiting))
            self.cold_start.handle(TimePassed())
        if now_ms % REPORT_MS == 0:
            self.deployment.report_to(self)
        self._work()

    def _receive(self, message: ReceivedMessage) -> None:
        if self.cold_start.receive(message):
            return
        payload = message.payload
        assert isinstance(payload, MembershipMessage)
        self.membership.handle(
            MessageReceived(message.sender, message.address, payload)
        )

    def _work(self) -> None:
        while self.waiting:
            admission = self.cold_start.admit("u")
            if admission.kind is AdmissionKind.WAIT:
                return
            self.waiting -= 1
            self.deployment.send_work(self, admission)


class Deployment:
    """Daemons, an engine and a network; one seed decides all random choices."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.clock = ManualClock(10_000)
        self.network = MemoryNetwork(
            self.clock, seed=seed, faults=LinkFaults(max_delay_ms=STEP_MS)
        )
        self.engine = Engine()
        self.daemons: dict[str, Daemon] = {}
        self.started = 0
        self.admitted = 0
        for name in NAMES:
            self.start(name)

    @property
    def now_ms(self) -> int:
        return self.clock.now_ms()

    def start(self, name: str) -> None:
        self.crash(name)
        self.started += 1
        self.daemons[name] = Daemon(self, name, self.started)

    def crash(self, name: str) -> None:
        daemon = self.daemons.pop(name, None)
        if daemon is not None:
            daemon.transport.close()

    def run(self, for_ms: int) -> None:
        for _ in range(for_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            self._finish_work()
            self.network.deliver_due()
            for daemon in list(self.daemons.values()):
                daemon.step()

    def inject_fault(self) -> None:
        name = self.random.choice(NAMES)
        daemon = self.daemons.get(name)
        choice = self.random.randrange(10)
        if choice <= 1:
            self.start(name)
        elif choice == 2 and len(self.daemons) > 3:
            self.crash(name)
        elif choice <= 4 and daemon is not None:
            pause_ms = self.random.choice((1_000, 4_000, 15_000))
            daemon.paused_until_ms = self.now_ms + pause_ms
        elif choice == 5 and daemon is not None:
            daemon.membership.handle(LeaveRequested())
        elif choice == 6:
            self._restart_engine()
        elif choice == 7:
            self.network.partition(tuple(self.random.sample(NAMES, 2)))
        else:
            self.network.heal()

    def send_work(self, daemon: Daemon, admission: Admission) -> None:
        self.admitted += 1
        duration_ms = self.random.choice(DURATIONS_MS)
        work = Work(daemon, admission, self.now_ms + duration_ms)
        if not self.engine.start(work, self.now_ms):
            self._end(work, WorkOutcome.NOT_RUN)

    def report_to(self, daemon: Daemon) -> None:
        if self.now_ms < self.engine.up_ms:
            return
        daemon.cold_start.observe(
            UpstreamReported(
                upstream="u",
                incarnation=self.engine.incarnation,
                running=len(self.engine.running),
                as_of_ms=self.now_ms,
            )
        )

    def _restart_engine(self) -> None:
        for work in self.engine.restart(self.now_ms, DOWN_MS):
            self._end(work, WorkOutcome.FAILED)

    def _finish_work(self) -> None:
        for work in list(self.engine.running):
            if work.end_ms <= self.now_ms:
                self.engine.running.remove(work)
                self.engine.successes += 1
                self._end(work, WorkOutcome.SUCCEEDED)

    def _end(self, work: Work, outcome: WorkOutcome) -> None:
        event = WorkEnded(admission=work.admission, outcome=outcome)
        work.sender.ended.append(event)


def _drain(queue: list[T]) -> list[T]:
    taken = list(queue)
    queue.clear()
    return taken


@pytest.mark.parametrize("seed", range(6))
def test_concurrency_limit_holds_with_the_membership_protocol(
    seed: int,
) -> None:
    deployment = Deployment(seed)
    deployment.run(12_000)
    for _ in range(25):
        for daemon in deployment.daemons.values():
            daemon.waiting = max(daemon.waiting, 6)
        deployment.inject_fault()
        deployment.run(deployment.random.choice((200, 2_000, 8_000, 15_000)))
    assert deployment.admitted > 50

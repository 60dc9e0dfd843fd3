"""Simulation of daemons and one engine on the in-memory transport."""

from __future__ import annotations

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
    choose_gatekeeper,
    is_cold,
    ramp_limit,
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
    MemoryTransport,
    PeerIdentity,
    PeerKeys,
    ReceivedMessage,
    create_payload_registry,
)

STEP_MS = 10
TICK_INTERVAL_MS = 200
REPORT_INTERVAL_MS = 500
DEMAND_PER_DAEMON = 8
RESTART_MS = 6_000


class Bench:
    """Daemons that send work to one engine, on a manual clock.

    Args:
        size: Number of daemons.
        work_ms: Run time of each piece of work.
    """

    def __init__(self, size: int, work_ms: int) -> None:
        self._clock = ManualClock(1_000)
        self._network = MemoryNetwork(
            self._clock, faults=LinkFaults(min_delay_ms=1, max_delay_ms=50)
        )
        self._work_ms = work_ms
        self._upstream = Upstream(
            name="engine",
            address="10.0.0.1:9000",
            failure_domain="fd0",
            capacity=32,
            cold_capacity=2,
        )
        self._registry = create_payload_registry(PAYLOAD_KINDS)
        self._running: list[tuple[int, str, Admission]] = []
        self._alive_names = [f"vm{index}" for index in range(size)]
        self._leaving: set[str] = set()
        self.hosts: dict[str, ColdStartHost] = {}
        self.transports: dict[str, MemoryTransport] = {}
        self.incarnation = 1
        self.successes = 0
        self.engine_up_ms = 0
        self.started = 0
        self.overload = 0
        self.limit_total = 0
        self.used_total = 0
        for name in self._alive_names:
            self._start(name)

    @property
    def now_ms(self) -> int:
        """The time on the simulation's clock."""
        return self._clock.now_ms()

    @property
    def messages(self) -> int:
        """Number of peer messages sent so far."""
        return sum(
            transport.counters().messages_sent
            for transport in self.transports.values()
        )

    def is_warm_everywhere(self) -> bool:
        """Whether the engine is warm for every daemon."""
        return not any(
            is_cold(host.holder, self._upstream.name, self.now_ms)
            for host in self.hosts.values()
        )

    def restart_engine(self) -> None:
        """Restarts the engine as a new incarnation; its running work fails."""
        self.incarnation += 1
        self.successes = 0
        running, self._running = self._running, []
        self.engine_up_ms = self.now_ms + RESTART_MS
        for _, name, admission in running:
            self._end(name, admission, WorkOutcome.UNREACHABLE)

    def announce_gatekeeper_leave(self) -> None:
        """Marks the gatekeeper as leaving; it keeps running."""
        self._leaving.add(self._gatekeeper())

    def crash_gatekeeper(self) -> None:
        """Crashes the gatekeeper; the others detect it immediately."""
        name = self._gatekeeper()
        self._alive_names.remove(name)
        self.transports.pop(name).close()
        del self.hosts[name]

    def step(self) -> None:
        """Advances the simulation by one time step."""
        self._clock.advance(STEP_MS)
        self._network.deliver_due()
        self._finish_due_work()
        for name, host in self.hosts.items():
            if (
                self.now_ms % REPORT_INTERVAL_MS == 0
                and self.now_ms >= self.engine_up_ms
            ):
                host.observe(self._report())
            if self.now_ms % TICK_INTERVAL_MS == 0:
                host.observe(FleetObserved(self._view(name)))
                host.handle(
                    DemandChanged(self._upstream.name, DEMAND_PER_DAEMON)
                )
                host.handle(TimePassed())
            self._admit(name, host)
        self._record_usage()

    def _start(self, name: str) -> None:
        transport = self._network.attach(
            PeerIdentity(
                deployment="measurement",
                name=name,
                incarnation=f"{name}-1",
                address=name,
            ),
            keys=PeerKeys(current=b"measurement"),
            registry=self._registry,
            handler=lambda message: self._receive(name, message),
        )
        host = ColdStartHost(self._clock, transport, lambda upstream: None)
        host.observe(UpstreamsChanged((self._upstream,)))
        self.transports[name] = transport
        self.hosts[name] = host

    def _receive(self, name: str, message: ReceivedMessage) -> None:
        host = self.hosts.get(name)
        if host is not None:
            host.receive(message)

    def _admit(self, name: str, host: ColdStartHost) -> None:
        busy = sum(1 for _, owner, _ in self._running if owner == name)
        while busy < DEMAND_PER_DAEMON:
            admission = host.admit(self._upstream.name)
            if admission.kind is AdmissionKind.WAIT:
                return
            busy += 1
            if self.now_ms < self.engine_up_ms:
                self._end(name, admission, WorkOutcome.UNREACHABLE)
                continue
            self.started += 1
            end_ms = self.now_ms + self._work_ms
            self._running.append((end_ms, name, admission))

    def _finish_due_work(self) -> None:
        ended = [work for work in self._running if work[0] <= self.now_ms]
        self._running = [w for w in self._running if w[0] > self.now_ms]
        for _, name, admission in ended:
            self.successes += 1
            self._end(name, admission, WorkOutcome.SUCCEEDED)

    def _end(
        self, name: str, admission: Admission, outcome: WorkOutcome
    ) -> None:
        host = self.hosts.get(name)
        if host is not None:
            host.handle(WorkEnded(admission=admission, outcome=outcome))

    def _record_usage(self) -> None:
        limit = ramp_limit(self._upstream, self.successes)
        self.limit_total += limit
        self.used_total += min(len(self._running), limit)
        if limit < self._upstream.capacity:
            excess = len(self._running) - limit
            self.overload = max(self.overload, excess)

    def _gatekeeper(self) -> str:
        view = self._view(self._alive_names[0])
        chosen = choose_gatekeeper(view, self._upstream, ColdStartSettings())
        assert chosen is not None
        return chosen.name

    def _report(self) -> UpstreamReported:
        return UpstreamReported(
            upstream=self._upstream.name,
            incarnation=f"engine-{self.incarnation}",
            running=len(self._running),
            as_of_ms=self.now_ms,
        )

    def _view(self, owner: str) -> MembershipView:
        return MembershipView(
            own_name=owner,
            members=tuple(
                _create_member(name, is_leaving=name in self._leaving)
                for name in self._alive_names
            ),
            as_of_ms=self.now_ms,
            last_contact_ms=self.now_ms,
            is_settled=True,
        )


def _create_member(name: str, *, is_leaving: bool) -> Member:
    return Member(
        name=name,
        incarnation=f"{name}-1",
        failure_domain="fd0",
        endpoints=Endpoints(
            caller_address=name, admin_address=name, peer_address=name
        ),
        state=MemberState.LEAVING if is_leaving else MemberState.ALIVE,
        report=Report(),
        report_ms=0,
    )

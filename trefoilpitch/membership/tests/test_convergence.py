"""After arbitrary failures, all views converge to the actual fleet."""

import hypothesis
import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from trefoilpitch.membership import (
    Departed,
    LeaveRequested,
    MemberState,
    Report,
    ReportChanged,
)
from trefoilpitch.membership.tests.fleet import Fleet, address_of
from trefoilpitch.peering import Link, LinkFaults

SIZE = 7
STEP_MS = 50
# A gone member is found again after at most one pass through the VM list, of
# which one address is contacted every 10 s.
CONVERGENCE_MS = 10_000 * (SIZE + 1)
VM = st.integers(0, SIZE - 1).map(lambda index: f"vm{index}")


class ConvergenceMachine(RuleBasedStateMachine):
    """Injects failures, then ends them and checks that the views agree."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(0)

    @initialize(seed=st.integers(0, 1 << 32))
    def begin(self, seed: int) -> None:
        self.fleet = Fleet(SIZE, seed=seed)
        self.fleet.run(5_000, STEP_MS)

    @rule(for_ms=st.sampled_from((200, 2_000, 8_000, 20_000)))
    def wait(self, for_ms: int) -> None:
        self.fleet.run(for_ms, STEP_MS)

    @rule(name=VM)
    def replace(self, name: str) -> None:
        self.fleet.start(name)

    @rule(name=VM)
    def crash(self, name: str) -> None:
        if name in self.fleet.nodes and len(self.fleet.nodes) > 2:
            self.fleet.crash(name)

    @rule(name=VM)
    def leave(self, name: str) -> None:
        if name in self.fleet.nodes:
            self.fleet.nodes[name].host.handle(LeaveRequested())

    @rule(name=VM)
    def depart(self, name: str) -> None:
        if name in self.fleet.nodes and len(self.fleet.nodes) > 2:
            self.fleet.nodes[name].host.handle(Departed())
            self.fleet.crash(name)

    @rule(name=VM, for_ms=st.sampled_from((1_000, 5_000, 30_000)))
    def pause(self, name: str, for_ms: int) -> None:
        if name in self.fleet.nodes:
            self.fleet.pause(name, for_ms)

    @rule(sender=VM, receiver=VM)
    def cut(self, sender: str, receiver: str) -> None:
        link = Link(address_of(sender), address_of(receiver))
        self.fleet.network.set_faults(link, LinkFaults(cut=True))

    @rule(names=st.sets(VM, min_size=1, max_size=SIZE - 1))
    def partition(self, names: set[str]) -> None:
        self.fleet.network.partition(tuple(address_of(n) for n in names))

    @rule(drop=st.sampled_from((0.0, 0.3)))
    def disturb(self, drop: float) -> None:
        self.fleet.network.set_default_faults(
            LinkFaults(drop=drop, duplicate=0.1, max_delay_ms=300)
        )

    @rule(name=VM, share=st.floats(0, 1))
    def report(self, name: str, share: float) -> None:
        if name in self.fleet.nodes:
            report = Report(in_flight_share=share)
            self.fleet.nodes[name].host.handle(ReportChanged(report))

    def teardown(self) -> None:
        self.fleet.network.heal()
        self.fleet.network.set_default_faults(LinkFaults())
        for node in self.fleet.nodes.values():
            node.paused_until_ms = 0
        self.fleet.run(CONVERGENCE_MS, STEP_MS)
        for observer in self.fleet.nodes:
            self._check_view(observer)

    def _check_view(self, observer: str) -> None:
        view = self.fleet.view(observer)
        assert view.is_settled
        for member in view.members:
            assert member.is_confirmed
            node = self.fleet.nodes.get(member.name)
            if node is None:
                assert member.state is MemberState.GONE
                continue
            own = node.host.view.own
            assert member.state is own.state
            assert member.incarnation == own.incarnation
            assert member.report == own.report
        assert self.fleet.nodes.keys() <= view.by_name.keys()


ConvergenceMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=15,
    stateful_step_count=15,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestConvergence = ConvergenceMachine.TestCase

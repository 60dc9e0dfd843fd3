"""A cold upstream never exceeds its concurrency limit under any fault."""

import hypothesis
import hypothesis.strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from trefoilpitch.coldstart import is_acting
from trefoilpitch.coldstart.tests.simulation import (
    SETTINGS,
    UPSTREAM,
    WARM_SUCCESSES,
    Simulation,
)
from trefoilpitch.peering import LinkFaults

VM = st.integers(0, 3).map(lambda index: f"vm{index}")
TIME_MS = st.sampled_from((40, 300, 1_200, 2_600))


class OverloadMachine(RuleBasedStateMachine):
    """Injects faults; the simulated engine checks the concurrency limit."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = Simulation()

    @initialize(seed=st.integers(0, 1 << 32))
    def begin(self, seed: int) -> None:
        self.simulation = Simulation(seed=seed)
        self.simulation.run(2_600)

    @rule(counts=st.tuples(*[st.integers(0, 12)] * 4), for_ms=TIME_MS)
    def work(self, counts: tuple[int, ...], for_ms: int) -> None:
        for name, count in zip(self.simulation.names(), counts, strict=True):
            if name in self.simulation.processes:
                self.simulation.add_waiting(name, count)
        self.simulation.run(for_ms)

    @rule(name=VM)
    def replace(self, name: str) -> None:
        self.simulation.start(name)

    @precondition(lambda self: len(self.simulation.processes) > 2)
    @rule(name=VM)
    def crash(self, name: str) -> None:
        self.simulation.crash(name)

    @rule(name=VM)
    def leave(self, name: str) -> None:
        if name in self.simulation.processes:
            self.simulation.leave(name)

    @rule(name=VM)
    def abandon_work(self, name: str) -> None:
        if name in self.simulation.processes:
            self.simulation.abandon_work(name)

    @rule(name=VM, for_ms=TIME_MS, is_noticed=st.booleans())
    def pause(self, name: str, for_ms: int, is_noticed: bool) -> None:
        if name in self.simulation.processes:
            self.simulation.pause(name, for_ms, is_noticed=is_noticed)

    @rule(down_ms=st.sampled_from((640, 1_500)))
    def restart_engine(self, down_ms: int) -> None:
        self.simulation.restart_engine(down_ms)

    @rule(names=st.sets(VM, min_size=1, max_size=3))
    def partition(self, names: set[str]) -> None:
        self.simulation.partition(names)

    @rule()
    def heal(self) -> None:
        self.simulation.heal()

    @rule(
        drop=st.sampled_from((0.0, 0.2)),
        duplicate=st.sampled_from((0.0, 0.2)),
        max_delay_ms=st.sampled_from((1, 100, 900)),
    )
    def disturb(self, drop: float, duplicate: float, max_delay_ms: int) -> None:
        self.simulation.set_faults(
            LinkFaults(
                drop=drop, duplicate=duplicate, max_delay_ms=max_delay_ms
            )
        )

    @rule(share=st.sampled_from((0.0, 0.3, 1.0)))
    def lose_reports(self, share: float) -> None:
        self.simulation.report_loss = share


OverloadMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestOverload = OverloadMachine.TestCase


def test_undisturbed_upstream_becomes_warm_and_serves_all() -> None:
    simulation = Simulation(seed=3)
    simulation.durations_ms = (40, 200)
    simulation.run(3_000)
    for name in simulation.names():
        simulation.add_waiting(name, 20)
    simulation.run(6_000)
    assert simulation.engine.successes >= WARM_SUCCESSES
    assert [p.waiting for p in simulation.processes.values()] == [0, 0, 0, 0]


def test_abandoned_work_that_ended_frees_its_credits() -> None:
    simulation = Simulation(seed=3)
    simulation.durations_ms = (200,)
    simulation.run(3_000)
    first, second, *_ = simulation.names()
    simulation.add_waiting(first, 2)
    simulation.run(200)
    simulation.abandon_work(first)
    simulation.add_waiting(second, 2)
    simulation.run(200 + SETTINGS.report_lag_ms + 1_000)
    assert simulation.engine.successes >= UPSTREAM.cold_capacity + 2
    assert not simulation.processes[second].waiting


def test_graceful_change_of_the_gatekeeper_causes_no_long_gap() -> None:
    simulation = Simulation(seed=3)
    simulation.durations_ms = (200,)
    simulation.run(3_000)
    for process in simulation.processes.values():
        process.lag_ms = 200
    gatekeeper = next(
        process.name
        for process in simulation.processes.values()
        if is_acting(process.host.gatekeeper, "u", simulation.now_ms)
    )
    others = [name for name in simulation.names() if name != gatekeeper]
    for name in others:
        simulation.add_waiting(name, 2)
    simulation.run(200)
    before = simulation.engine.successes
    simulation.leave(gatekeeper)
    simulation.run(SETTINGS.takeover_ms // 2)
    assert simulation.engine.successes > before + 2


def test_warm_upstream_is_served_without_a_gatekeeper() -> None:
    simulation = Simulation(seed=3)
    simulation.durations_ms = (40,)
    simulation.run(3_000)
    while not simulation.engine.is_warm:
        for name in simulation.names():
            simulation.add_waiting(name, 2)
        simulation.run(200)
    for name in simulation.names():
        simulation.add_waiting(name, 2)
    simulation.run(600)
    simulation.partition(set(simulation.names()[:2]))
    simulation.run(2_000)
    for name in simulation.names():
        simulation.add_waiting(name, 5)
    simulation.run(200)
    assert [p.waiting for p in simulation.processes.values()] == [0, 0, 0, 0]


def test_upstream_is_served_again_after_its_gatekeeper_crashed() -> None:
    simulation = Simulation(seed=3)
    simulation.durations_ms = (40,)
    simulation.run(3_000)
    for name in simulation.names():
        simulation.crash(name)
        simulation.run(200)
        simulation.start(name)
        simulation.run(200)
    for name in simulation.names():
        simulation.add_waiting(name, 5)
    simulation.run(6_000)
    assert [p.waiting for p in simulation.processes.values()] == [0, 0, 0, 0]

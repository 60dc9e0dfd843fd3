"""A cold upstream never runs more than it bears, whatever else fails."""

import hypothesis
import hypothesis.strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from trefoilpitch.coldstart import is_acting
from trefoilpitch.coldstart.tests.world import (
    SETTINGS,
    UPSTREAM,
    WARM_SUCCESSES,
    World,
)
from trefoilpitch.peering import LinkFaults

VM = st.integers(0, 3).map(lambda index: f"vm{index}")
TIME_MS = st.sampled_from((40, 300, 1_200, 2_600))


class OverloadMachine(RuleBasedStateMachine):
    """Brings about failures; the world's engine is the oracle."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()

    @initialize(seed=st.integers(0, 1 << 32))
    def begin(self, seed: int) -> None:
        self.world = World(seed=seed)
        self.world.run(2_600)

    @rule(counts=st.tuples(*[st.integers(0, 12)] * 4), for_ms=TIME_MS)
    def work(self, counts: tuple[int, ...], for_ms: int) -> None:
        for name, count in zip(self.world.names(), counts, strict=True):
            if name in self.world.processes:
                self.world.want(name, count)
        self.world.run(for_ms)

    @rule(name=VM)
    def replace(self, name: str) -> None:
        self.world.start(name)

    @precondition(lambda self: len(self.world.processes) > 2)
    @rule(name=VM)
    def crash(self, name: str) -> None:
        self.world.crash(name)

    @rule(name=VM)
    def leave(self, name: str) -> None:
        if name in self.world.processes:
            self.world.leave(name)

    @rule(name=VM)
    def abandon_work(self, name: str) -> None:
        if name in self.world.processes:
            self.world.abandon_work(name)

    @rule(name=VM, for_ms=TIME_MS, is_noticed=st.booleans())
    def pause(self, name: str, for_ms: int, is_noticed: bool) -> None:
        if name in self.world.processes:
            self.world.pause(name, for_ms, is_noticed=is_noticed)

    @rule(down_ms=st.sampled_from((640, 1_500)))
    def restart_engine(self, down_ms: int) -> None:
        self.world.restart_engine(down_ms)

    @rule(names=st.sets(VM, min_size=1, max_size=3))
    def partition(self, names: set[str]) -> None:
        self.world.partition(names)

    @rule()
    def heal(self) -> None:
        self.world.heal()

    @rule(
        drop=st.sampled_from((0.0, 0.2)),
        duplicate=st.sampled_from((0.0, 0.2)),
        max_delay_ms=st.sampled_from((1, 100, 900)),
    )
    def disturb(self, drop: float, duplicate: float, max_delay_ms: int) -> None:
        self.world.set_faults(
            LinkFaults(
                drop=drop, duplicate=duplicate, max_delay_ms=max_delay_ms
            )
        )

    @rule(share=st.sampled_from((0.0, 0.3, 1.0)))
    def lose_reports(self, share: float) -> None:
        self.world.report_loss = share


OverloadMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestOverload = OverloadMachine.TestCase


def test_undisturbed_upstream_becomes_warm_and_serves_all() -> None:
    world = World(seed=3)
    world.durations_ms = (40, 200)
    world.run(3_000)
    for name in world.names():
        world.want(name, 20)
    world.run(6_000)
    assert world.engine.successes >= WARM_SUCCESSES
    assert [p.waiting for p in world.processes.values()] == [0, 0, 0, 0]


def test_work_that_was_left_and_ended_makes_room() -> None:
    world = World(seed=3)
    world.durations_ms = (200,)
    world.run(3_000)
    first, second, *_ = world.names()
    world.want(first, 2)
    world.run(200)
    world.abandon_work(first)
    world.want(second, 2)
    world.run(200 + SETTINGS.report_lag_ms + 1_000)
    assert world.engine.successes >= UPSTREAM.cold_capacity + 2
    assert not world.processes[second].waiting


def test_planned_change_of_the_gatekeeper_leaves_no_long_gap() -> None:
    world = World(seed=3)
    world.durations_ms = (200,)
    world.run(3_000)
    for process in world.processes.values():
        process.lag_ms = 200
    gatekeeper = next(
        process.name
        for process in world.processes.values()
        if is_acting(process.host.gatekeeper, "u", world.now_ms)
    )
    others = [name for name in world.names() if name != gatekeeper]
    for name in others:
        world.want(name, 2)
    world.run(200)
    before = world.engine.successes
    world.leave(gatekeeper)
    world.run(SETTINGS.takeover_ms // 2)
    assert world.engine.successes > before + 2


def test_warm_upstream_is_served_without_a_gatekeeper() -> None:
    world = World(seed=3)
    world.durations_ms = (40,)
    world.run(3_000)
    while not world.engine.is_warm:
        for name in world.names():
            world.want(name, 2)
        world.run(200)
    for name in world.names():
        world.want(name, 2)
    world.run(600)
    world.partition(set(world.names()[:2]))
    world.run(2_000)
    for name in world.names():
        world.want(name, 5)
    world.run(200)
    assert [p.waiting for p in world.processes.values()] == [0, 0, 0, 0]


def test_upstream_is_served_again_after_its_gatekeeper_crashed() -> None:
    world = World(seed=3)
    world.durations_ms = (40,)
    world.run(3_000)
    for name in world.names():
        world.crash(name)
        world.run(200)
        world.start(name)
        world.run(200)
    for name in world.names():
        world.want(name, 5)
    world.run(6_000)
    assert [p.waiting for p in world.processes.values()] == [0, 0, 0, 0]

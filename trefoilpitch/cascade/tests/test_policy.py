from __future__ import annotations

import random

from trefoilpitch.bundle import VersionRef
from trefoilpitch.cascade import (
    Candidate,
    CascadePlan,
    CascadePolicy,
    CascadeSettings,
    Finish,
    Rating,
    Target,
    Verdict,
)

CHEAP = VersionRef("cheap", "1")
DEAR = VersionRef("dear", "1")
TARGET = Target(quality=0.9, confidence=0.9)


def _candidates(
    cheap_cost: float = 1.0, cheap: VersionRef = CHEAP
) -> tuple[Candidate, ...]:
    return (
        Candidate(version=cheap, cost_nano=cheap_cost, prior_quality=0.6),
        Candidate(version=DEAR, cost_nano=10.0, prior_quality=0.95),
    )


class _World:
    """Answers whose quality follows the signal of the cheap version."""

    def __init__(
        self, policy: CascadePolicy, rated: float = 0.3, cheap_cost: float = 1.0
    ) -> None:
        self.policy = policy
        self.cheap_cost = cheap_cost
        self.rated = rated
        self.rng = random.Random(11)
        self.bad_version = False
        self.cheap = CHEAP
        self.plans: list[CascadePlan] = []

    def request(self) -> tuple[VersionRef, float, bool]:
        plan = self.policy.plan(
            "parish",
            "tag",
            _candidates(self.cheap_cost, self.cheap),
            TARGET,
            self.rng,
        )
        self.plans.append(plan)
        cost, first = 0.0, self.rng.random()
        for index, step in enumerate(plan.steps):
            cheap = step.version == self.cheap
            cost += self.cheap_cost if cheap else 10.0
            signal = first if index == 0 else self.rng.random()
            finish = Finish(signal=signal, cost_nano=1)
            if self.policy.judge(plan, index, finish) is Verdict.ACCEPT:
                good = self.rng.random() < self._quality(cheap, first)
                if self.rng.random() < self.rated:
                    label = self.policy.label(plan, index, first)
                    self.policy.observe(Rating(label=label, good=good))
                return step.version, cost, good
        raise AssertionError("the last step delivers every answer")

    def _quality(self, cheap: bool, signal: float) -> float:
        if not cheap:
            return 0.97
        return 0.2 if self.bad_version else min(0.3 + signal, 0.98)


def test_without_ratings_only_the_dear_version_delivers() -> None:
    settings = CascadeSettings(exploration_share=0.0)
    world = _World(CascadePolicy("a", settings), rated=0.0)
    assert {world.request()[0] for _ in range(500)} == {DEAR}


def test_ratings_make_it_cheaper_and_keep_the_target() -> None:
    world = _World(CascadePolicy("a"))
    for _ in range(6_000):
        world.request()
    late = [world.request() for _ in range(4_000)]
    assert sum(good for _, _, good in late) / len(late) >= 0.9
    assert sum(cost for _, cost, _ in late) / len(late) < 9.0


def test_goes_straight_to_the_dear_version_when_cheap_first_costs_more() -> (
    None
):
    world = _World(CascadePolicy("a"), cheap_cost=9.5)
    for _ in range(3_000):
        world.request()
    late = [world.request() for _ in range(1_000)]
    direct = sum(cost == 10.0 for _, cost, _ in late) / len(late)
    assert direct > 0.9


def test_version_that_turns_bad_is_left() -> None:
    world = _World(CascadePolicy("a"))
    for _ in range(8_000):
        world.request()
    world.bad_version = True
    for _ in range(1_500):
        world.request()
    late = [world.request() for _ in range(5_000)]
    assert sum(good for _, _, good in late) / len(late) >= 0.9


def test_new_version_starts_from_its_predecessor_but_not_on_its_word() -> None:
    costs = []
    for bad in (False, True):
        world = _World(CascadePolicy("a"))
        for _ in range(6_000):
            world.request()
        world.cheap = VersionRef("cheap", "2")
        world.bad_version = bad
        answers = [world.request() for _ in range(3_000)]
        assert sum(good for _, _, good in answers) / len(answers) >= 0.9
        costs.append(sum(cost for _, cost, _ in answers) / len(answers))
    assert costs[0] < 6.0 < costs[1]


def test_explores_a_bounded_share_and_nothing_without_ratings() -> None:
    settings = CascadeSettings(exploration_share=0.05)
    for rated, least in ((0.3, 1), (0.0, 0)):
        world = _World(CascadePolicy("a", settings), rated=rated)
        for _ in range(4_000):
            world.request()
        explored = sum(plan.exploring for plan in world.plans)
        assert least <= explored <= 0.06 * len(world.plans)
        assert rated or explored == 0


def test_one_step_plan_never_escalates() -> None:
    policy = CascadePolicy("a")
    plan = policy.plan(
        "parish", "tag", _candidates(), TARGET, random.Random(1), max_steps=1
    )
    assert [step.version for step in plan.steps] == [DEAR]
    verdict = policy.judge(plan, 0, Finish(signal=None, cost_nano=1))
    assert verdict is Verdict.ACCEPT


def test_snapshots_merge_idempotently_and_in_any_order() -> None:
    source = _World(CascadePolicy("a"))
    for _ in range(1_000):
        source.request()
    early = source.policy.snapshot()
    for _ in range(1_000):
        source.request()
    late = source.policy.snapshot()
    once, twice = CascadePolicy("b"), CascadePolicy("c")
    once.merge(late)
    for snapshot in (late, early, late):
        twice.merge(snapshot)
    plans = [
        policy.plan("parish", "tag", _candidates(), TARGET, random.Random(2))
        for policy in (source.policy, once, twice)
    ]
    assert plans[1].steps == plans[2].steps
    assert len(plans[1].steps) == 2


def test_a_node_that_only_hears_of_ratings_notices_a_bad_version() -> None:
    source, hearer = _World(CascadePolicy("a")), CascadePolicy("b")

    def straight_to_dear_after(requests: int) -> float:
        for _ in range(requests // 100):
            for _ in range(100):
                source.request()
            hearer.merge(source.policy.snapshot())
        rng = random.Random(2)
        plans = [
            hearer.plan("parish", "tag", _candidates(), TARGET, rng)
            for _ in range(300)
        ]
        return sum(len(plan.steps) == 1 for plan in plans) / len(plans)

    assert straight_to_dear_after(6_000) < 0.1
    source.bad_version = True
    assert straight_to_dear_after(1_500) > 0.7


def test_counts_of_a_clock_that_is_far_ahead_are_left_out() -> None:
    ahead = _World(CascadePolicy("a", epoch=50))
    for _ in range(2_000):
        ahead.request()
    policy = CascadePolicy("b", epoch=10)
    policy.merge(ahead.policy.snapshot())
    assert policy.epoch == 10
    plan = policy.plan("parish", "tag", _candidates(), TARGET, random.Random(2))
    assert [step.version for step in plan.steps] == [DEAR]

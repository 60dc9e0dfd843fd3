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
EXPENSIVE = VersionRef("expensive", "1")
TARGET = Target(quality=0.9, confidence=0.9)


def _candidates(
    cheap_cost: float = 1.0, cheap: VersionRef = CHEAP
) -> tuple[Candidate, ...]:
    return (
        Candidate(version=cheap, cost_nano=cheap_cost, prior_quality=0.6),
        Candidate(version=EXPENSIVE, cost_nano=10.0, prior_quality=0.95),
    )


class _Simulation:
    """Simulates requests; cheap responses with a high signal are better."""

    def __init__(
        self,
        policy: CascadePolicy,
        rated_share: float = 0.3,
        cheap_cost: float = 1.0,
    ) -> None:
        self.policy = policy
        self.cheap_cost = cheap_cost
        self.rated_share = rated_share
        self.rng = random.Random(11)
        self.is_cheap_bad = False
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
            is_cheap = step.version == self.cheap
            cost += self.cheap_cost if is_cheap else 10.0
            signal = first if index == 0 else self.rng.random()
            finish = Finish(signal=signal, cost_nano=1)
            if self.policy.judge(plan, index, finish) is Verdict.ACCEPT:
                good = self.rng.random() < self._quality(is_cheap, first)
                if self.rng.random() < self.rated_share:
                    label = self.policy.label(plan, index, first)
                    self.policy.observe(Rating(label=label, good=good))
                return step.version, cost, good
        raise AssertionError("the last step delivers every response")

    def _quality(self, is_cheap: bool, signal: float) -> float:
        if not is_cheap:
            return 0.97
        return 0.2 if self.is_cheap_bad else min(0.3 + signal, 0.98)


def test_only_the_expensive_version_delivers_without_ratings() -> None:
    settings = CascadeSettings(exploration_share=0.0)
    simulation = _Simulation(CascadePolicy("a", settings), rated_share=0.0)
    assert {simulation.request()[0] for _ in range(500)} == {EXPENSIVE}


def test_ratings_reduce_the_cost_while_the_target_is_met() -> None:
    simulation = _Simulation(CascadePolicy("a"))
    for _ in range(6_000):
        simulation.request()
    late = [simulation.request() for _ in range(4_000)]
    assert sum(good for _, _, good in late) / len(late) >= 0.9
    assert sum(cost for _, cost, _ in late) / len(late) < 9.0


def test_expensive_version_runs_directly_when_cheap_first_costs_more() -> None:
    simulation = _Simulation(CascadePolicy("a"), cheap_cost=9.5)
    for _ in range(3_000):
        simulation.request()
    late = [simulation.request() for _ in range(1_000)]
    direct = sum(cost == 10.0 for _, cost, _ in late) / len(late)
    assert direct > 0.9


def test_version_whose_quality_drops_is_no_longer_used() -> None:
    simulation = _Simulation(CascadePolicy("a"))
    for _ in range(8_000):
        simulation.request()
    simulation.is_cheap_bad = True
    for _ in range(1_500):
        simulation.request()
    late = [simulation.request() for _ in range(5_000)]
    assert sum(good for _, _, good in late) / len(late) >= 0.9


def test_previous_version_is_only_a_prior_for_a_new_one() -> None:
    mean_costs = []
    for bad in (False, True):
        simulation = _Simulation(CascadePolicy("a"))
        for _ in range(6_000):
            simulation.request()
        simulation.cheap = VersionRef("cheap", "2")
        simulation.is_cheap_bad = bad
        responses = [simulation.request() for _ in range(3_000)]
        assert sum(good for _, _, good in responses) / len(responses) >= 0.9
        mean_costs.append(
            sum(cost for _, cost, _ in responses) / len(responses)
        )
    assert mean_costs[0] < 6.0 < mean_costs[1]


def test_exploration_is_bounded_and_needs_ratings() -> None:
    settings = CascadeSettings(exploration_share=0.05)
    for rated_share, min_explored in ((0.3, 1), (0.0, 0)):
        simulation = _Simulation(
            CascadePolicy("a", settings), rated_share=rated_share
        )
        for _ in range(4_000):
            simulation.request()
        explored = sum(plan.exploring for plan in simulation.plans)
        assert min_explored <= explored <= 0.06 * len(simulation.plans)
        assert rated_share or explored == 0


def test_one_step_plan_never_escalates() -> None:
    policy = CascadePolicy("a")
    plan = policy.plan(
        "parish", "tag", _candidates(), TARGET, random.Random(1), max_steps=1
    )
    assert [step.version for step in plan.steps] == [EXPENSIVE]
    verdict = policy.judge(plan, 0, Finish(signal=None, cost_nano=1))
    assert verdict is Verdict.ACCEPT


def test_snapshots_merge_idempotently_and_in_any_order() -> None:
    source = _Simulation(CascadePolicy("a"))
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


def test_quality_drop_is_detected_from_merged_snapshots_alone() -> None:
    source, replica = _Simulation(CascadePolicy("a")), CascadePolicy("b")

    def share_of_direct_plans_after(requests: int) -> float:
        for _ in range(requests // 100):
            for _ in range(100):
                source.request()
            replica.merge(source.policy.snapshot())
        rng = random.Random(2)
        plans = [
            replica.plan("parish", "tag", _candidates(), TARGET, rng)
            for _ in range(300)
        ]
        return sum(len(plan.steps) == 1 for plan in plans) / len(plans)

    assert share_of_direct_plans_after(6_000) < 0.1
    source.is_cheap_bad = True
    assert share_of_direct_plans_after(1_500) > 0.7


def test_counts_of_an_epoch_far_ahead_are_ignored() -> None:
    ahead = _Simulation(CascadePolicy("a", epoch=50))
    for _ in range(2_000):
        ahead.request()
    policy = CascadePolicy("b", epoch=10)
    policy.merge(ahead.policy.snapshot())
    assert policy.epoch == 10
    plan = policy.plan("parish", "tag", _candidates(), TARGET, random.Random(2))
    assert [step.version for step in plan.steps] == [EXPENSIVE]

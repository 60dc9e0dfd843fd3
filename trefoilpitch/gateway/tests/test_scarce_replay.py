"""Replays of scarce capacity by daemons with outdated views of each other.

`python -m trefoilpitch.gateway.tests.scarce_fleet` prints all loads' figures.
"""

from __future__ import annotations

import dataclasses
import functools

import pytest

from trefoilpitch.gateway.tests.scarce_fleet import (
    KINDS,
    LOADS,
    Call,
    Kind,
    Outcome,
    ScarceFleet,
    describe,
)

# Largest difference of the value from the share in time of a plan that knows
# all calls in advance.
_MAX_LOSS = {
    "wave-1.1": 0.2,
    "burst-of-a-kind": 0.1,
    "hot-workspace": 0.1,
    "half-lost-without-store": 0.1,
}
_SERVED = (Outcome.IN_TIME, Outcome.LATE)
_SMALL = [
    dataclasses.replace(load, daemons=5, upstreams=4, end_ms=18_000)
    for load in LOADS
    if load.name in _MAX_LOSS
]


def _is_of(kind: Kind, call: Call) -> bool:
    return call.kind is kind


@pytest.fixture(scope="module", params=_SMALL, ids=lambda load: load.name)
def fleet(request: pytest.FixtureRequest) -> ScarceFleet:
    """A fleet that has played a load."""
    return ScarceFleet(request.param).play()


def test_scarce_capacity_is_used_almost_like_by_a_plan(
    fleet: ScarceFleet,
) -> None:
    loss = fleet.planned() - fleet.value
    assert loss <= _MAX_LOSS[fleet.load.name], describe(fleet)


def test_more_urgent_calls_are_not_served_less_often(
    fleet: ScarceFleet,
) -> None:
    served = [
        fleet.count(*_SERVED, of=functools.partial(_is_of, kind))
        for kind in KINDS
    ]
    assert served[0] >= served[1] - 0.05, describe(fleet)
    assert served[1] >= served[2] - 0.05, describe(fleet)
    urgent = functools.partial(_is_of, KINDS[0])
    assert fleet.count(Outcome.IN_TIME, of=urgent) > 0.95, describe(fleet)


def test_large_calls_are_served_as_often_as_others(fleet: ScarceFleet) -> None:
    large = fleet.count(*_SERVED, of=lambda c: c.large)
    assert large >= fleet.count(*_SERVED) - 0.05, describe(fleet)


def test_refusals_come_early_and_nothing_ends_at_its_deadline(
    fleet: ScarceFleet,
) -> None:
    assert fleet.late_refusals < 0.05, describe(fleet)
    assert fleet.count(Outcome.EXPIRED) < 0.01, describe(fleet)


def test_workspaces_are_served_alike_whatever_one_of_them_sends(
    fleet: ScarceFleet,
) -> None:
    others = fleet.count(*_SERVED, of=lambda c: c.workspace != 0)
    assert others >= fleet.count(*_SERVED, of=lambda c: c.workspace == 0) - 0.05


def test_nothing_is_refused_while_half_of_the_capacity_is_free(
    fleet: ScarceFleet,
) -> None:
    assert fleet.needless_refusals == 0, describe(fleet)

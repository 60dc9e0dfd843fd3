"""Replays of placement on uneven upstreams and under uneven demand."""

from __future__ import annotations

import functools

import pytest

from trefoilpitch.gateway.tests.uneven_fleet import (
    LOADS,
    Outcome,
    Policy,
    UnevenFleet,
)

_LOADS = {load.name: load for load in LOADS}


@functools.cache
def _play(name: str, policy: str) -> Outcome:
    return UnevenFleet(_LOADS[name], policy, 1).play()


@pytest.mark.parametrize("name", ["a quarter slow", "0.5 to 2"])
def test_lateness_and_waits_are_halved_on_uneven_upstreams(name: str) -> None:
    """Guards against requests that run on slow upstreams beside idle ones."""
    before = _play(name, Policy.BEFORE)
    found = _play(name, Policy.WORK)
    assert found.late_p99_ms <= 0.5 * before.late_p99_ms
    assert found.waited_p99_ms <= 0.5 * before.waited_p99_ms


def test_small_requests_are_not_sent_to_slow_upstreams_by_large_ones() -> None:
    """Guards against taking a large request for many that occupy slots."""
    before = _play("one kind costs ten times", Policy.BEFORE)
    found = _play("one kind costs ten times", Policy.WORK)
    assert found.late_mean_ms <= 0.8 * before.late_mean_ms
    assert found.late_p99_ms <= before.late_p99_ms


def test_slow_home_of_a_hot_prefix_does_not_get_its_requests() -> None:
    before = _play("one hot prefix", Policy.BEFORE)
    found = _play("one hot prefix", Policy.WORK)
    assert found.late_p99_ms <= 0.5 * before.late_p99_ms


@pytest.mark.parametrize("name", ["even, three figures", "even"])
def test_even_upstreams_are_served_as_before(name: str) -> None:
    """Guards against a cost where all upstreams and requests are alike."""
    before = _play(name, Policy.BEFORE)
    found = _play(name, Policy.WORK)
    assert found.late_mean_ms <= 1.05 * before.late_mean_ms
    assert found.late_p99_ms <= 1.05 * before.late_p99_ms

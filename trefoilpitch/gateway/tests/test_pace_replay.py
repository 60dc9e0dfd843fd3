"""Replays of roll-outs whose versions differ in pace, load or neither.

The verdicts are on the paces of all daemons so far, every few responses of the
target.
"""

from __future__ import annotations

import dataclasses
import random

import msgspec
import pytest

from trefoilpitch.gateway._paces import (
    MeasuredPace,
    PaceComparison,
    PaceTable,
    compare_paces,
    merge_counts,
    published_counts,
)
from trefoilpitch.gateway._peers import PaceReport

_DAEMONS = 6
_UPSTREAMS = 6
_KINDS = ("small", "large")
# Time per event of an upstream with one request, and how it grows with load.
_ALONE_MS = 22.0
_GROWTH = 0.5
# Standard deviation of the logarithm of a pace at one load.
_NOISE = 0.3
_ROLLOUTS = 100
# Responses of the target between two verdicts.
_PER_VERDICT = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Case:
    """Responses of a roll-out's versions."""

    name: str
    # Loads of the upstreams, drawn for each response.
    old_loads: tuple[int, ...] = (3, 5, 8, 12, 16)
    new_loads: tuple[int, ...] = (1, 2, 3, 4, 6)
    old_responses: int = 120
    new_responses: int = 60
    # Multiple of the pace of the target's slow responses, and their fraction.
    slow_factor: float = 1.0
    slow_share: float = 1.0
    # Responses of the target and load from which on they are slow.
    slow_from: int = 0
    slow_from_load: int = 0
    # Upstreams of the target that take four times as long by themselves.
    slow_upstreams: int = 0


_SOUND = (
    _Case(name="sound"),
    _Case(name="sound, few requests", old_responses=8, new_responses=8),
    _Case(name="sound, without others", old_responses=0),
    _Case(name="sound, in a burst", new_loads=(12, 20, 32)),
    _Case(
        name="sound, uneven load",
        old_loads=(1, 1, 2, 40),
        new_loads=(1, 16, 40),
    ),
    _Case(name="sound, long", new_loads=(3, 5, 8, 12), new_responses=200),
    _Case(name="sound, slow upstream", slow_upstreams=1),
)
_BAD = (
    _Case(name="2.5", slow_factor=2.5),
    _Case(name="3", slow_factor=3.0),
    _Case(name="4", slow_factor=4.0),
    _Case(name="8", slow_factor=8.0),
    _Case(name="4, most responses", slow_factor=4.0, slow_share=0.8),
    _Case(
        name="3, later",
        slow_factor=3.0,
        slow_from=15,
        new_responses=80,
    ),
    _Case(
        name="4, under load only",
        slow_factor=4.0,
        slow_from_load=6,
        new_loads=(3, 6, 8, 12),
    ),
    _Case(
        name="3, few requests",
        slow_factor=3.0,
        new_responses=12,
    ),
)


class _Rollout:
    def __init__(self, case: _Case, seed: int) -> None:
        self._case = case
        self._rng = random.Random(seed)
        self._tables = [PaceTable() for _ in range(_DAEMONS)]

    def finds_slower(self) -> bool:
        """Returns whether the target is ever found slower."""
        for _ in range(self._case.old_responses):
            load = self._rng.choice(self._case.old_loads)
            self._record("old", load, 1.0)
        for number in range(self._case.new_responses):
            load = self._rng.choice(self._case.new_loads)
            self._record("new", load, self._target_factor(number, load))
            due = number % _PER_VERDICT == _PER_VERDICT - 1
            if due and self._compare().is_slower:
                return True
        return False

    def _target_factor(self, number: int, load: int) -> float:
        case = self._case
        if self._rng.randrange(_UPSTREAMS) < case.slow_upstreams:
            return 4.0
        slow = (
            number >= case.slow_from
            and load >= case.slow_from_load
            and self._rng.random() < case.slow_share
        )
        return case.slow_factor if slow else 1.0

    def _record(self, version: str, load: int, factor: float) -> None:
        noise = self._rng.lognormvariate(0.0, _NOISE)
        measured = MeasuredPace(
            key=self._rng.choice(_KINDS),
            pace_ms=_ALONE_MS * load**_GROWTH * factor * noise,
            load=load,
        )
        self._rng.choice(self._tables).record(
            "service", version, measured, on_target=version == "new"
        )

    def _compare(self) -> PaceComparison:
        counts = [table.split("service", "new") for table in self._tables]
        return compare_paces(
            merge_counts(target for target, _ in counts),
            merge_counts(others for _, others in counts),
        )


def _found(case: _Case) -> int:
    """Returns the number of roll-outs whose target is found slower."""
    return sum(_Rollout(case, seed).finds_slower() for seed in range(_ROLLOUTS))


@pytest.mark.parametrize("case", _SOUND, ids=lambda case: case.name)
def test_sound_target_is_seldom_found_slower(case: _Case) -> None:
    assert _found(case) <= _ROLLOUTS / 100


@pytest.mark.parametrize("case", _BAD, ids=lambda case: case.name)
def test_slow_target_is_found_slower(case: _Case) -> None:
    assert _found(case) >= 0.95 * _ROLLOUTS


def _record(table: PaceTable, version: str, measured: MeasuredPace) -> None:
    table.record("s", version, measured, on_target=version == "new")


def test_paces_are_compared_with_those_at_a_higher_load() -> None:
    """The old version is never as idle as the target."""
    table = PaceTable()
    for _ in range(8):
        _record(table, "old", MeasuredPace(key="k", pace_ms=40, load=8))
    for _ in range(6):
        _record(table, "new", MeasuredPace(key="k", pace_ms=90, load=1))
    assert compare_paces(*table.split("s", "new")).is_slower
    assert not compare_paces(*table.split("s", "old")).is_slower


def test_paces_of_other_kinds_are_not_compared() -> None:
    table = PaceTable()
    for _ in range(20):
        _record(table, "old", MeasuredPace(key="k", pace_ms=20, load=1))
        _record(table, "new", MeasuredPace(key="other", pace_ms=90, load=1))
    assert compare_paces(*table.split("s", "new")) == PaceComparison()


def test_target_of_another_order_starts_without_paces() -> None:
    table = PaceTable()
    table.begin_order("s", "new", 3)
    _record(table, "old", MeasuredPace(key="k", pace_ms=20, load=1))
    _record(table, "new", MeasuredPace(key="k", pace_ms=90, load=1))
    table.begin_order("s", "new", 3)
    assert all(table.split("s", "new"))
    table.begin_order("s", "new", 4)
    target, others = table.split("s", "new")
    assert (bool(target), bool(others)) == (False, True)


def test_published_paces_are_bounded() -> None:
    table = PaceTable()
    rng = random.Random(1)
    for number in range(9_000):
        measured = MeasuredPace(
            key=f"model-{number % 50}",
            pace_ms=rng.uniform(5, 300),
            load=rng.randrange(64),
        )
        _record(table, "old", measured)
        _record(table, "new", measured)
    target, others = table.split("s", "new")
    report = PaceReport(
        service="dego62a",
        order_revision=300,
        target=published_counts(target),
        others=published_counts(others),
    )
    assert len(msgspec.msgpack.encode(report)) < 600

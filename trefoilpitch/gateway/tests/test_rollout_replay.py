"""Replays of 500 seeded orders, with sound and bad versions of each manner.

The verdicts are on the fleet's totals, once in each second. The other rule is
that of the totals over all routes, by which each version was judged before.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable

import msgspec
import pytest

from trefoilpitch.gateway._peers import (
    Heartbeat,
    PeerTable,
    VersionCount,
    encode_heartbeat,
)
from trefoilpitch.gateway._rollouts import (
    VersionEvidence,
    is_regression,
    split_evidence,
)
from trefoilpitch.gateway._version_comparison import (
    VersionComparison,
    stratum,
)

_ORDERS = 500
_SECONDS = 16
# Route, requests a second and usual fraction of failures.
_ROUTES = (("book", 7.5, 0.005), ("read", 12.0, 0.14), ("check", 5.0, 0.02))
# Fraction of the requests on the target, and the second from which on.
_SHARES = ((1, 0.07), (8, 0.2), (10, 0.5), (13, 0.97))
# Load of the upstreams and the fraction of slow responses at it.
_SLOW_BY_LOAD = ((0.2, 0.02), (0.7, 0.06), (1.5, 0.35))
_SLOW_FACTOR = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Case:
    name: str
    bad: bool
    # Fraction of the target's responses that fail besides, and on which route.
    fails: float = 0.0
    route: str | None = None
    from_s: int = 0
    # Fractions of the target's responses that are slow besides.
    slow: float = 0.0
    slow_under_load: float = 0.0
    # Fraction of the old version's responses that fail for some seconds.
    old_fails: float = 0.0
    # Whether all routes fail for some seconds.
    outage: bool = False
    # Weights of the loads at the target's upstreams and the old ones'.
    new_loads: tuple[int, int, int] = (4, 3, 1)
    # The same from the last step on.
    last_loads: tuple[int, int, int] | None = None
    # Fraction that fails at the highest load only.
    fails_under_load: float = 0.0
    old_loads: tuple[int, int, int] = (4, 3, 1)


_CASES = (
    _Case(name="sound", bad=False),
    _Case(name="sound, old upstreams fail", bad=False, old_fails=0.06),
    _Case(name="sound, outage of the service", bad=False, outage=True),
    _Case(name="sound, uneven load", bad=False, new_loads=(1, 2, 6)),
    _Case(name="sound, slow old upstreams", bad=False, old_loads=(1, 2, 6)),
    _Case(
        name="fails on one route, beside old ones",
        bad=True,
        fails=0.2,
        route="book",
        old_fails=0.06,
    ),
    _Case(name="fails on one route", bad=True, fails=0.35, route="book"),
    _Case(name="fails on all routes", bad=True, fails=0.25),
    _Case(name="fails later", bad=True, fails=0.5, from_s=9),
    _Case(
        name="fails under load, in the last step",
        bad=True,
        fails_under_load=0.3,
        new_loads=(4, 3, 0),
        old_loads=(4, 3, 0),
        last_loads=(1, 2, 6),
    ),
    _Case(
        name="slow under load, in the last step",
        bad=True,
        slow_under_load=0.9,
        new_loads=(4, 3, 0),
        old_loads=(4, 3, 0),
        last_loads=(1, 2, 6),
    ),
    _Case(name="slow", bad=True, slow=0.5),
    _Case(
        name="slow under load",
        bad=True,
        slow_under_load=0.9,
        new_loads=(2, 3, 4),
        old_loads=(2, 3, 4),
    ),
)


class _Order:
    """One order; adds up the responses of the whole fleet."""

    def __init__(self, case: _Case, seed: int) -> None:
        self._case = case
        self._rng = random.Random(seed)
        self._strata: dict[str, dict[int, VersionEvidence]] = {}
        self._comparison = VersionComparison("new")

    def is_rolled_back(self) -> tuple[bool, bool]:
        """Returns the verdicts of the totals and of the comparison."""
        by_totals = by_comparison = False
        for second in range(_SECONDS):
            self._run(second)
            self._comparison.update({"vm": self._strata}, second * 1_000)
            totals = {
                version: _sum(strata.values())
                for version, strata in self._strata.items()
            }
            by_totals |= is_regression(*split_evidence(totals, "new"))
            by_comparison |= self._comparison.finding(totals) is not None
        return by_totals, by_comparison

    def _run(self, second: int) -> None:
        share = max((s for at, s in _SHARES if second >= at), default=0.0)
        for route, rate, usual in _ROUTES:
            for _ in range(round(rate * self._rng.uniform(0.7, 1.3))):
                version = "new" if self._rng.random() < share else "old"
                self._respond(version, route, usual, second)

    def _respond(
        self, version: str, route: str, usual: float, second: int
    ) -> None:
        case, rng = self._case, self._rng
        new = version == "new"
        weights = case.new_loads if new else case.old_loads
        if new and case.last_loads and second >= _SHARES[-1][0]:
            weights = case.last_loads
        ((load, slow),) = rng.choices(_SLOW_BY_LOAD, weights)
        fails = usual
        if case.outage and 5 <= second < 8:
            fails += 0.4
        if new and case.route in (None, route) and second >= case.from_s:
            fails += case.fails
        if not new and 1 <= second < 14:
            fails += case.old_fails
        if new and load >= 1:
            fails += case.fails_under_load
        if new:
            slow += case.slow
        if new and load >= 1:
            slow += case.slow_under_load
        evidence = VersionEvidence(good=1)
        if rng.random() < fails:
            evidence = VersionEvidence(failed=1)
        elif rng.random() < slow:
            evidence = VersionEvidence(slow=1)
        strata = self._strata.setdefault(version, {})
        key = stratum(route, load)
        strata[key] = strata.get(key, VersionEvidence()).merge(evidence)


def _sum(parts: Iterable[VersionEvidence]) -> VersionEvidence:
    total = VersionEvidence()
    for part in parts:
        total = total.merge(part)
    return total


@dataclasses.dataclass(slots=True)
class _Result:
    orders: int = 0
    by_totals: int = 0
    by_comparison: int = 0


@pytest.fixture(scope="module")
def results() -> dict[str, _Result]:
    """The orders that each rule rolls back, by case."""
    found = {case.name: _Result() for case in _CASES}
    for seed in range(_ORDERS):
        case = _CASES[seed % len(_CASES)]
        by_totals, by_comparison = _Order(case, seed).is_rolled_back()
        result = found[case.name]
        result.orders += 1
        result.by_totals += by_totals
        result.by_comparison += by_comparison
    return found


def test_sound_versions_are_seldom_rolled_back(
    results: dict[str, _Result],
) -> None:
    sound = [results[case.name] for case in _CASES if not case.bad]
    orders = sum(result.orders for result in sound)
    assert sum(result.by_totals for result in sound) > 0.1 * orders
    assert sum(result.by_comparison for result in sound) <= 0.03 * orders


@pytest.mark.parametrize(
    "case", [k for k in _CASES if k.bad], ids=lambda case: case.name
)
def test_bad_versions_are_rolled_back(
    case: _Case, results: dict[str, _Result]
) -> None:
    result = results[case.name]
    least = 0.85 if case.last_loads else 0.95
    if case.old_fails:
        # Half of the orders do not have enough responses to tell a fifth of
        # failures on one route from those of the old upstreams.
        least = 0.5
    assert result.by_comparison >= least * result.orders


def test_versions_are_not_compared_without_the_other_ones() -> None:
    comparison = VersionComparison("new")
    key = stratum("book", 0.1)
    for second in range(20):
        evidence = {"new": {key: VersionEvidence(good=second, failed=second)}}
        comparison.update({"vm": evidence}, second * 1_000)
    assert comparison.compared == 0
    assert not comparison.has_enough()


def test_daemon_that_is_heard_again_is_not_counted_twice() -> None:
    comparison = VersionComparison("new")
    key = stratum("book", 0.1)
    evidence = {
        "old": {key: VersionEvidence(good=90)},
        "new": {key: VersionEvidence(good=5, failed=3)},
    }
    for second in range(10):
        reports = {"vm": evidence} if second % 2 else {}
        comparison.update(reports, second * 1_000)
    assert comparison.compared == 5
    assert comparison.finding({}) is None


def _heartbeat(node: str, sequence: int) -> Heartbeat:
    """Returns a heartbeat of a daemon that sees a version fail on one route."""
    book, read = stratum("book", 0.1), stratum("read", 0.1)
    counts = (
        (
            "old",
            (book, 9 * sequence, 0, 0),
            (read, 7 * sequence, 3 * sequence, 0),
        ),
        (
            "new",
            (book, sequence, sequence, 0),
            (read, 3 * sequence, sequence, 0),
        ),
    )
    return Heartbeat(
        node=node,
        incarnation="start-1",
        sequence=sequence,
        revision=1,
        current=True,
        store_reachable=True,
        ready=True,
        versions=tuple(
            VersionCount(
                service="s",
                version=version,
                order_revision=7,
                good=sum(good for _, good, _, _ in strata),
                failed=sum(failed for _, _, failed, _ in strata),
                slow=0,
                off_target=0,
                strata=strata,
            )
            for version, *rows in counts
            for strata in [tuple(rows)]
        ),
    )


def test_evidence_of_peers_on_one_route_suffices() -> None:
    peers = PeerTable("vm-1")
    comparison = VersionComparison("new")
    for second in range(1, 9):
        for node in ("vm-2", "vm-3"):
            data = msgspec.msgpack.encode(_heartbeat(node, second))
            heartbeat = msgspec.msgpack.decode(data, type=Heartbeat)
            peers.record(heartbeat, second * 1_000)
        comparison.update(dict(peers.strata("s", 7)), second * 1_000)
    totals, _ = peers.evidence("s", 7)
    assert "route" in (comparison.finding(totals) or "")
    assert not is_regression(*split_evidence(totals, "new"))


def test_strata_are_left_out_of_a_heartbeat_that_is_too_large() -> None:
    heartbeat = _heartbeat("vm-2", 1)
    rows = tuple((1 << 17 | n, 1 << 20, 1 << 20, 1 << 20) for n in range(80))
    count = msgspec.structs.replace(heartbeat.versions[0], strata=rows)
    heartbeat = msgspec.structs.replace(heartbeat, versions=(count,))
    data, _ = encode_heartbeat(heartbeat)
    assert len(data) <= 1_200
    decoded = msgspec.msgpack.decode(data, type=Heartbeat)
    assert decoded.versions[0].good == count.good
    assert decoded.versions[0].strata == ()

"""Compares the versions of a roll-out route by route.

Load pattern: a version fails on one route only, while another route or an old
upstream fails as usual for some seconds, which hides it in the sums. Or the
upstreams of a sound version have more load for a while than the others, and
more of its responses are slow. So responses are compared with those of the
other versions on the same route, at a similar load and in the same seconds, and
the differences are added up (the test of Cochran, Mantel and Haenszel).
Failures are compared at all loads together, as a version may fail at a high
load only, which the others do not have.
"""

from __future__ import annotations

import dataclasses
import math
import zlib
from collections.abc import Iterator, Mapping
from typing import TypeAlias

from trefoilpitch.gateway._rollouts import (
    VersionEvidence,
    is_regression,
    split_evidence,
)

# Evidence by stratum, see `stratum`, by version.
StratifiedEvidence: TypeAlias = Mapping[str, Mapping[int, VersionEvidence]]

# Requests per slot at which the load counts as medium and as high.
_MEDIUM_LOAD = 0.5
_HIGH_LOAD = 1.0
_LOAD_CLASSES = 4
# Strata of a version; its evidence must fit into a heartbeat.
_MAX_STRATA = 24
_ROUTE_MASK = 0xFFFF
# Length of the windows in which responses are compared.
_WINDOW_MS = 1_000
# How much of the other versions' responses of earlier windows counts where a
# window has too few: in the last steps most requests run on the target.
_CARRIED_SHARE = 0.9
# Least number of failures and of slow responses, least fractions of the
# target's responses, factors over what the others' fractions lead to expect,
# and numbers of standard errors.
_MIN_FAILURES = 4
_MIN_FAILED_SHARE = 0.08
_MIN_FAILED_FACTOR = 2.0
_MIN_FAILED_ERRORS = 3.0
_MIN_SLOW = 6
_MIN_SLOW_SHARE = 0.25
_MIN_SLOW_FACTOR = 2.0
_MIN_SLOW_ERRORS = 4.0
# Responses of the target at a load that the others do not have, and the
# fraction of slow ones that load alone does not explain.
_MIN_UNCOMPARED = 12
_UNCOMPARED_SLOW_SHARE = 0.6
# Responses of the target on a route that suffice to complete a roll-out early.
_ENOUGH_RESPONSES = 20
# Least responses of the other versions to compare a window's with.
_MIN_OTHERS = 4.0


def stratum(route: str, load: float) -> int:
    """Identifies the responses of one route at a similar load.

    Args:
        route: Name of the route.
        load: Requests per slot at the upstream.
    """
    load_class = (load >= _MEDIUM_LOAD) + (load >= _HIGH_LOAD)
    return _route_digest(route) * _LOAD_CLASSES + load_class


def _route_digest(route: str) -> int:
    return zlib.crc32(route.encode()) & _ROUTE_MASK


def _route_of(key: int) -> int:
    return key // _LOAD_CLASSES


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Counts:
    """Responses, and the bad ones among them."""

    total: float = 0.0
    bad: float = 0.0

    def plus(self, other: _Counts, share: float = 1.0) -> _Counts:
        return _Counts(
            total=self.total + share * other.total,
            bad=self.bad + share * other.bad,
        )


@dataclasses.dataclass(slots=True)
class _Difference:
    """What the target's responses differ by from the others' so far."""

    # The target's responses and bad ones.
    total: float = 0.0
    bad: float = 0.0
    # Bad ones if both versions were alike, and the variance.
    pooled: float = 0.0
    variance: float = 0.0
    # Bad ones at the rate of the others alone.
    usual: float = 0.0

    def add(self, target: _Counts, others: _Counts) -> None:
        """Adds the responses of one window."""
        total = target.total + others.total
        bad = target.bad + others.bad
        self.total += target.total
        self.bad += target.bad
        self.pooled += target.total * bad / total
        self.usual += target.total * others.bad / others.total
        if total > 1:
            self.variance += (
                target.total * others.total * bad * (total - bad)
            ) / (total * total * (total - 1))

    def merge(self, other: _Difference) -> None:
        """Adds those of another stratum."""
        self.total += other.total
        self.bad += other.bad
        self.pooled += other.pooled
        self.variance += other.variance
        self.usual += other.usual

    def is_worse(
        self, min_bad: int, min_share: float, factor: float, errors: float
    ) -> bool:
        """Returns whether the target is significantly worse."""
        return (
            self.bad >= min_bad
            and self.bad >= min_share * self.total
            and self.bad >= factor * self.usual
            and self.bad - self.pooled >= errors * math.sqrt(self.variance)
        )


class _Track:
    """The comparison of one kind of bad response, by stratum."""

    def __init__(self) -> None:
        self._differences: dict[int, _Difference] = {}
        self._carried: dict[int, _Counts] = {}

    def add(self, key: int, target: _Counts, others: _Counts) -> bool:
        """Adds the responses of a window.

        Returns:
            Whether there were others to compare the target's with.
        """
        carried = self._carried.get(key, _Counts())
        compared = others
        if others.total < 2 * target.total:
            compared = others.plus(carried)
        self._carried[key] = others.plus(carried, _CARRIED_SHARE)
        if compared.total < _MIN_OTHERS:
            return False
        if not target.total:
            return True
        difference = self._differences.setdefault(key, _Difference())
        difference.add(target, compared)
        return True

    def items(self) -> Iterator[tuple[int, _Difference]]:
        """Yields the differences by key."""
        yield from self._differences.items()

    def have_all(self, count: int) -> bool:
        """Returns whether so many responses were compared for each key."""
        return all(
            key in self._differences and self._differences[key].total >= count
            for key in self._carried
        )

    def all_routes(self) -> _Difference:
        """Returns the differences of all routes together."""
        total = _Difference()
        for difference in self._differences.values():
            total.merge(difference)
        return total


class VersionComparison:
    """Compares the target of one order with the other versions.

    It is given the daemons' totals again and again, and compares what is added
    to them from one window to the next.

    Args:
        target: The order's target.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._window_end_ms: int | None = None
        # By daemon start, version and stratum. The totals of a daemon that is
        # not heard for a while stay known.
        self._known: dict[tuple[str, str, int], VersionEvidence] = {}
        self._failures = _Track()
        self._slowness = _Track()
        # The target's responses that had no others at a similar load to be
        # compared with.
        self._uncompared = _Counts()

    def is_due(self, now_ms: int) -> bool:
        """Returns whether `update` would use the daemons' totals now."""
        return self._window_end_ms is None or now_ms >= self._window_end_ms

    def update(
        self, reports: Mapping[str, StratifiedEvidence], now_ms: int
    ) -> None:
        """Takes the totals of the daemons into account, once in each window.

        Args:
            reports: The totals, by start of a daemon.
            now_ms: The monotonic time.
        """
        if not self.is_due(now_ms):
            return
        self._window_end_ms = now_ms + _WINDOW_MS
        added: dict[int, tuple[VersionEvidence, VersionEvidence]] = {}
        for start, evidence in reports.items():
            for version, key, delta in self._added(start, evidence):
                target, others = added.get(
                    key, (VersionEvidence(), VersionEvidence())
                )
                if version == self._target:
                    target = target.merge(delta)
                else:
                    others = others.merge(delta)
                added[key] = target, others
        routes: dict[int, tuple[VersionEvidence, VersionEvidence]] = {}
        for key, (target, others) in added.items():
            route = _route_of(key)
            known = routes.get(route, (VersionEvidence(), VersionEvidence()))
            routes[route] = known[0].merge(target), known[1].merge(others)
            answered = _slow(target)
            compared = self._slowness.add(key, answered, _slow(others))
            if not compared:
                self._uncompared = self._uncompared.plus(answered)
        for route, (target, others) in routes.items():
            self._failures.add(route, _failed(target), _failed(others))

    def _added(
        self, start: str, evidence: StratifiedEvidence
    ) -> Iterator[tuple[str, int, VersionEvidence]]:
        """Yields what a daemon has added to its totals."""
        for version, strata in evidence.items():
            for key, total in strata.items():
                source = start, version, key
                known = self._known.get(source, VersionEvidence())
                self._known[source] = total
                yield version, key, _added(total, known)

    @property
    def compared(self) -> float:
        """Number of the target's responses that could be compared."""
        return self._slowness.all_routes().total

    def finding(self, totals: Mapping[str, VersionEvidence]) -> str | None:
        """Returns in what the target is worse; None if in nothing.

        Args:
            totals: Evidence by version of all daemons, also of those of the
                build before, which do not tell strata apart.
        """
        finding = self._finding()
        if finding is not None or self._covers(totals):
            return finding
        target, others = split_evidence(totals, self._target)
        if is_regression(target, others):
            return f"all routes: {target}; others: {others}"
        return None

    def _covers(self, totals: Mapping[str, VersionEvidence]) -> bool:
        """Whether the strata are known of most responses, and of both versions.

        Otherwise the totals decide.
        """
        target, others = split_evidence(totals, self._target)
        known = self.compared + self._uncompared.total
        return (
            2 * known >= target.good + target.slow
            and others.good + others.failed + others.slow >= _MIN_OTHERS
        )

    def _finding(self) -> str | None:
        for route, difference in self._failures.items():
            if _fails_more(difference):
                return (
                    f"route {route:04x}: {difference.bad:.0f} of"
                    f" {difference.total:.0f} failed,"
                    f" {difference.usual:.1f} usual"
                )
        if _fails_more(self._failures.all_routes()):
            return "more failures over all routes"
        slowness = (
            *self._slow_routes(),
            (0, self._slowness.all_routes()),
        )
        for route, difference in slowness:
            if difference.is_worse(
                _MIN_SLOW, _MIN_SLOW_SHARE, _MIN_SLOW_FACTOR, _MIN_SLOW_ERRORS
            ):
                return (
                    f"route {route:04x}: {difference.bad:.0f} of"
                    f" {difference.total:.0f} slow,"
                    f" {difference.usual:.1f} usual"
                )
        uncompared = self._uncompared
        if (
            uncompared.total >= _MIN_UNCOMPARED
            and uncompared.bad >= _UNCOMPARED_SLOW_SHARE * uncompared.total
        ):
            return (
                f"{uncompared.bad:.0f} of {uncompared.total:.0f} slow at a load"
                " that the others do not have"
            )
        return None

    def _slow_routes(self) -> Iterator[tuple[int, _Difference]]:
        """Yields the differences of each route, over all loads."""
        routes: dict[int, _Difference] = {}
        for key, difference in self._slowness.items():
            routes.setdefault(_route_of(key), _Difference()).merge(difference)
        yield from routes.items()

    def has_enough(self) -> bool:
        """Returns whether the target has enough responses on each route."""
        return self._failures.have_all(_ENOUGH_RESPONSES)


class VersionStrata:
    """This daemon's evidence by stratum since each service's last order."""

    def __init__(self) -> None:
        self._orders: dict[str, int] = {}
        self._evidence: dict[str, dict[str, dict[int, VersionEvidence]]] = {}

    def record(
        self,
        service: str,
        order_revision: int,
        version: str,
        key: int,
        evidence: VersionEvidence,
    ) -> None:
        """Adds the evidence of one response."""
        if self._orders.get(service) != order_revision:
            self._orders[service] = order_revision
            self._evidence[service] = {}
        strata = self._evidence[service].setdefault(version, {})
        if key in strata or len(strata) < _MAX_STRATA:
            known = strata.get(key, VersionEvidence())
            strata[key] = known.merge(evidence)

    def own(self, service: str, order_revision: int) -> StratifiedEvidence:
        """Returns the evidence on an order, by version."""
        if self._orders.get(service) != order_revision:
            return {}
        return self._evidence[service]


def _fails_more(difference: _Difference) -> bool:
    return difference.is_worse(
        _MIN_FAILURES,
        _MIN_FAILED_SHARE,
        _MIN_FAILED_FACTOR,
        _MIN_FAILED_ERRORS,
    )


def _added(total: VersionEvidence, known: VersionEvidence) -> VersionEvidence:
    """Returns what was added to a total."""
    return VersionEvidence(
        good=max(0, total.good - known.good),
        failed=max(0, total.failed - known.failed),
        slow=max(0, total.slow - known.slow),
    )


def _failed(evidence: VersionEvidence) -> _Counts:
    total = evidence.good + evidence.failed + evidence.slow
    return _Counts(total=total, bad=evidence.failed)


def _slow(evidence: VersionEvidence) -> _Counts:
    return _Counts(total=evidence.good + evidence.slow, bad=evidence.slow)

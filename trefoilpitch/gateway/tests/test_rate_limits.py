"""What daemons know of the rates that upstreams take, and their shares."""

from __future__ import annotations

import dataclasses

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet.tests.fakes import upstream
from trefoilpitch.gateway._rate_limits import RateLimits
from trefoilpitch.gateway._upstream_digest import run_digest

_ENTRY = upstream("u")
_RUN = run_digest(_ENTRY)
_EVEN = {f"vm-{number}": 4 for number in range(9)}


class _Daemons:
    """The rate limits of several daemons with the same clock."""

    def __init__(self, demands: dict[str, int]) -> None:
        self.clock = ManualClock(100_000)
        self.demands = demands
        self.limits = {
            name: RateLimits(self.clock, name, lambda service: self.demands)
            for name in demands
        }

    def announce(self, per_s: float | None) -> None:
        for limits in self.limits.values():
            limits.announce(_ENTRY, per_s)

    def send_all(self) -> int:
        """Sends what is permitted now, at all daemons."""
        sent = 0
        for limits in self.limits.values():
            while limits.allows(_ENTRY):
                limits.record_sent(_ENTRY)
                sent += 1
        return sent


def _limits() -> tuple[RateLimits, ManualClock]:
    daemons = _Daemons({"vm-0": 1})
    return daemons.limits["vm-0"], daemons.clock


def test_upstream_without_an_announcement_is_not_limited() -> None:
    limits, _ = _limits()
    limits.announce(_ENTRY, None)
    assert limits.allows(_ENTRY)
    assert limits.own_rate_per_s(_ENTRY) is None
    assert limits.reports() == {}


@pytest.mark.parametrize(
    ("per_s", "expected"),
    [(1.8, 7), (5.0, 20), (0.3, 1), (0.0, 1), (17.0, 68), (100.0, 100)],
)
def test_shares_of_all_daemons_add_up_to_the_limit(
    per_s: float, expected: int
) -> None:
    daemons = _Daemons(_EVEN)
    daemons.announce(per_s)
    assert daemons.send_all() == expected


@pytest.mark.parametrize("per_s", [0.05, 0.5, 1.8, 5.0, 100.0])
def test_limit_is_used_and_not_exceeded_over_time(per_s: float) -> None:
    daemons = _Daemons(_EVEN)
    daemons.announce(per_s)
    sent = 0
    for _ in range(4_000):
        sent += daemons.send_all()
        daemons.clock.advance(10)
    # At least one request in ten seconds is permitted.
    assert sent == pytest.approx(40 * max(0.1, per_s), rel=0.06, abs=5)


def test_all_of_a_limit_goes_to_the_daemons_that_need_it() -> None:
    daemons = _Daemons({**dict.fromkeys(_EVEN, 0), "vm-3": 5})
    daemons.announce(2.0)
    assert daemons.limits["vm-3"].own_rate_per_s(_ENTRY) == pytest.approx(2.0)


def test_share_that_moves_is_not_used_twice_in_a_window() -> None:
    daemons = _Daemons({"vm-0": 9, "vm-1": 0})
    daemons.announce(2.0)
    assert daemons.send_all() == 8
    daemons.demands = {"vm-0": 0, "vm-1": 9}
    daemons.clock.advance(1_000)
    assert daemons.send_all() == 0
    daemons.clock.advance(4_000)
    assert daemons.send_all() == 8


def test_announcements_reach_peers() -> None:
    daemons = _Daemons({"vm-0": 1, "vm-1": 1})
    heard, other = daemons.limits.values()
    heard.announce(_ENTRY, 1.7)
    daemons.clock.advance(300)
    assert heard.reports() == {_RUN: (1_700, 300)}
    other.adopt(heard.reports())
    assert other.limit_per_s(_ENTRY) == 1.7
    # Only the daemon that has heard it reports it.
    assert other.reports() == {}
    daemons.clock.advance(300)
    other.announce(_ENTRY, None)
    heard.adopt(other.reports())
    assert heard.limit_per_s(_ENTRY) is None
    assert heard.reports() == {}


def test_older_announcement_of_a_peer_is_ignored() -> None:
    limits, _ = _limits()
    limits.announce(_ENTRY, 2.0)
    limits.adopt({_RUN: (None, 50)})
    assert limits.limit_per_s(_ENTRY) == 2.0
    assert limits.reports() == {_RUN: (2_000, 0)}


def test_limit_lasts_until_a_response_says_otherwise() -> None:
    limits, clock = _limits()
    limits.announce(_ENTRY, 1.0)
    clock.advance(600_000)
    limits.retain([_ENTRY])
    assert limits.limit_per_s(_ENTRY) == 1.0
    assert limits.reports() == {}


def test_upstream_that_starts_again_has_no_limit() -> None:
    limits, _ = _limits()
    limits.announce(_ENTRY, 1.0)
    restarted = dataclasses.replace(_ENTRY, started_wall_ms=99)
    assert limits.limit_per_s(restarted) is None
    limits.retain([restarted])
    assert limits.count == 0


def test_reports_are_the_latest_ones() -> None:
    limits, clock = _limits()
    for number in range(40):
        limits.announce(upstream(f"u{number}"), 1.0)
        clock.advance(10)
    runs = [run_digest(upstream(f"u{number}")) for number in range(8, 40)]
    assert sorted(limits.reports()) == sorted(runs)

"""Property tests of the shares of an upstream's places."""

from __future__ import annotations

import statistics

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpitch.gateway._room_shares import (
    expected_demands,
    leveled_demands,
    share,
)

_names = st.sampled_from([f"vm-{number}" for number in range(90)])
_demands = st.dictionaries(
    _names,
    st.one_of(st.just(0), st.integers(0, 4), st.integers(0, 500)),
    min_size=1,
    max_size=90,
)
_upstreams = st.sampled_from(["u-1", "u-2", "i-0123456789"])
_places = st.integers(0, 70)
_property = settings(derandomize=True, max_examples=300, deadline=None)


def _shares(
    upstream_id: str, places: int, demands: dict[str, int]
) -> dict[str, int]:
    return {name: share(upstream_id, places, demands, name) for name in demands}


@_property
@given(_upstreams, _places, _demands)
def test_equal_views_share_all_places_and_no_more(
    upstream_id: str, places: int, demands: dict[str, int]
) -> None:
    shares = _shares(upstream_id, places, demands)
    assert sum(shares.values()) == places
    assert min(shares.values()) >= 0


@_property
@given(_upstreams, _places, _demands)
def test_no_place_is_idle_while_a_daemon_has_demand(
    upstream_id: str, places: int, demands: dict[str, int]
) -> None:
    """With equal shares, a daemon with a waiting request could have none."""
    shares = _shares(upstream_id, places, demands)
    used = sum(min(shares[name], demands[name]) for name in demands)
    assert used == min(places, sum(demands.values()))


@_property
@given(_upstreams, _places, _demands, _names, st.integers(1, 50))
def test_share_grows_with_the_own_demand(
    upstream_id: str,
    places: int,
    demands: dict[str, int],
    name: str,
    more: int,
) -> None:
    before = demands | {name: demands.get(name, 0)}
    after = before | {name: before[name] + more}
    assert share(upstream_id, places, after, name) >= share(
        upstream_id, places, before, name
    )
    for other in demands.keys() - {name}:
        assert share(upstream_id, places, after, other) <= share(
            upstream_id, places, before, other
        )


@_property
@given(_upstreams, _places, _demands)
def test_shares_do_not_depend_on_the_order_of_the_heartbeats(
    upstream_id: str, places: int, demands: dict[str, int]
) -> None:
    reordered = dict(sorted(demands.items(), reverse=True))
    assert _shares(upstream_id, places, demands) == _shares(
        upstream_id, places, reordered
    )


@_property
@given(_upstreams, _places, _demands)
def test_contested_share_is_proportional_but_for_one_place(
    upstream_id: str, places: int, demands: dict[str, int]
) -> None:
    total = sum(demands.values())
    if total <= places:
        return
    for name, demand in demands.items():
        own = share(upstream_id, places, demands, name)
        assert own <= demand
        assert own >= places * demand / total - 2 - places / total
        if not demand:
            assert own == 0


def test_shares_of_many_upstreams_are_proportional() -> None:
    """One daemon's rounding is not the same at all upstreams."""
    demands = {f"vm-{number}": 1 + number % 3 for number in range(83)}
    for name in ("vm-0", "vm-1", "vm-2"):
        mean = statistics.fmean(
            share(f"u-{number}", 16, demands, name) for number in range(2_000)
        )
        expected = 16 * demands[name] / sum(demands.values())
        assert abs(mean / expected - 1) < 0.15


def test_a_daemons_change_moves_few_places_of_others() -> None:
    """Views of different age must not disagree on all places."""
    before = {f"vm-{number}": 1 + number % 4 for number in range(83)}
    after = before | {f"vm-{number}": 0 for number in range(8)}
    moved = 0
    for number in range(50):
        first = _shares(f"u-{number}", 16, before)
        second = _shares(f"u-{number}", 16, after)
        moved += sum(abs(first[n] - second[n]) for n in before) // 2
    # A tenth of the daemons has lost its demand.
    assert moved <= 50 * 16 * 0.15


def test_member_that_reports_no_demand_is_expected_to_have_the_mean() -> None:
    """As one of the previous build, or beyond a partition, takes its part."""
    members = {"a", "b", "c", "d"}
    heard = {"a": 9, "b": 0, "gone": 50}
    assert expected_demands(members, heard) == {"a": 9, "b": 0, "c": 5, "d": 5}
    assert expected_demands(members, {}) == dict.fromkeys(members, 1)


def test_partitioned_halves_stay_within_the_places() -> None:
    """Each half hears its own daemons only, and knows all members."""
    members = {f"vm-{number}" for number in range(84)}
    for upstream in range(20):
        sent = 0
        for half in (range(42), range(42, 84)):
            heard = {f"vm-{number}": 1 + number % 3 for number in half}
            demands = expected_demands(members, heard)
            sent += sum(share(f"u-{upstream}", 16, demands, n) for n in heard)
        assert sent <= 16 + 6


def test_similar_demands_are_equal_and_others_are_kept() -> None:
    """Shares that follow noise would move while requests still run."""
    even = {"a": 2, "b": 5, "c": 0, "d": 3}
    assert leveled_demands(even) == dict.fromkeys(even, 3)
    uneven = {"a": 100, "b": 80, "c": 0} | {f"d-{n}": 1 for n in range(6)}
    assert leveled_demands(uneven) == uneven | {"c": 1}
    assert leveled_demands({}) == {}

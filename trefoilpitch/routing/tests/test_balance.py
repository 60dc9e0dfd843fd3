from __future__ import annotations

import dataclasses
import random
from collections import Counter

import pytest

from trefoilpitch.routing import (
    LoadReport,
    NoEligibleUpstreamError,
    UpstreamsFullError,
    UpstreamState,
    choose_upstream,
    followed_upstreams,
    routing_table,
    subset_size,
    utilisation,
)
from trefoilpitch.routing.tests import examples

_TABLE = routing_table(examples.BASE)


def _report(running: int, age_ms: int = 100) -> LoadReport:
    return LoadReport(running=running, waiting=0, capacity=10, age_ms=age_ms)


def _choices(
    states: dict[str, UpstreamState], **options: object
) -> Counter[str]:
    rng = random.Random(7)
    return Counter(
        choose_upstream(
            _TABLE,
            examples.CHEAP_1,
            states,
            rng,
            **options,  # type: ignore[arg-type]
        )
        .unwrap()
        .name
        for _ in range(600)
    )


def test_out_of_service_and_leaving_upstreams_get_no_requests() -> None:
    table = routing_table(
        examples.changed_configuration(
            failure_domains_out=frozenset({"north", "west"})
        )
    )
    states = examples.states()
    states["engine-2"] = UpstreamState(name="engine-2", leaving=True)
    rng = random.Random(1)
    chosen = {
        choose_upstream(table, examples.CHEAP_1, states, rng).unwrap().name
        for _ in range(50)
    }
    assert chosen == {"engine-5"}


def test_full_and_missing_upstreams_give_different_errors() -> None:
    rng = random.Random(1)
    cold = examples.states(cold=True, allowance=0)
    full = choose_upstream(_TABLE, examples.CHEAP_1, cold, rng)
    assert isinstance(full.failure(), UpstreamsFullError)
    missing = choose_upstream(_TABLE, examples.CHEAP_1, {}, rng)
    assert isinstance(missing.failure(), NoEligibleUpstreamError)


def test_cold_upstream_is_chosen_only_within_its_allowance() -> None:
    states = examples.states(in_flight=9)
    states["engine-0"] = UpstreamState(name="engine-0", cold=True)
    assert "engine-0" not in _choices(states)


def test_in_flight_change_corrects_a_delayed_report() -> None:
    upstream = examples.engine(0)
    state = UpstreamState(
        name=upstream.name, in_flight=6, in_flight_change=5, report=_report(2)
    )
    assert utilisation(upstream, state) == pytest.approx(0.7)
    expired = dataclasses.replace(state, report=_report(0, age_ms=60_000))
    assert utilisation(upstream, expired) == pytest.approx(0.6)


def test_upstream_that_reported_idle_does_not_get_every_request() -> None:
    states = examples.states(report=_report(5))
    states["engine-0"] = UpstreamState(name="engine-0", report=_report(0))
    share = _choices(states)["engine-0"] / 600
    assert 1 / 6 < share < 0.4


def test_cache_holder_is_preferred_only_below_the_load_bound() -> None:
    states = examples.states(report=_report(6))
    assert _choices(states, cache_holders={"engine-3"})["engine-3"] == 600
    states["engine-3"] = UpstreamState(name="engine-3", report=_report(9))
    assert _choices(states, cache_holders={"engine-3"})["engine-3"] == 0


def test_cache_holder_leaves_work_to_a_cold_upstream_with_credit() -> None:
    states = examples.states(report=_report(6))
    cold = UpstreamState(name="engine-1", cold=True, allowance=1)
    states["engine-1"] = cold
    chosen = _choices(states, cache_holders={"engine-3"})
    assert chosen["engine-1"] > 600 / len(states)
    states["engine-1"] = dataclasses.replace(cold, allowance=0)
    chosen = _choices(states, cache_holders={"engine-3"})
    assert chosen["engine-3"] == 600


def test_requests_spill_over_from_an_overloaded_local_domain() -> None:
    states = examples.states(report=_report(5))
    assert set(_choices(states, local_domain="west")) == {
        "engine-1",
        "engine-4",
    }
    for name in ("engine-1", "engine-4"):
        states[name] = UpstreamState(name=name, report=_report(9))
    spilled = _choices(states, local_domain="west")
    assert spilled["engine-1"] + spilled["engine-4"] < 100


def test_retry_avoids_excluded_upstreams_unless_no_other_is_left() -> None:
    states = examples.states(2)
    assert set(_choices(states, excluded={"engine-0"})) == {"engine-1"}
    both = {"engine-0", "engine-1"}
    assert set(_choices(states, excluded=both)) == both


def test_subset_spans_the_failure_domains_and_is_stable() -> None:
    engines = [examples.engine(index) for index in range(120)]
    before = followed_upstreams("node-1", engines, 12)
    domains = Counter(upstream.failure_domain for upstream in before)
    assert set(domains.values()) == {4}
    remaining = [up for up in engines if up.name != before[3].name]
    after = followed_upstreams("node-1", remaining, 12)
    assert len(set(before) - set(after)) == 1
    assert before != followed_upstreams("node-2", engines, 12)


@pytest.mark.parametrize(("nodes", "upstreams"), [(6, 120), (39, 400)])
def test_every_upstream_is_followed_by_several_nodes(
    nodes: int, upstreams: int
) -> None:
    engines = [examples.engine(index) for index in range(upstreams)]
    size = subset_size(upstreams, nodes)
    followers = Counter(
        upstream.name
        for number in range(nodes)
        for upstream in followed_upstreams(f"node-{number}", engines, size)
    )
    assert min(followers[engine.name] for engine in engines) >= 2

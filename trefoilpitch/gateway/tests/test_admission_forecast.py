"""Decisions on waiting, by what a daemon knows of the load."""

from __future__ import annotations

import random
from collections.abc import Mapping

import pytest

from trefoilpitch.gateway._admission_forecast import (
    Admit,
    Refuse,
    Tolerance,
    Wait,
    decide,
    forecast,
)
from trefoilpitch.gateway._refusals import RETRY_SOON_MS
from trefoilpitch.gateway._service_load import ServiceLoad
from trefoilpitch.gateway._waiting import WaitTerms
from trefoilpitch.gateway._workspace_rates import WorkspaceRates

_NOW_MS = 50_000


def _load(
    *,
    in_flight: int = 100,
    places_per_s: float = 10.0,
    arrivals_per_s: Mapping[int, float] | None = None,
    measured_ms: int = _NOW_MS,
) -> ServiceLoad:
    return ServiceLoad(
        measured_ms=measured_ms,
        capacity=100,
        in_flight=in_flight,
        share=None,
        places_per_s=places_per_s,
        arrivals_per_s=arrivals_per_s or {},
    )


def _terms(priority: int = 1, *, excess: bool = False) -> WaitTerms:
    return WaitTerms(
        priority=priority,
        workspace="w",
        until_ms=_NOW_MS + 4_000,
        due_ms=_NOW_MS + 2_000,
        excess=excess,
    )


def _decide(
    load: ServiceLoad, terms: WaitTerms, ahead: int, tolerance: float = 1.0
) -> Admit | Wait | Refuse:
    expected = forecast(load, terms, ahead=ahead, now_ms=_NOW_MS)
    return decide(
        load,
        expected,
        terms,
        random.Random(1),
        now_ms=_NOW_MS,
        tolerance=tolerance,
    )


@pytest.mark.parametrize(
    ("ahead", "waits"), [(0, True), (39, True), (40, False)]
)
def test_request_waits_while_it_is_expected_to_begin_before_its_deadline(
    ahead: int, waits: bool
) -> None:
    decision = _decide(_load(), _terms(), ahead)
    assert isinstance(decision, Wait) == waits


def test_less_urgent_requests_are_refused_first() -> None:
    """More urgent ones that arrive meanwhile overtake them."""
    load = _load(arrivals_per_s={0: 4.0, 1: 4.0, 2: 4.0})
    waits = [isinstance(_decide(load, _terms(p), 18), Wait) for p in range(3)]
    assert waits == [True, True, False]


def test_workspace_in_excess_is_refused_before_all_others() -> None:
    load = _load(arrivals_per_s={0: 3.0, 1: 3.0, 2: 3.0})
    assert isinstance(_decide(load, _terms(2), 5), Wait)
    assert isinstance(_decide(load, _terms(0, excess=True), 5), Refuse)


def test_nothing_is_refused_while_half_of_the_capacity_is_free() -> None:
    load = _load(in_flight=49, places_per_s=0.1)
    assert isinstance(_decide(load, _terms(), 100), Admit)


@pytest.mark.parametrize(
    "load", [_load(places_per_s=0.0), _load(measured_ms=_NOW_MS - 1_001)]
)
def test_without_a_recent_forecast_requests_wait(load: ServiceLoad) -> None:
    assert isinstance(_decide(load, _terms(), 1_000), Wait)


def test_response_in_progress_is_never_refused() -> None:
    terms = WaitTerms(
        priority=9, workspace=None, until_ms=_NOW_MS + 1, started=True
    )
    assert isinstance(_decide(_load(), terms, 1_000), Wait)


def test_refused_callers_can_come_back_and_do_so_at_different_times() -> None:
    """Callers ignore a time above a third of what they have left."""
    times = set()
    for seed in range(100):
        terms = _terms()
        expected = forecast(_load(), terms, ahead=200, now_ms=_NOW_MS)
        decision = decide(
            _load(), expected, terms, random.Random(seed), now_ms=_NOW_MS
        )
        assert isinstance(decision, Refuse)
        times.add(decision.retry_after_ms)
    assert min(times) >= RETRY_SOON_MS
    assert max(times) <= 4_000 / 3
    assert max(times) - min(times) > 300
    assert len(times) > 80


def test_refusals_do_not_end_with_the_next_free_place() -> None:
    """The load wave would otherwise turn them on and off with each request."""
    tolerance = Tolerance()
    assert tolerance.share(_NOW_MS) == 1.0
    tolerance.record_refused(_NOW_MS)
    assert isinstance(_decide(_load(), _terms(), 30, 1.0), Wait)
    share = tolerance.share(_NOW_MS)
    assert isinstance(_decide(_load(), _terms(), 30, share), Refuse)
    assert tolerance.share(_NOW_MS + 1_100) == 1.0


@pytest.mark.parametrize(("factor", "excess"), [(1.6, 0.02), (7.5, 0.6)])
def test_only_a_workspace_far_over_its_usual_rate_is_in_excess(
    factor: float, excess: float
) -> None:
    """A wave of 55 % is no excess; 7.5 times the usual rate is, in part."""
    rng = random.Random(1)
    rates = WorkspaceRates(0)
    found = {"usual": 0, "hot": 0}
    sent = 0
    for now_ms in range(26_000):
        hot = now_ms >= 20_000
        if rng.random() < 0.01:
            found["usual"] += rates.record("usual", now_ms)
        if rng.random() < 0.01 * (factor if hot else 1.0):
            is_excess = rates.record("hot", now_ms)
            sent += hot
            found["hot"] += is_excess and hot
    assert found["usual"] <= 2
    share = found["hot"] / sent
    assert share <= excess if factor < 2 else share >= excess / 2

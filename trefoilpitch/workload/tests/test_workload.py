"""Averages, estimates and remaining work under changing workloads."""

from __future__ import annotations

import random

import pytest

from trefoilpitch.workload import (
    MeasuredWork,
    RemainingWork,
    RequestSize,
    SpeedAverage,
    WorkEstimate,
    WorkEstimator,
    WorkKind,
)

_KIND = WorkKind(service="s", route="r", model="m")


def test_speeds_are_told_apart_by_rare_and_changing_reports() -> None:
    """Guards against taking one report for the speed of an upstream.

    Work takes 2.5 times as long for 0.15 of the time, so that one report of a
    fast upstream is like one of a slow upstream.
    """
    rng = random.Random(1)
    found = []
    for usual in (83, 182):
        average = SpeedAverage()
        for number in range(12):
            slow = 2.5 if rng.random() < 0.15 else 1.0
            average.record_report(round(usual * slow), number * 9_000)
        found.append(average.duration(12 * 9_000))
    assert found[0] < 1.3
    assert found[1] > 1.6


def test_old_reports_yield_to_the_long_run_mean() -> None:
    average = SpeedAverage()
    assert average.duration(0) == 1.0
    for _ in range(30):
        average.record_measured(2.0)
    average.record_report(50, 1_000)
    recent = average.duration(1_000)
    assert recent < 1.7
    assert average.duration(60_000) == pytest.approx(1.92, abs=0.05)
    assert average.age_ms(3_000) == 2_000


def _finish(
    estimator: WorkEstimator, size: RequestSize, total_ms: float, now_ms: int
) -> None:
    measured = MeasuredWork(first_ms=total_ms / 4, total_ms=total_ms)
    estimator.record(_KIND, size, measured, now_ms)


def test_sizes_of_a_kind_are_told_apart() -> None:
    """Guards against one mean for requests that differ tenfold."""
    estimator = WorkEstimator()
    small = RequestSize(prompt_tokens=200, output_tokens=50)
    large = RequestSize(prompt_tokens=12_000, output_tokens=400)
    assert estimator.mean_ms("s") is None
    for number in range(40):
        _finish(estimator, small, 100.0, number * 200)
        _finish(estimator, large, 1_000.0, number * 200)
    for size, expected_ms in ((small, 100.0), (large, 1_000.0)):
        estimate = estimator.estimate(_KIND, size)
        assert estimate.total_ms == pytest.approx(expected_ms, rel=0.1)
        assert estimate.first_ms == pytest.approx(expected_ms / 4, rel=0.1)
    assert estimator.mean_ms("s") == pytest.approx(550.0, rel=0.2)


@pytest.mark.parametrize("gap_ms", [50, 500, 2_000])
def test_shift_of_the_workload_shows_within_ten_seconds(gap_ms: int) -> None:
    estimator = WorkEstimator()
    size = RequestSize(output_tokens=100)
    for number in range(100):
        _finish(estimator, size, 200.0, number * gap_ms)
    for number in range(100, 100 + 10_000 // gap_ms):
        _finish(estimator, size, 800.0, number * gap_ms)
    assert estimator.estimate(_KIND, size).total_ms > 550.0


def test_time_is_corrected_for_speed_and_concurrent_requests() -> None:
    """Guards against learning that slow upstreams' requests are large."""
    estimator = WorkEstimator()
    size = RequestSize(output_tokens=100)
    rng = random.Random(1)
    assert estimator.slowdown("s") is None
    for number in range(300):
        utilization = rng.uniform(0.2, 0.9)
        duration = rng.choice((0.8, 1.8))
        took_ms = 200.0 * duration * (1.0 + utilization)
        took_ms *= rng.uniform(0.7, 1.3)
        measured = MeasuredWork(
            first_ms=took_ms / 4,
            total_ms=took_ms,
            duration=duration,
            utilization=utilization,
        )
        estimator.record(_KIND, size, measured, number * 100)
    assert estimator.slowdown("s") == pytest.approx(1.0, abs=0.3)
    expected_ms = estimator.estimate(_KIND, size).total_ms
    assert expected_ms == pytest.approx(200.0, rel=0.1)


def test_memory_is_bounded() -> None:
    estimator = WorkEstimator()
    for number in range(3_000):
        kind = WorkKind(service="s", route=f"r{number}")
        measured = MeasuredWork(first_ms=1.0, total_ms=1.0)
        estimator.record(kind, RequestSize(), measured, number)
    assert len(estimator._ratios) <= 1_024


def test_work_shrinks_with_time_and_events_and_never_below_its_spread() -> None:
    work = RemainingWork()
    estimate = WorkEstimate(
        first_ms=200.0,
        first_spread_ms=50.0,
        total_ms=1_000.0,
        total_spread_ms=200.0,
    )
    size = RequestSize(prompt_tokens=500, output_tokens=100)
    ticket = work.begin("u", size, estimate, duration=2.0, now_ms=0)
    assert work.work_ms("u", 0) == pytest.approx(1_000.0)
    assert work.work_ms("u", 200) == pytest.approx(900.0)
    # The response has not begun, whatever the time.
    assert work.work_ms("u", 9_000) == pytest.approx(800.0)
    ticket.events = 5
    assert work.work_ms("u", 9_000) == pytest.approx(400.0)
    ticket.events = 50
    assert work.work_ms("u", 9_000) == pytest.approx(100.0)
    assert work.memory_tokens("u") == 600
    work.end(ticket)
    work.end(ticket)
    assert (work.count("u"), work.work_ms("u", 9_000)) == (0, 0.0)

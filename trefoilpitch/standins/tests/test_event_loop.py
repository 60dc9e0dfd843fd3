from __future__ import annotations

import asyncio
import contextlib
import pathlib
import time

import pytest

from trefoilpitch.standins import (
    EventLoopClock,
    UndelayedEventLoop,
    run_undelayed,
)


def _report(path: pathlib.Path, queued_ms: int) -> None:
    path.write_text(f"1000 {queued_ms * 1_000_000} 7\n")


def test_time_in_run_queues_does_not_pass(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "schedstat"
    _report(path, 0)
    with contextlib.closing(UndelayedEventLoop(path)) as loop:
        before_s = loop.time()
        _report(path, 3_600_000)
        assert before_s - 3_600 <= loop.time() < before_s - 3_500


def test_preemption_between_the_readings_is_left_out(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "schedstat"
    _report(path, 0)
    readings_s = iter([100.0, 160.0])

    def preempted() -> float:
        _report(path, 60_000)
        return next(readings_s)

    with contextlib.closing(UndelayedEventLoop(path)) as loop:
        monkeypatch.setattr(time, "monotonic", preempted)
        now_s = loop.time()
        monkeypatch.undo()
    assert now_s == 100.0


def test_blocking_calls_and_waits_count() -> None:
    async def scenario() -> None:
        clock = EventLoopClock()
        started_ms = clock.now_ms()
        time.sleep(0.05)
        blocked_ms = clock.now_ms()
        await asyncio.sleep(0.05)
        assert blocked_ms - started_ms >= 49
        assert clock.now_ms() - blocked_ms >= 49

    run_undelayed(scenario)


def test_time_is_monotonic_without_a_report(tmp_path: pathlib.Path) -> None:
    with contextlib.closing(UndelayedEventLoop(tmp_path / "missing")) as loop:
        before_s = time.monotonic()
        now_s = loop.time()
        assert before_s <= now_s <= time.monotonic()

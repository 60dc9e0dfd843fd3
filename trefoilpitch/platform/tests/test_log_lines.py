"""The log lines that docs/OPERATIONS.md describes."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable
from typing import Any

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.gateway import ExchangeError, JsonLineHandler, log_event
from trefoilpitch.platform.tests.harness import Fleet, running_fleet, wait_until
from trefoilpitch.standins import WorkerFault, run_undelayed, send


def _lines(
    scenario: Callable[[Fleet], Any], plain: int = 1, models: int = 0
) -> list[dict[str, Any]]:
    """Runs a scenario against a daemon and returns the lines that it logs."""
    reader, writer = os.pipe()
    clock = ManualClock()
    handler = JsonLineHandler(clock.now_ms, clock.wall_ms, "vm-1", writer)

    async def run_scenario() -> None:
        async with asyncio.timeout(60), running_fleet(plain, models) as fleet:
            await scenario(fleet)

    try:
        with handler.applicationbound():
            run_undelayed(run_scenario)
        os.set_blocking(reader, False)
        return [
            json.loads(line)
            for line in os.read(reader, 1 << 20).split(b"\n")
            if line
        ]
    finally:
        os.close(reader)
        os.close(writer)


def _of_request(
    lines: list[dict[str, Any]], event: str, request_id: str = "id-1"
) -> list[dict[str, Any]]:
    return [
        line
        for line in lines
        if line["event"] == event and line.get("id") == request_id
    ]


def test_refused_request_logs_its_reason() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.send_request("/once/x")
        await fleet.send_request(
            "/plain/x", request_id="id-2", Api_Key="unknown"
        )

    lines = _lines(scenario, plain=0)
    (end,) = _of_request(lines, "request")
    assert end["outcome"] == "gave_up_503"
    assert end["execution"] == "not_run"
    assert end["trail"] == ["no upstream in service"]
    (rejected,) = _of_request(lines, "rejected", "id-2")
    assert rejected["reason"] == "unknown_key"
    assert rejected["configuration"] == 1
    assert rejected["current"] is True
    assert any(
        line["event"] == "view_changed" and line["key"] == "op/config"
        for line in lines
    )


def test_failed_request_logs_each_attempt() -> None:
    async def scenario(fleet: Fleet) -> None:
        for worker in fleet.workers.values():
            worker.faults.append(WorkerFault.LOST)
        await fleet.send_request("/plain/x")

    lines = _lines(scenario, plain=2)
    (end,) = _of_request(lines, "request")
    assert end["outcome"] == "gave_up_502"
    assert end["execution"] == "unknown"
    attempts = _of_request(lines, "attempt_failed")
    assert len(attempts) == 2
    assert {line["upstream"] for line in attempts} == {"plain-0", "plain-1"}
    assert {line["kind"] for line in attempts} == {"connection_lost"}


def test_truncated_stream_logs_its_last_event() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.workers["model-0"].faults.extend([WorkerFault.CUT] * 3)
        with pytest.raises(ExchangeError):
            await fleet.send_request("/stream/x", X_Trefoilpitch_Model="*")

    lines = _lines(scenario, plain=0, models=1)
    (end,) = _of_request(lines, "request")
    assert end["outcome"] == "broken_off"
    assert end["last_event_id"] == 3
    assert [
        line["event_id"] for line in _of_request(lines, "attempt_failed")
    ] == [
        1,
        2,
        3,
    ]


def test_disconnected_caller_is_logged_as_cancelled() -> None:
    async def scenario(fleet: Fleet) -> None:
        worker = fleet.workers["plain-0"]
        worker.faults.append(WorkerFault.HANG)
        with await fleet.open_connection() as connection:
            send(connection, "/once/x")
            await wait_until(lambda: worker.runs)
        await wait_until(lambda: worker.abandoned)

    (end,) = _of_request(_lines(scenario), "request")
    assert end["outcome"] == "cancelled"


def test_lines_over_the_rate_limit_are_dropped_and_counted() -> None:
    reader, writer = os.pipe()
    clock = ManualClock()
    handler = JsonLineHandler(clock.now_ms, clock.wall_ms, "vm", writer)
    with handler.applicationbound():
        for number in range(3_000):
            log_event("flood", number=number)
        assert handler.left_out == 2_600
        clock.advance(1_000)
        log_event("after")
    os.close(writer)
    with os.fdopen(reader, "rb") as stream:
        lines = [json.loads(line) for line in stream]
    assert lines[-1]["event"] == "after"
    assert lines[-1]["left_out"] == 2_600
    assert len(lines) == 401


def test_log_reader_that_stops_reading_does_not_block_the_daemon() -> None:
    reader, writer = os.pipe()
    clock = ManualClock()
    handler = JsonLineHandler(clock.now_ms, clock.wall_ms, "vm", writer)
    with handler.applicationbound():
        for _ in range(3_000):
            clock.advance(20)
            log_event("flood", text="x" * 200)
    assert handler.left_out > 1_000
    os.close(reader)
    os.close(writer)

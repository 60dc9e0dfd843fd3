"""Streams of sound upstreams that fall silent for about a second."""

from __future__ import annotations

import asyncio

import pytest

from trefoilpitch.clock import SystemClock
from trefoilpitch.gateway import ResponseHead
from trefoilpitch.platform.tests.harness import (
    Fleet,
    run,
    running_fleet,
    stream_routes,
    wait_until,
)
from trefoilpitch.standins import WorkerFault, config_document

_STREAMS = 6
_GAP_MS = 200
_EVENTS = 5


async def _silence(fleet: Fleet, name: str, duration_s: float) -> None:
    speaking = fleet.workers[name].speaking
    speaking.clear()
    await asyncio.sleep(duration_s)
    speaking.set()


async def _streams(fleet: Fleet) -> list[tuple[ResponseHead, bytes]]:
    """Sends streams and waits until the first model has started all."""
    worker = fleet.workers["model-0"]
    worker.response_delay_ms = _GAP_MS // 4
    worker.events = _EVENTS
    tasks = [
        asyncio.create_task(
            fleet.send_request("/stream/x", request_id=f"id-{number}")
        )
        for number in range(_STREAMS)
    ]
    await wait_until(lambda: len(worker.runs) == _STREAMS)
    await asyncio.sleep(_GAP_MS / 2 / 1_000)
    await _silence(fleet, "model-0", 1.5 * _GAP_MS / 1_000)
    return await asyncio.gather(*tasks)


def _assert_complete(responses: list[tuple[ResponseHead, bytes]]) -> None:
    for number, (head, body) in enumerate(responses):
        assert head.status == 200
        events = [
            f"id: {event}\ndata: id-{number}-{event}\n\n".encode()
            for event in range(1, _EVENTS + 1)
        ]
        assert body == b"".join(events)


def test_streams_survive_a_silence_while_all_others_refuse() -> None:
    """One upstream pauses; the only other one turns every request away."""

    async def scenario() -> None:
        routes = stream_routes(gap_ms=_GAP_MS)
        async with running_fleet(plain=0, models=1, routes=routes) as fleet:
            streams = asyncio.create_task(_streams(fleet))
            first = fleet.workers["model-0"]
            await wait_until(lambda: len(first.runs) == _STREAMS)
            second = await fleet.add_worker("model-1", "model-service")
            second.faults.extend([WorkerFault.SHED] * 1_000)
            second.retry_after = "5"
            _assert_complete(await streams)

    run(scenario)


def test_streams_survive_a_silence_when_the_retry_budget_is_spent() -> None:
    """Streams are moved, their next attempt is cut and nothing is left."""

    async def scenario() -> None:
        routes = stream_routes(gap_ms=_GAP_MS)
        async with running_fleet(
            plain=0, models=1, retry_slack=2.0, routes=routes
        ) as fleet:
            streams = asyncio.create_task(_streams(fleet))
            first = fleet.workers["model-0"]
            await wait_until(lambda: len(first.runs) == _STREAMS)
            second = await fleet.add_worker("model-1", "model-service")
            second.faults.extend([WorkerFault.SHED] * 1_000)
            _assert_complete(await streams)

    run(scenario)


def test_stream_without_resumption_outlasts_a_long_silence() -> None:
    """The caller decides how long it waits for the next event."""

    async def scenario() -> None:
        routes = stream_routes(gap_ms=20, resumable=False)
        async with running_fleet(plain=0, models=1, routes=routes) as fleet:
            worker = fleet.workers["model-0"]
            worker.response_delay_ms = 10
            task = asyncio.create_task(
                fleet.send_request("/stream/x", request_id="id-0")
            )
            await wait_until(lambda: worker.runs)
            await asyncio.sleep(0.01)
            await _silence(fleet, "model-0", 0.5)
            _assert_complete([await task])
            assert len(worker.runs) == 1

    run(scenario)


@pytest.mark.parametrize("silent", [("model-0",), ("model-0", "model-1")])
def test_stream_moves_from_an_upstream_that_stays_silent(
    silent: tuple[str, ...],
) -> None:
    """The last permitted attempt is kept, whatever its upstream does."""

    async def scenario() -> None:
        routes = stream_routes(gap_ms=_GAP_MS)
        async with running_fleet(plain=0, models=1, routes=routes) as fleet:
            first = fleet.workers["model-0"]
            first.response_delay_ms = 20
            task = asyncio.create_task(
                fleet.send_request("/stream/x", request_id="id-0")
            )
            await wait_until(lambda: first.runs)
            await asyncio.sleep(0.01)
            for name in ("model-1", "model-2"):
                await fleet.add_worker(name, "model-service")
            for name in silent:
                fleet.workers[name].speaking.clear()
            _assert_complete([await task])
            await wait_until(lambda: first.abandoned == 1)

    run(scenario)


def test_upstream_that_goes_on_keeps_its_stream() -> None:
    """The upstream that was asked to take over is left again."""

    async def scenario() -> None:
        routes = stream_routes(gap_ms=_GAP_MS)
        async with running_fleet(plain=0, models=1, routes=routes) as fleet:
            first = fleet.workers["model-0"]
            first.response_delay_ms = 20
            task = asyncio.create_task(
                fleet.send_request("/stream/x", request_id="id-0")
            )
            await wait_until(lambda: first.runs)
            await asyncio.sleep(0.01)
            second = await fleet.add_worker("model-1", "model-service")
            second.response_delay_ms = 5_000
            second.on_run = lambda run: first.speaking.set()
            first.speaking.clear()
            _assert_complete([await task])
            assert len(first.runs) == 1
            await wait_until(lambda: second.abandoned == 1)

    run(scenario)


def test_stalled_stream_waits_for_an_upstream_that_starts_later() -> None:
    """Its upstream ends; the next one starts before the caller's deadline."""

    async def scenario() -> None:
        routes = stream_routes(gap_ms=_GAP_MS)
        async with running_fleet(plain=0, models=1, routes=routes) as fleet:
            first = fleet.workers["model-0"]
            first.faults.append(WorkerFault.CUT)
            first.faults.extend([WorkerFault.SHED] * 1_000)
            task = asyncio.create_task(
                fleet.send_request("/stream/x", request_id="id-0")
            )
            await wait_until(lambda: first.shed)
            fleet.store.remove(f"servers/{first.worker_id}")
            await asyncio.sleep(1.0)
            await fleet.add_worker("model-1", "model-service")
            _assert_complete([await task])

    run(scenario)


def test_upstream_that_goes_on_gets_new_requests() -> None:
    """Its kept stream is in progress, which would count as a probe."""

    async def scenario() -> None:
        routes = stream_routes(gap_ms=_GAP_MS)
        async with running_fleet(plain=0, models=1, routes=routes) as fleet:
            worker = fleet.workers["model-0"]
            worker.response_delay_ms = 100
            worker.events = 20
            kept = asyncio.create_task(
                fleet.send_request("/stream/x", request_id="kept")
            )
            health = fleet.daemon._dispatcher.health("model-0")
            await wait_until(lambda: health.successes)
            now_ms = SystemClock().now_ms()
            health.record_failure(now_ms, unreachable=True)
            assert health.ejected_until_ms > now_ms
            await _silence(fleet, "model-0", 1.5 * _GAP_MS / 1_000)
            await wait_until(lambda: not health.ejected_until_ms)
            new = asyncio.create_task(
                fleet.send_request("/stream/x", request_id="new")
            )
            await wait_until(lambda: len(worker.runs) == 2)
            assert not kept.done()
            assert [head.status for head, _ in (await kept, await new)] == [
                200,
                200,
            ]

    run(scenario)


def test_request_that_changes_upstreams_ends_at_its_deadline() -> None:
    """The second upstream has the request when its caller's time is over."""

    async def scenario() -> None:
        routes = config_document()["routes"]
        for route in routes:
            route["target-latency-ms"] = 100
        async with running_fleet(plain=2, routes=routes) as fleet:
            for worker in fleet.workers.values():
                worker.response_delay_ms = 400
            head, _ = await fleet.send_request(
                "/plain/x", X_Trefoilpitch_Deadline_Ms="300"
            )
            assert head.status == 504
            runs = [len(worker.runs) for worker in fleet.workers.values()]
            assert runs == [1, 1]

    run(scenario)

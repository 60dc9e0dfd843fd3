"""Streams of sound upstreams that fall silent for about a second."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from trefoilpitch.gateway import ResponseHead
from trefoilpitch.platform.tests.harness import (
    Fleet,
    run,
    running_fleet,
    stream_routes,
    wait_until,
)
from trefoilpitch.standins import (
    WorkerFault,
    config_document,
    event_loop_ms,
)

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
            now_ms = event_loop_ms()
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


@contextlib.asynccontextmanager
async def _stalled_stream(
    **worker_fields: object,
) -> AsyncIterator[tuple[Fleet, asyncio.Task[tuple[ResponseHead, bytes]]]]:
    """Yields a fleet whose only upstream has fallen silent in a stream."""
    routes = stream_routes(gap_ms=_GAP_MS)
    async with running_fleet(plain=0, models=1, routes=routes) as fleet:
        first = fleet.workers["model-0"]
        first.response_delay_ms = 20
        for name, value in worker_fields.items():
            setattr(first, name, value)
        task = asyncio.create_task(
            fleet.send_request("/stream/x", request_id="id-0")
        )
        health = fleet.daemon._dispatcher.health("model-0")
        await wait_until(lambda: health.successes)
        first.speaking.clear()
        yield fleet, task


@pytest.mark.parametrize("silent", [("model-0",), ("model-0", "model-1")])
def test_stream_moves_from_an_upstream_that_stays_silent(
    silent: tuple[str, ...],
) -> None:
    """The last permitted attempt is kept, whatever its upstream does."""

    async def scenario() -> None:
        async with _stalled_stream() as (fleet, task):
            first = fleet.workers["model-0"]
            second = await fleet.add_worker("model-1", "model-service")
            if "model-1" in silent:
                second.speaking.clear()
                await wait_until(lambda: first.abandoned)
                await fleet.add_worker("model-2", "model-service")
            _assert_complete([await task])
            await wait_until(lambda: first.abandoned == 1)

    run(scenario)


def test_upstream_that_goes_on_keeps_its_stream() -> None:
    """The upstream that was asked to take over is left again."""

    async def scenario() -> None:
        async with _stalled_stream() as (fleet, task):
            first = fleet.workers["model-0"]
            second = await fleet.add_worker("model-1", "model-service")
            second.response_delay_ms = 5_000
            second.on_run = lambda run: first.speaking.set()
            _assert_complete([await task])
            assert len(first.runs) == 1
            await wait_until(lambda: second.abandoned == 1)

    run(scenario)


def test_comments_do_not_keep_a_stalled_stream() -> None:
    async def scenario() -> None:
        async with _stalled_stream(comment_interval_ms=30) as (fleet, task):
            second = await fleet.add_worker("model-1", "model-service")
            head, body = await task
            assert head.status == 200
            events = [e for e in body.split(b"\n\n") if e.startswith(b"id:")]
            assert len(events) == _EVENTS
            assert len(second.runs) == 1

    run(scenario)


def test_upstream_that_refused_once_is_asked_again() -> None:
    async def scenario() -> None:
        async with _stalled_stream() as (fleet, task):
            second = await fleet.add_worker("model-1", "model-service")
            second.faults.append(WorkerFault.SHED)
            _assert_complete([await task])
            assert (second.shed, len(second.runs)) == (1, 1)

    run(scenario)


def test_stalled_upstream_is_left_within_the_permitted_overlap() -> None:
    """The other upstream works on the request and does not respond yet."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with _stalled_stream() as (fleet, task):
            first = fleet.workers["model-0"]
            second = await fleet.add_worker("model-1", "model-service")
            second.response_delay_ms = 1_000
            second.events = 2
            await wait_until(lambda: second.runs)
            started_s = loop.time()
            await wait_until(lambda: first.abandoned)
            assert loop.time() - started_s < 0.3
            head, _ = await task
            assert head.status == 200

    run(scenario)


def test_failing_upstream_does_not_take_over_from_a_slow_one() -> None:
    async def scenario() -> None:
        routes = config_document()["routes"]
        for route in routes:
            route["target-latency-ms"] = 100
        async with running_fleet(plain=1, routes=routes) as fleet:
            first = fleet.workers["plain-0"]
            first.response_delay_ms = 600
            task = asyncio.create_task(fleet.send_request("/plain/x"))
            await wait_until(lambda: first.runs)
            second = await fleet.add_worker("plain-1", "plain-service")
            second.faults.extend([WorkerFault.ERROR] * 5)
            head, _ = await task
            assert head.status == 200
            assert second.runs

    run(scenario)


def test_request_of_a_slow_upstream_is_taken_over_before_its_head() -> None:
    async def scenario() -> None:
        routes = config_document()["routes"]
        for route in routes:
            route["target-latency-ms"] = 100
        async with running_fleet(plain=1, routes=routes) as fleet:
            first = fleet.workers["plain-0"]
            first.speaking.clear()
            task = asyncio.create_task(fleet.send_request("/plain/x"))
            await wait_until(lambda: fleet.daemon._caller_server.state.active)
            await fleet.add_worker("plain-1", "plain-service")
            head, body = await task
            assert head.status == 200
            assert body.startswith(b"plain-1")

    run(scenario)


def test_request_ends_at_its_deadline_while_it_is_offered() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        routes = config_document()["routes"]
        for route in routes:
            route["target-latency-ms"] = 250
            route["timeout-ms"] = 700
        async with running_fleet(plain=2, routes=routes) as fleet:
            for worker in fleet.workers.values():
                worker.speaking.clear()
            started_s = loop.time()
            head, _ = await fleet.send_request("/plain/x")
            assert head.status == 504
            assert 0.6 < loop.time() - started_s < 0.85

    run(scenario)


def test_stalls_count_against_an_upstream_that_nobody_can_replace() -> None:
    async def scenario() -> None:
        async with _stalled_stream() as (fleet, task):
            health = fleet.daemon._dispatcher.health("model-0")
            await wait_until(lambda: health.consecutive_failures == 1)
            fleet.workers["model-0"].speaking.set()
            _assert_complete([await task])
            assert health.consecutive_failures == 0

    run(scenario)


def test_caller_that_leaves_during_an_offer_frees_both_upstreams() -> None:
    async def scenario() -> None:
        async with _stalled_stream() as (fleet, task):
            first = fleet.workers["model-0"]
            second = await fleet.add_worker("model-1", "model-service")
            second.response_delay_ms = 5_000
            await wait_until(lambda: second.runs)
            task.cancel()
            await wait_until(lambda: first.abandoned and second.abandoned)
            for name in ("model-0", "model-1"):
                health = fleet.daemon._dispatcher.health(name)
                assert health.in_flight == 0

    run(scenario)


def test_waiting_streams_do_not_connect_for_a_budget_that_is_spent() -> None:
    """One credit becomes free while several streams wait for it."""

    async def scenario() -> None:
        routes = stream_routes(gap_ms=_GAP_MS)
        async with running_fleet(
            plain=0, models=1, retry_slack=0.0, routes=routes
        ) as fleet:
            worker = fleet.workers["model-0"]
            worker.faults.extend([WorkerFault.CUT] * _STREAMS)
            tasks = [
                asyncio.create_task(
                    fleet.send_request("/stream/x", request_id=f"id-{number}")
                )
                for number in range(_STREAMS)
            ]
            await asyncio.sleep(1.0)
            failed = fleet.daemon._metrics.render()
            assert b"not_sent" not in failed
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    run(scenario)


def test_pauses_leave_an_attempt_for_the_end_of_the_upstream() -> None:
    async def scenario() -> None:
        async with _stalled_stream(events=40, response_delay_ms=50) as (
            fleet,
            task,
        ):
            first = fleet.workers["model-0"]
            second = await fleet.add_worker("model-1", "model-service")
            second.events = 40
            second.response_delay_ms = 5_000
            second.on_run = lambda run: first.speaking.set()
            await wait_until(lambda: second.abandoned)
            await asyncio.sleep(0.2)
            third = await fleet.add_worker("model-2", "model-service")
            third.events = 40
            first.speaking.clear()
            await asyncio.sleep(2 * _GAP_MS / 1_000)
            assert not third.runs
            first.speaking.set()
            await asyncio.sleep(0.1)
            second.response_delay_ms = 0
            first.stop()
            head, body = await task
            assert head.status == 200
            assert body.count(b"id: ") == 40

    run(scenario)


def test_request_that_changes_upstreams_ends_at_its_deadline() -> None:
    """The second upstream has the request when its caller's time is over."""

    async def scenario() -> None:
        routes = config_document()["routes"]
        for route in routes:
            route["target-latency-ms"] = 100
        async with running_fleet(plain=2, routes=routes) as fleet:
            for worker in fleet.workers.values():
                worker.response_delay_ms = 700
            head, _ = await fleet.send_request(
                "/plain/x", X_Trefoilpitch_Deadline_Ms="600"
            )
            assert head.status == 504
            runs = [len(worker.runs) for worker in fleet.workers.values()]
            assert runs == [1, 1]

    run(scenario)

"""Upstreams that leave, ask for a pause, or pause in the middle of a stream."""

from __future__ import annotations

import asyncio

import pytest

from trefoilpitch.gateway import HttpRequest, ResponseHead
from trefoilpitch.platform._requests import PlatformRequests
from trefoilpitch.platform.tests.harness import (
    Fleet,
    run,
    running_fleet,
    stream_routes,
    wait_until,
)
from trefoilpitch.standins import WorkerFault

# Longer than ten requests take on a busy machine.
_PAUSE_S = 3.0


async def _send(fleet: Fleet, count: int, target: str = "/plain/x") -> None:
    for number in range(count):
        await fleet.send_request(
            target, request_id=f"id-{number}", X_Trefoilpitch_Model="*"
        )


@pytest.mark.parametrize("target", ["/plain/x", "/once/x", "/stream/x"])
def test_leaving_upstream_gets_no_further_requests(target: str) -> None:
    async def scenario() -> None:
        async with running_fleet(plain=2, models=2) as fleet:
            for worker in fleet.workers.values():
                worker.leaving = True
            await _send(fleet, 6, target)
            runs = {
                worker.worker_id: len(worker.runs)
                for worker in fleet.workers.values()
            }
            assert set(fleet.daemon.view.upstreams) == set(runs)
            used = "model" if target == "/stream/x" else "plain"
            assert [runs[f"{used}-{n}"] for n in (0, 1)] == [1, 1]

    run(scenario)


def test_restarted_upstream_is_not_leaving_any_more() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=1) as fleet:
            worker = fleet.workers["plain-0"]
            worker.leaving = True
            await _send(fleet, 2)
            assert len(worker.runs) == 1
            worker.leaving = False
            revision = fleet.daemon.view.revision
            fleet.register(worker, "plain-service", born=1_700_000_000_000)
            await wait_until(lambda: fleet.daemon.view.revision > revision)
            await _send(fleet, 2)
            assert len(worker.runs) == 3

    run(scenario)


def test_upstream_gets_no_requests_during_the_pause_that_it_asked_for() -> None:
    async def scenario() -> None:
        async with running_fleet(plain=2) as fleet:
            workers = list(fleet.workers.values())
            for worker in workers:
                worker.retry_after = f"{_PAUSE_S}"
                worker.faults.extend([WorkerFault.SHED] * 50)
            await _send(fleet, 10)
            assert [worker.shed for worker in workers] == [1, 1]
            await asyncio.sleep(_PAUSE_S + 0.1)
            await _send(fleet, 10)
            assert [worker.shed for worker in workers] == [2, 2]

    run(scenario)


def test_request_is_refused_at_once_if_all_upstreams_asked_for_a_pause() -> (
    None
):
    async def scenario() -> None:
        async with running_fleet(plain=1) as fleet:
            worker = fleet.workers["plain-0"]
            worker.retry_after = "5"
            worker.faults.append(WorkerFault.SHED)
            started_s = asyncio.get_running_loop().time()
            head, _ = await fleet.send_request("/plain/x")
            assert head.status == 503
            assert 4.5 < float(head.header(b"retry-after") or "") < 7.0
            assert asyncio.get_running_loop().time() - started_s < 0.5
            assert (worker.shed, len(worker.runs)) == (1, 0)

    run(scenario)


@pytest.mark.parametrize(
    ("status", "headers", "leaving", "pause_ms"),
    [
        (200, {"server-leaving": "1"}, True, 0),
        (500, {"server-leaving": "1"}, True, 0),
        (200, {"server-leaving": "0"}, False, 0),
        (200, {"server-leaving": "soon"}, False, 0),
        # Another worker that has taken over the address.
        (421, {"server-leaving": "1"}, False, 0),
        (503, {"retry-after": "1.5"}, False, 1_500),
        (503, {"retry-after": "-1"}, False, 0),
        (503, {"retry-after": "nan"}, False, 0),
        (503, {"retry-after": "inf"}, False, 0),
        (503, {"retry-after": "Wed, 21 Oct 2026 07:28:00 GMT"}, False, 0),
        (429, {"retry-after": "2"}, False, 0),
    ],
)
def test_notices_are_decoded_and_malformed_ones_ignored(
    status: int, headers: dict[str, str], leaving: bool, pause_ms: int
) -> None:
    codec = PlatformRequests()
    request = codec.decode_request(_http_request())
    head = ResponseHead(
        status=status,
        headers=tuple((n.encode(), v.encode()) for n, v in headers.items()),
    )
    response = codec.decode_response(request, head)
    assert (response.leaving, response.pause_ms) == (leaving, pause_ms)


def test_slow_stream_that_no_other_upstream_can_resume_is_not_cut() -> None:
    async def scenario() -> None:
        routes = stream_routes(gap_ms=100)
        async with running_fleet(plain=0, models=1, routes=routes) as fleet:
            worker = fleet.workers["model-0"]
            worker.response_delay_ms = 250
            head, body = await fleet.send_request("/stream/x")
            assert head.status == 200
            assert body.count(b"data:") == worker.events
            assert len(worker.runs) == 1

    run(scenario)


def test_stalled_stream_is_resumed_by_another_upstream() -> None:
    async def scenario() -> None:
        routes = stream_routes(gap_ms=100)
        async with running_fleet(plain=0, models=2, routes=routes) as fleet:
            for worker in fleet.workers.values():
                worker.on_run = lambda run: _stall_first(fleet)
            head, body = await fleet.send_request("/stream/x")
            assert head.status == 200
            assert body.count(b"data:") == 5
            runs = [len(worker.runs) for worker in fleet.workers.values()]
            assert runs == [1, 1]

    run(scenario)


def _stall_first(fleet: Fleet) -> None:
    """Makes the first upstream of a request stall, and the second one fast."""
    workers = list(fleet.workers.values())
    started = sum(len(worker.runs) for worker in workers)
    for worker in workers:
        worker.response_delay_ms = 30_000 if started == 1 else 0


def _http_request() -> HttpRequest:
    return HttpRequest(
        method=b"GET",
        target=b"/a/x",
        headers=((b"X-Trefoilpitch-Request-Attempt-Id", b"id"),),
        body=b"",
        arrived_ms=0,
    )

"""Upstreams that announce how many requests a second they take."""

from __future__ import annotations

import asyncio

import logbook
import pytest

from trefoilpitch.gateway import HttpRequest, ResponseHead
from trefoilpitch.platform._requests import PlatformRequests
from trefoilpitch.platform.tests.cut_links import Daemon, running_daemons
from trefoilpitch.platform.tests.harness import (
    loop_time_s,
    run,
    running_fleet,
)

_REQUEST = HttpRequest(
    method=b"GET",
    target=b"/",
    headers=((b"X-Trefoilpitch-Request-Attempt-Id", b"id"),),
    body=b"",
    arrived_ms=0,
)


def _decoded(value: str | None, status: int = 200) -> float | None:
    codec = PlatformRequests()
    request = codec.decode_request(_REQUEST)
    headers = () if value is None else ((b"server-limit", value.encode()),)
    head = ResponseHead(status=status, headers=headers)
    return codec.decode_response(request, head).rate_limit_per_s


@pytest.mark.parametrize(
    ("value", "status", "expected"),
    [
        (None, 200, None),
        ("1.7", 200, 1.7),
        (" 12 ", 503, 12.0),
        ("0", 200, 0.0),
        (".5", 200, 0.5),
        ("3.", 200, 3.0),
        ("9" * 30, 200, 1_000_000.0),
        # Malformed values are taken for the strictest.
        ("9" * 5_000, 200, 1.0),
        ("-3", 200, 1.0),
        ("1e9", 200, 1.0),
        ("inf", 200, 1.0),
        ("nan", 200, 1.0),
        ("1,5", 200, 1.0),
        ("", 200, 1.0),
        # Another worker may have taken over the address.
        ("5", 421, None),
    ],
)
def test_rate_limit_is_decoded(
    value: str | None, status: int, expected: float | None
) -> None:
    assert _decoded(value, status) == expected


def test_announcement_that_nothing_reads_is_logged_once() -> None:
    codec = PlatformRequests()
    request = codec.decode_request(_REQUEST)
    headers = (
        (b"server", b"engine"),
        (b"server-limit", b"2"),
        (b"server-mood", b"low"),
    )
    head = ResponseHead(status=200, headers=headers)
    with logbook.TestHandler() as log:
        for _ in range(3):
            codec.decode_response(request, head)
    records = [(r.message, r.kwargs) for r in log.records]
    assert records == [
        ("unknown_announcement", {"name": "server-mood", "value": "low"})
    ]


def test_rate_limit_can_be_observed() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            (worker,) = fleet.workers.values()
            limits = fleet.daemon._dispatcher.rate_limits
            (cached,) = fleet.daemon.view.upstreams.values()
            worker.rate_limit = "2.5"
            await fleet.send_request("/plain/x", request_id="id-1")
            assert limits.count == 1
            assert limits.limit_per_s(cached.entry) == 2.5
            assert limits.own_rate_per_s(cached.entry) == pytest.approx(2.5)
            worker.rate_limit = None
            await fleet.send_request("/plain/x", request_id="id-2")
            assert limits.count == 0

    run(scenario)


async def _send_often(daemon: Daemon, until_s: float) -> None:
    """Sends ten requests a second, whatever becomes of them."""
    number = 0
    async with asyncio.TaskGroup() as group:
        while loop_time_s() < until_s:
            number += 1
            request_id = f"{daemon.settings.name}-{number}"
            group.create_task(daemon.send_request("/plain/x", request_id))
            await asyncio.sleep(0.1)


def test_daemons_together_send_no_more_than_the_rate_limit() -> None:
    """Each of them alone would send four times as much."""

    async def scenario() -> None:
        async with running_daemons(3, plain=1) as (fleet, daemons):
            (worker,) = fleet.workers.values()
            arrivals_s: list[float] = []
            worker.on_run = lambda run: arrivals_s.append(loop_time_s())
            worker.rate_limit = "2.5"
            announced_s = loop_time_s()
            async with asyncio.TaskGroup() as group:
                for daemon in daemons:
                    group.create_task(_send_often(daemon, announced_s + 8.0))
            for end_s in arrivals_s:
                if end_s >= announced_s + 4.5:
                    # The limit and the tolerance above it, in any four seconds.
                    counted = [
                        t for t in arrivals_s if end_s - 4.0 < t <= end_s
                    ]
                    assert len(counted) <= 1.5 * 2.5 * 4.0 + 5

    run(scenario)


def test_request_that_a_rate_limit_delays_too_long_is_refused_at_once() -> None:
    async def scenario() -> None:
        async with running_fleet() as fleet:
            (worker,) = fleet.workers.values()
            worker.rate_limit = "0.25"
            await fleet.send_request("/plain/x", request_id="id-1")
            await fleet.send_request("/plain/x", request_id="id-2")
            # A description of the service's load is used for 100 ms.
            await asyncio.sleep(0.15)
            began_s = loop_time_s()
            head, _ = await fleet.send_request("/plain/x", request_id="id-3")
            assert head.status == 503
            assert float(head.header(b"retry-after") or 0) > 0
            assert loop_time_s() - began_s < 0.1
            assert len(worker.runs) == 2

    run(scenario)


def test_rate_limit_outlasts_responses_of_others_at_the_address() -> None:
    """Only the upstream itself can say that it has no limit any more."""

    async def scenario() -> None:
        async with running_fleet() as fleet:
            (worker,) = fleet.workers.values()
            limits = fleet.daemon._dispatcher.rate_limits
            (cached,) = fleet.daemon.view.upstreams.values()
            worker.rate_limit = "2.5"
            await fleet.send_request("/plain/x", request_id="id-1")
            worker.rate_limit = None
            worker.worker_id = "another"
            await fleet.send_request("/plain/x", request_id="id-2")
            assert limits.limit_per_s(cached.entry) == 2.5

    run(scenario)

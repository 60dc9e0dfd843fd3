"""Upstreams that announce how many rejections they withstand."""

from __future__ import annotations

import asyncio

import pytest

from trefoilpitch.gateway import HttpRequest, ResponseHead
from trefoilpitch.platform._requests import PlatformRequests
from trefoilpitch.platform.tests.cut_links import running_daemons
from trefoilpitch.platform.tests.harness import run, running_fleet, wait_until
from trefoilpitch.standins import WorkerFault


def _decoded(value: str | None, status: int = 200) -> int | None:
    codec = PlatformRequests()
    request = codec.decode_request(
        HttpRequest(
            method=b"GET",
            target=b"/",
            headers=((b"X-Trefoilpitch-Request-Attempt-Id", b"id"),),
            body=b"",
            arrived_ms=0,
        )
    )
    headers = () if value is None else ((b"server-brittle", value.encode()),)
    head = ResponseHead(status=status, headers=headers)
    return codec.decode_response(request, head).rejection_limit


@pytest.mark.parametrize(
    ("value", "status", "expected"),
    [
        (None, 200, None),
        ("5", 200, 5),
        (" 12 ", 503, 12),
        ("0", 200, 0),
        ("007", 200, 7),
        ("99999", 200, 10_000),
        ("9" * 5_000, 200, 10_000),
        # Malformed values are taken for the strictest.
        ("-3", 200, 1),
        ("5.5", 200, 1),
        ("", 200, 1),
        ("many", 200, 1),
        # Another worker may have taken over the address.
        ("5", 421, None),
    ],
)
def test_limit_of_rejections_is_decoded(
    value: str | None, status: int, expected: int | None
) -> None:
    assert _decoded(value, status) == expected


def test_daemons_tell_each_other_of_brittle_upstreams() -> None:
    """One that has had no response yet knows the limit as well."""

    async def scenario() -> None:
        async with running_daemons(2, plain=1) as (fleet, daemons):
            (worker,) = fleet.workers.values()
            worker.brittle = "6"
            await daemons[0].send_request("/plain/x", "id-1")
            limits = [d.node._dispatcher.rejection_limits for d in daemons]
            assert limits[0].limit_per_s("plain-service", "new") == 6
            await wait_until(
                lambda: limits[1].limit_per_s("plain-service", "new") == 6
            )
            worker.brittle = None
            await daemons[0].send_request("/plain/x", "id-2")
            assert limits[0].limit_per_s("plain-service", "plain-0") is None

    run(scenario)


def test_brittle_upstream_that_is_full_gets_few_requests() -> None:
    """Each request could be one rejection too many."""

    async def scenario() -> None:
        async with running_daemons(3, plain=1) as (fleet, daemons):
            (worker,) = fleet.workers.values()
            worker.brittle = "6"
            for daemon in daemons:
                await daemon.send_request("/plain/x", "id")
            worker.faults.extend([WorkerFault.SHED] * 1_000)
            loop = asyncio.get_running_loop()
            end_s = loop.time() + 1.0
            while loop.time() < end_s:
                responses = await asyncio.gather(
                    *(d.send_request("/once/x", "id") for d in daemons)
                )
                assert {head.status for head, _ in responses} == {503}
            assert 0 < worker.shed <= 6

    run(scenario)


def test_limit_outlasts_responses_of_others_at_the_address() -> None:
    """Only the upstream itself can say that it is brittle no more."""

    async def scenario() -> None:
        async with running_fleet() as fleet:
            (worker,) = fleet.workers.values()
            limits = fleet.daemon._dispatcher.rejection_limits
            worker.brittle = "6"
            await fleet.send_request("/plain/x", request_id="id-1")
            worker.brittle = None
            worker.worker_id = "another"
            await fleet.send_request("/plain/x", request_id="id-2")
            assert limits.limit_per_s("plain-service", "plain-0") == 6

    run(scenario)

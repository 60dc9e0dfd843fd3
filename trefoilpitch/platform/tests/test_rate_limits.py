"""Upstreams that announce how many requests a second they take."""

from __future__ import annotations

import pytest

from trefoilpitch.gateway import HttpRequest, ResponseHead
from trefoilpitch.platform._requests import PlatformRequests
from trefoilpitch.platform.tests.harness import run, running_fleet


def _decoded(value: str | None, status: int = 200) -> float | None:
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
            await fleet.send_request("/plain/x", request_id="id-2")
            assert limits.sent(cached.entry) == 1
            worker.rate_limit = None
            await fleet.send_request("/plain/x", request_id="id-3")
            assert limits.count == 0

    run(scenario)

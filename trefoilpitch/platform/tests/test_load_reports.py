"""Decoding of the load that upstreams report in their responses."""

from __future__ import annotations

import logbook
import pytest

from trefoilpitch.gateway import HttpRequest, LoadReport, ResponseHead
from trefoilpitch.platform._requests import PlatformRequests


def _decode(value: str | None) -> tuple[LoadReport | None, list[str]]:
    """Returns the report and the events that were logged."""
    codec = PlatformRequests()
    request = HttpRequest(
        method=b"GET",
        target=b"/x",
        headers=((b"X-Trefoilpitch-Request-Attempt-Id", b"id"),),
        body=b"",
        arrived_ms=0,
    )
    headers = []
    if value is not None:
        headers.append((b"x-trefoilpitch-instance-load", value.encode()))
    head = ResponseHead(status=200, headers=tuple(headers))
    with logbook.TestHandler() as log:
        response = codec.decode_response(codec.decode_request(request), head)
        return response.load, [record.message for record in log.records]


@pytest.mark.parametrize(
    ("value", "duration_percent"),
    [
        ("3,1,16", None),
        ("3,1,16,100", 100),
        (" 3, 1, 16, 182 ", 182),
        # Figures that a later version of the upstreams adds.
        ("3,1,16,55,x,-1", 55),
    ],
)
def test_report_of_three_figures_or_more_is_decoded(
    value: str, duration_percent: int | None
) -> None:
    """Guards against losing all reports when upstreams add a figure."""
    report, logged = _decode(value)
    assert report == LoadReport(
        running=3, waiting=1, slots=16, duration_percent=duration_percent
    )
    assert logged == []


@pytest.mark.parametrize(
    ("fourth", "duration_percent"),
    [
        ("", None),
        ("fast", None),
        ("nan", None),
        ("inf", None),
        ("0", None),
        ("-100", None),
        ("10001", 10_000),
        ("1" * 400, 10_000),
    ],
)
def test_malformed_fourth_figure_does_not_lose_the_others(
    fourth: str, duration_percent: int | None
) -> None:
    report, logged = _decode(f"3,1,16,{fourth}")
    assert report == LoadReport(
        running=3, waiting=1, slots=16, duration_percent=duration_percent
    )
    assert logged == ["malformed_header"]


@pytest.mark.parametrize(
    "value", ["", "3", "3,1", "3,,16", "-3,1,16", "3,-1,16,100", "3,1,x,100"]
)
def test_report_without_three_valid_figures_is_dropped(value: str) -> None:
    assert _decode(value) == (None, ["malformed_header"])


def test_huge_figures_are_limited() -> None:
    """Guards against sums and comparisons with numbers of any size."""
    report, logged = _decode(f"{'9' * 300},1,16,100")
    assert report is not None
    assert report.running == 1_000_000
    assert logged == ["malformed_header"]


def test_response_without_a_report_logs_nothing() -> None:
    assert _decode(None) == (None, [])

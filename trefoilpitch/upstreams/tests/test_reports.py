import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from trefoilpitch.upstreams import UpstreamError
from trefoilpitch.upstreams._orders import decode_order_response
from trefoilpitch.upstreams._reports import (
    decode_cache_events,
    decode_load_report,
)

_REPORT = {
    "incarnation": "a",
    "running": 1,
    "waiting": 0,
    "capacity": 8,
    "warm": True,
    "reported_ms": 5,
    "versions": ["small@1"],
}


@pytest.mark.parametrize(
    ("sequences", "expected", "gap"),
    [
        ([], [], False),
        ([6, 7], [6, 7], False),
        ([7, 6, 7], [6, 7], False),
        ([4, 5, 6], [6], False),
        ([7], [7], True),
        ([6, 9], [6, 9], True),
    ],
)
def test_cache_events_are_sorted_and_deduplicated_and_report_gaps(
    sequences: list[int], expected: list[int], gap: bool
) -> None:
    events = [
        {"sequence": number, "prefix": "p", "stored": True}
        for number in sequences
    ]
    data = msgspec.json.encode({"incarnation": "a", "events": events})
    decoded = decode_cache_events("e1", 5, data).unwrap()
    assert [event.sequence for event in decoded.events] == expected
    assert decoded.gap == gap


@pytest.mark.parametrize(
    "change",
    [
        {"running": -1},
        {"capacity": None},
        {"versions": ["small"]},
        {"versions": ["@1"]},
        {"warm": "yes"},
        {"incarnation": 7},
    ],
)
def test_a_malformed_report_is_a_typed_failure(
    change: dict[str, object],
) -> None:
    assert decode_load_report("e1", msgspec.json.encode(_REPORT)).unwrap()
    data = msgspec.json.encode({**_REPORT, **change})
    assert isinstance(decode_load_report("e1", data).failure(), UpstreamError)


@given(st.binary())
@settings(derandomize=True, deadline=None)
def test_any_bytes_are_a_report_or_a_typed_failure(data: bytes) -> None:
    results = [
        decode_load_report("e1", data),
        decode_cache_events("e1", 0, data),
        decode_order_response("e1", data),
    ]
    for result in results:
        if isinstance(result, Failure):
            assert isinstance(result.failure(), UpstreamError)

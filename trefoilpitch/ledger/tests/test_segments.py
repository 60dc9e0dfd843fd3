from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from trefoilpitch.ledger import (
    SEAL_AFTER_MS,
    Bill,
    BillLine,
    SegmentWriter,
    decode_segment,
    deduplicate_bills,
)


def _bill(request_id: str, cost_nano: int = 5) -> Bill:
    line = BillLine(
        item="small@1",
        upstream="engine-1",
        prompt_tokens=1,
        output_tokens=2,
        cost_nano=cost_nano,
    )
    return Bill(
        request_id=request_id,
        workspace="suva-parish",
        subject="tag",
        ended_ms=0,
        lines=(line,),
    )


def test_segment_is_rewritten_unchanged_after_a_failed_write() -> None:
    writer = SegmentWriter("n1")
    writer.record(_bill("a"), 0)
    (first,) = writer.due(SEAL_AFTER_MS)
    writer.record_write_failure(SEAL_AFTER_MS)
    writer.record(_bill("b"), SEAL_AFTER_MS)
    segments = writer.due(10 * SEAL_AFTER_MS)
    assert segments[0] == first
    assert segments[1].key != first.key


def test_bills_are_held_during_an_outage_up_to_the_limit() -> None:
    writer = SegmentWriter("n1", max_unwritten_bytes=1_000)
    results = [writer.record(_bill(str(i)), 0) for i in range(20)]
    assert isinstance(results[0], Success)
    assert isinstance(results[-1], Failure)
    for segment in writer.due(0, flush=True):
        writer.record_written(segment.key)
    assert writer.is_empty
    assert not writer.is_full


def test_bills_of_the_same_request_are_deduplicated() -> None:
    bills = [_bill("a", 9), _bill("a", 5), _bill("b")]
    assert deduplicate_bills(bills) == deduplicate_bills(reversed(bills))
    assert [bill.cost_nano for bill in deduplicate_bills(bills)] == [5, 5]


@settings(derandomize=True, deadline=None)
@given(st.binary())
def test_any_payload_is_bills_or_a_typed_error(payload: bytes) -> None:
    assert isinstance(decode_segment(payload), Success | Failure)

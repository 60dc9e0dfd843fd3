from __future__ import annotations

import concurrent.futures

from tests.endtoend.fleet import Fleet
from tests.endtoend.streams import Stream
from tools.processes import wait_until

_STREAMS = 20
_CALLS = 10
# Slow enough that all requests are still in flight when the signal arrives.
_TOKEN_MS = 500
_CALL_MS = 3_000


def _stream(fleet: Fleet, number: int) -> Stream:
    with Stream(fleet.caller_address("c"), f"tape {number}") as stream:
        stream.read_rest()
    return stream


def test_sigterm_under_load_completes_and_bills_all_requests(
    fleet: Fleet,
) -> None:
    prefix = fleet.key_prefix("c")
    fleet.set_engines(token_ms=_TOKEN_MS)
    fleet.set_workers(call_ms=_CALL_MS)
    with concurrent.futures.ThreadPoolExecutor(_STREAMS + _CALLS) as pool:
        streams = [
            pool.submit(_stream, fleet, number) for number in range(_STREAMS)
        ]
        wait_until(
            lambda: fleet.dump("c")["in_flight"] == _STREAMS,
            "dispatch of all streams",
        )
        calls = [
            pool.submit(fleet.create_loan, "c", f"{prefix}loan-{number}")
            for number in range(_CALLS)
        ]
        wait_until(
            lambda: fleet.dump("c")["in_flight"] == _STREAMS + _CALLS,
            "dispatch of all requests",
        )
        fleet.processes.signal("entry-c")
        streams_read = [stream.result() for stream in streams]
        loans = [call.result() for call in calls]
    assert fleet.processes.wait("entry-c") == 0
    assert all(stream_result.is_complete for stream_result in streams_read)
    assert [loan.status for loan in loans] == [200] * _CALLS
    request_ids = {stream_result.request_id for stream_result in streams_read}
    request_ids |= {loan.headers["Request-Id"] for loan in loans}
    assert len(request_ids) == _STREAMS + _CALLS
    bills = fleet.wait_for_bills(request_ids)
    assert all(len(bill["lines"]) == 1 for bill in bills)
    assert {
        fleet.run_count(stream_result.request_id)
        for stream_result in streams_read
    } == {1}

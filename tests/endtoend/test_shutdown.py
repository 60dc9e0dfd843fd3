from __future__ import annotations

import concurrent.futures

from tests.endtoend.fleet import Fleet
from tests.endtoend.streams import Stream
from tools.processes import wait_until

_STREAMS = 20
_CALLS = 10
# Long enough for the signal to come while every answer is under way.
_TOKEN_MS = 250
_CALL_MS = 3_000


def _stream(fleet: Fleet, number: int) -> Stream:
    with Stream(fleet.caller("c"), f"tape {number}") as stream:
        stream.read_rest()
    return stream


def test_sigterm_under_load_cuts_nothing_and_bills_everything(
    fleet: Fleet,
) -> None:
    prefix = fleet.key_prefix("c")
    fleet.set_engines(token_ms=_TOKEN_MS)
    fleet.set_workers(call_ms=_CALL_MS)
    with concurrent.futures.ThreadPoolExecutor(_STREAMS + _CALLS) as pool:
        streams = [
            pool.submit(_stream, fleet, number) for number in range(_STREAMS)
        ]
        calls = [
            pool.submit(fleet.lend, "c", f"{prefix}loan-{number}")
            for number in range(_CALLS)
        ]
        wait_until(
            lambda: fleet.dump("c")["in_flight"] == _STREAMS + _CALLS,
            "every request in flight",
        )
        fleet.processes.signal("entry-c")
        answers = [stream.result() for stream in streams]
        loans = [call.result() for call in calls]
    assert fleet.processes.wait("entry-c") == 0
    assert all(answer.is_whole for answer in answers)
    assert [loan.status for loan in loans] == [200] * _CALLS
    requests = {answer.request_id for answer in answers}
    requests |= {loan.headers["Request-Id"] for loan in loans}
    assert len(requests) == _STREAMS + _CALLS
    bills = fleet.wait_for_bills(requests)
    assert all(len(bill["lines"]) == 1 for bill in bills)
    assert {fleet.runs_of(answer.request_id) for answer in answers} == {1}

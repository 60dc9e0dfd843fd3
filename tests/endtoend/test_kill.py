from __future__ import annotations

import http.client

import pytest

from tests.endtoend.fleet import Fleet
from tests.endtoend.streams import Stream
from tools.processes import wait_until

_TOKEN_MS = 150
_CHUNKS_BEFORE_KILL = 4


def _read_until_closed(stream: Stream) -> None:
    try:
        stream.read_rest()
    except (OSError, http.client.HTTPException):
        return


def test_stream_of_killed_daemon_resumes_at_another(
    fleet: Fleet,
) -> None:
    text = "tape 12, side B"
    expected = fleet.completion_text("a", text)
    fleet.set_engines(token_ms=_TOKEN_MS)
    with Stream(fleet.caller_address("c"), text) as first:
        first.read_chunks(_CHUNKS_BEFORE_KILL)
        fleet.processes.kill("entry-c")
        _read_until_closed(first)
    assert not first.is_complete
    assert expected.startswith(first.text)
    with Stream(
        fleet.caller_address("a"), text, last_event_id=first.event_id
    ) as second:
        second.read_rest()
    assert second.is_complete
    assert first.text + second.text == expected
    assert second.request_id == first.request_id
    assert fleet.run_count(first.request_id) == 1
    (bill,) = fleet.wait_for_bills({first.request_id})
    assert bill["is_whole"]
    assert len(bill["lines"]) == 1


def test_second_signal_ends_draining_daemon_immediately(fleet: Fleet) -> None:
    # The slow stream would keep the draining daemon alive for minutes.
    fleet.set_engines(token_ms=20_000)
    with Stream(fleet.caller_address("b"), "tape 3") as stream:
        stream.read_chunks(1)
        fleet.processes.signal("entry-b")
        wait_until(
            lambda: fleet.dump("b")["phase"] != "serving",
            "start of the shutdown of entry-b",
        )
        fleet.processes.signal("entry-b")
        status = fleet.processes.wait("entry-b", timeout_s=5.0)
        assert status not in (0, None)
        with pytest.raises((ConnectionError, http.client.HTTPException)):
            stream.read_chunks(2)
    assert not stream.is_complete

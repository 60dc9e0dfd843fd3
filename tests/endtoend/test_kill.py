from __future__ import annotations

import http.client

import pytest

from tests.endtoend.fleet import Fleet
from tests.endtoend.streams import Stream
from tools.processes import wait_until

_TOKEN_MS = 150
_PARTS_BEFORE = 4


def _read_until_killed(stream: Stream) -> None:
    try:
        stream.read_rest()
    except (OSError, http.client.HTTPException):
        return


def test_stream_of_a_killed_daemon_continues_at_another(
    fleet: Fleet,
) -> None:
    text = "tape 12, side B"
    expected = fleet.answer("a", text)
    fleet.set_engines(token_ms=_TOKEN_MS)
    with Stream(fleet.caller("c"), text) as first:
        first.read_parts(_PARTS_BEFORE)
        fleet.processes.kill("entry-c")
        _read_until_killed(first)
    assert not first.is_whole
    assert expected.startswith(first.text)
    with Stream(
        fleet.caller("a"), text, last_event_id=first.event_id
    ) as second:
        second.read_rest()
    assert second.is_whole
    assert first.text + second.text == expected
    assert second.request_id == first.request_id
    assert fleet.runs_of(first.request_id) == 1
    (bill,) = fleet.wait_for_bills({first.request_id})
    assert bill["is_whole"]
    assert len(bill["lines"]) == 1


def test_second_signal_ends_a_draining_daemon_at_once(fleet: Fleet) -> None:
    # Without the second signal the daemon would wait for minutes.
    fleet.set_engines(token_ms=20_000)
    with Stream(fleet.caller("b"), "tape 3") as stream:
        stream.read_parts(1)
        fleet.processes.signal("entry-b")
        wait_until(
            lambda: fleet.dump("b")["phase"] != "serving", "a leaving daemon"
        )
        fleet.processes.signal("entry-b")
        status = fleet.processes.wait("entry-b", timeout_s=5.0)
        assert status not in (0, None)
        with pytest.raises((ConnectionError, http.client.HTTPException)):
            stream.read_parts(2)
    assert not stream.is_whole

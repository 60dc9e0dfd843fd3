"""Tests of the bound on log lines about failed tries."""

import logbook

from trefoilpitch.clock import ManualClock
from trefoilpitch.serving._failure_log import FailureLog
from trefoilpitch.upstreams import ConnectError


def test_lines_are_bounded_and_say_what_was_left_out() -> None:
    clock = ManualClock(1_000)
    log = FailureLog(clock)
    error = ConnectError("engine-a", "refused")
    with logbook.TestHandler() as handler:
        for number in range(50):
            log.write(f"r{number}", error)
        assert len(handler.records) == 20
        clock.advance(1_000)
        log.write("r50", error)
        last = handler.records[-1].message
    assert len(handler.records) == 21
    assert "request r50: a try at engine-a failed, not_run: refused" in last
    assert "30 lines left out" in last

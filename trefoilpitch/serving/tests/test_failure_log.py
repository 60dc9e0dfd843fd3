"""Tests of the rate limit on log lines about failed attempts."""

import logbook

from trefoilpitch.clock import ManualClock
from trefoilpitch.serving._failure_log import FailureLog
from trefoilpitch.upstreams import ConnectError


def test_log_is_rate_limited_and_counts_suppressed_lines() -> None:
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
    assert (
        "request r50: attempt on upstream engine-a failed (not_run): refused"
        in last
    )
    assert "30 earlier lines suppressed" in last

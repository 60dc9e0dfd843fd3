"""Rate-limited log lines on failed attempts.

When an upstream fails each of many requests a second, the log must neither
grow with them nor delay their threads.
"""

from __future__ import annotations

import threading

import logbook

from trefoilpitch.clock import Clock
from trefoilpitch.upstreams import UpstreamError

# Enough to log every attempt when failures are rare, and few enough when every
# request fails.
_MAX_LINES = 20
_WINDOW_MS = 1_000
_LOG = logbook.Logger("trefoilpitch.serving")


class FailureLog:
    """Logs each failed attempt, up to twenty a second.

    The first line after that has the number of lines that were suppressed.

    Args:
        clock: Used for the rate limit.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._window_start_ms = clock.now_ms()
        self._lines = 0
        self._suppressed = 0

    def write(self, request_id: str, error: UpstreamError) -> None:
        """Logs which upstream failed a request, and how.

        Responses to callers don't contain the upstream's name and address.
        """
        suppressed = self._admit()
        if suppressed is None:
            return
        _LOG.info(
            "request {}: attempt on upstream {} failed ({}): {}; "
            "{} earlier lines suppressed",
            request_id,
            error.upstream,
            error.execution.value,
            error.detail,
            suppressed,
        )

    def _admit(self) -> int | None:
        """Returns the number of lines suppressed before this one.

        None if this line is to be suppressed, too.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            if now_ms - self._window_start_ms >= _WINDOW_MS:
                self._window_start_ms = now_ms
                self._lines = 0
            if self._lines >= _MAX_LINES:
                self._suppressed += 1
                return None
            self._lines += 1
            suppressed, self._suppressed = self._suppressed, 0
            return suppressed

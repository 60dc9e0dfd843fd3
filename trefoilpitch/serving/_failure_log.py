"""Log lines on tries that failed, bounded.

Load pattern: an upstream fails each of many requests a second; the log must
neither grow with them nor hold their threads up.
"""

from __future__ import annotations

import threading

import logbook

from trefoilpitch.clock import Clock
from trefoilpitch.upstreams import UpstreamError

# Enough to find the cause of any failure of a calm day, and few enough for a
# day on which every request fails.
_MAX_LINES = 20
_WINDOW_MS = 1_000
_LOG = logbook.Logger("trefoilpitch.serving")


class FailureLog:
    """Writes a line for each failed try, up to twenty a second.

    The first line after that says how many were left out.

    Args:
        clock: Measures the seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._window_ms = clock.now_ms()
        self._lines = 0
        self._left_out = 0

    def write(self, request_id: str, error: UpstreamError) -> None:
        """Logs which upstream failed a request, and how.

        Callers are not told the upstream's name and address.
        """
        left_out = self._admit()
        if left_out is None:
            return
        _LOG.info(
            "request {}: a try at {} failed, {}: {}; {} lines left out",
            request_id,
            error.upstream,
            error.execution.value,
            error.detail,
            left_out,
        )

    def _admit(self) -> int | None:
        """Returns the lines left out before this one; None to leave it out."""
        now_ms = self._clock.now_ms()
        with self._lock:
            if now_ms - self._window_ms >= _WINDOW_MS:
                self._window_ms = now_ms
                self._lines = 0
            if self._lines >= _MAX_LINES:
                self._left_out += 1
                return None
            self._lines += 1
            left_out, self._left_out = self._left_out, 0
            return left_out

"""Rate-limited, non-blocking JSON log lines on standard output."""

from __future__ import annotations

import os
import traceback
from collections import deque
from collections.abc import Callable

import logbook
import msgspec

# Token bucket: sustained lines per second, and burst size.
_LINES_PER_S = 60.0
_BURST_LINES = 400.0
# Lines that are queued while the pipe is full.
_QUEUED_LINES = 500
_MS_PER_S = 1_000
_STDOUT = 1
# Innermost stack frames that are logged with an unexpected error.
_TRACE_FRAMES = 6
_logger = logbook.Logger("trefoilpitch")


class JsonLineHandler(logbook.Handler):  # type: ignore[misc]
    """Writes one JSON object per line and never blocks on the reader.

    Lines that exceed the rate limit or the queue are dropped and counted; the
    next line that is written carries the count as `left_out`.

    Args:
        now_ms: Returns monotonic time.
        wall_ms: Returns wall-clock time.
        node: Name of the VM; part of every line.
        descriptor: File descriptor to write to; set to non-blocking mode.
    """

    def __init__(
        self,
        now_ms: Callable[[], int],
        wall_ms: Callable[[], int],
        node: str,
        descriptor: int = _STDOUT,
    ) -> None:
        super().__init__(level=logbook.INFO)
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        self._node = node
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._credit = _BURST_LINES
        self._credit_ms = now_ms()
        self._left_out = 0
        os.set_blocking(descriptor, False)

    @property
    def left_out(self) -> int:
        """Lines dropped since the last one that was written."""
        return self._left_out

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record, or drops and counts it."""
        if not self._take_credit():
            self._left_out += 1
            return
        line = {
            "wall_ms": self._wall_ms(),
            "ms": self._now_ms(),
            "node": self._node,
            "event": record.message,
            **record.kwargs,
        }
        if self._left_out:
            line["left_out"] = self._left_out
        if len(self._waiting) >= _QUEUED_LINES:
            self._left_out += 1
            return
        self._left_out = 0
        self._waiting.append(msgspec.json.encode(line) + b"\n")
        self._flush()

    def _take_credit(self) -> bool:
        now_ms = self._now_ms()
        earned = (now_ms - self._credit_ms) * _LINES_PER_S / _MS_PER_S
        self._credit = min(_BURST_LINES, self._credit + max(0.0, earned))
        self._credit_ms = now_ms
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def _flush(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is nowhere else to report it.
                self._left_out += len(self._waiting)
                self._waiting.clear()
                return
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()


def log_event(event: str, **fields: object) -> None:
    """Logs a decision or a state change.

    Args:
        event: Name of the event in snake case.
        **fields: Its inputs and outcome; any values that JSON can encode.
    """
    _logger.info(event, **fields)


def log_failure(event: str, error: Exception, **fields: object) -> None:
    """Logs an unexpected error with the innermost frames of its traceback.

    Must be called from the `except` block that handles the error.

    Args:
        event: Name of the event in snake case.
        error: The error that is being handled.
        **fields: Context of the failed operation.
    """
    log_event(
        event,
        **fields,
        error=type(error).__name__,
        trace=traceback.format_exc(limit=-_TRACE_FRAMES),
    )

"""Structured log lines on standard output, bounded and never blocking."""

from __future__ import annotations

import os
import traceback
from collections import deque
from collections.abc import Callable

import logbook
import msgspec

# Lines a second at the most on average, and at once.
_LINES_PER_S = 60.0
_BURST_LINES = 400.0
# Lines that wait for a reader of standard output.
_QUEUED_LINES = 500
_MS_PER_S = 1_000
_STDOUT = 1
# Frames of a stack trace that fit a log line.
_TRACE_FRAMES = 6
_logger = logbook.Logger("trefoilpitch")


class JsonLineHandler(logbook.Handler):  # type: ignore[misc]
    """Writes one JSON object a line without ever waiting for a reader.

    Lines over the rate, or that a full pipe does not take, are counted; the
    next line that is written carries the count as `left_out`.

    Args:
        now_ms: Monotonic time.
        wall_ms: Time of day.
        node: Name of the VM, on every line.
        descriptor: Where to write; made non-blocking.
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
        """Lines that were not written since the last one that was."""
        return self._left_out

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record, or counts it."""
        if not self._afford():
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

    def _afford(self) -> bool:
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
                # Nobody reads any more; there is no other place to say it.
                self._left_out += len(self._waiting)
                self._waiting.clear()
                return
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()


def log_event(event: str, **fields: object) -> None:
    """Logs a decision or a change of what the process believes.

    Args:
        event: Names the kind of line.
        **fields: Its inputs and outcome; anything that JSON can hold.
    """
    _logger.info(event, **fields)


def log_failure(event: str, error: Exception, **fields: object) -> None:
    """Logs an error that nobody foresaw, with the last frames of its stack.

    Args:
        event: Names the kind of line.
        error: The error; called while it is being handled.
        **fields: What was under way.
    """
    log_event(
        event,
        **fields,
        error=type(error).__name__,
        trace=traceback.format_exc(limit=-_TRACE_FRAMES),
    )

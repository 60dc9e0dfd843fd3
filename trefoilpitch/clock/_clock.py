"""The project's one clock type."""

from __future__ import annotations

import time
from typing import Protocol

_NS_PER_MS = 1_000_000


class Clock(Protocol):
    """Tells the time in whole milliseconds."""

    def now_ms(self) -> int:
        """Returns monotonic time; only differences carry meaning."""

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""


class SystemClock:
    """The machine's clocks."""

    def now_ms(self) -> int:
        """Returns the machine's monotonic time in milliseconds."""
        return time.monotonic_ns() // _NS_PER_MS

    def wall_ms(self) -> int:
        """Returns the machine's wall time in milliseconds."""
        return time.time_ns() // _NS_PER_MS


class ManualClock:
    """A clock that moves only when told to; for tests and measurements.

    Args:
        start_ms: Both the monotonic time and the wall time at the start.
    """

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Returns the time set so far."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Returns the time set so far."""
        return self._now_ms

    def advance(self, by_ms: int) -> None:
        """Moves the clock forward.

        Args:
            by_ms: Milliseconds to add; never negative.

        Raises:
            ValueError: If the clock would move backwards.
        """
        if by_ms < 0:
            raise ValueError(f"a clock cannot move by {by_ms} ms")
        self._now_ms += by_ms

"""The clock protocol and its implementations."""

from __future__ import annotations

import time
from typing import Protocol

_NS_PER_MS = 1_000_000


class Clock(Protocol):
    """Source of monotonic and wall-clock time in whole milliseconds."""

    def now_ms(self) -> int:
        """Returns monotonic time; only differences are meaningful."""

    def wall_ms(self) -> int:
        """Returns milliseconds since the Unix epoch."""


class SystemClock:
    """Reads the operating system's clocks."""

    def now_ms(self) -> int:
        """Returns the system's monotonic time."""
        return time.monotonic_ns() // _NS_PER_MS

    def wall_ms(self) -> int:
        """Returns the system's wall-clock time."""
        return time.time_ns() // _NS_PER_MS


class ManualClock:
    """A clock that only advances explicitly, for tests and benchmarks.

    Args:
        start_ms: Initial value of both monotonic and wall-clock time.
    """

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Returns the current manual time."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Returns the same time as `now_ms`."""
        return self._now_ms

    def advance(self, by_ms: int) -> None:
        """Advances both times.

        Args:
            by_ms: Milliseconds to add; must not be negative.

        Raises:
            ValueError: If `by_ms` is negative.
        """
        if by_ms < 0:
            raise ValueError(f"cannot advance a clock by {by_ms} ms")
        self._now_ms += by_ms

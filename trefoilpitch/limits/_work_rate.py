"""Rate of arriving work."""

from __future__ import annotations

import math


class WorkRate:
    """Exponentially decaying mean of the work that arrives.

    Work is expected run time, in milliseconds.

    Args:
        time_constant_ms: Time after which the weight of an arrival has
            decayed to 1/e.
    """

    def __init__(self, time_constant_ms: float) -> None:
        self._time_constant_ms = time_constant_ms
        self._work_ms = 0.0
        self._updated_ms = 0

    def add(self, work_ms: float, now_ms: int) -> None:
        """Adds work that arrived now."""
        self._work_ms = self._decayed_work(now_ms) + work_ms
        self._updated_ms = now_ms

    def at(self, now_ms: int) -> float:
        """Returns the milliseconds of work that arrive per millisecond."""
        return self._decayed_work(now_ms) / self._time_constant_ms

    def _decayed_work(self, now_ms: int) -> float:
        elapsed_ms = max(now_ms - self._updated_ms, 0)
        return self._work_ms * math.exp(-elapsed_ms / self._time_constant_ms)

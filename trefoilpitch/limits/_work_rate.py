"""How much work of each priority arrives."""

from __future__ import annotations

import math


class WorkRate:
    """An exponentially weighted mean of arriving work.

    Args:
        time_constant_ms: Time after which a past arrival weighs 1/e.
    """

    def __init__(self, time_constant_ms: float) -> None:
        self._time_constant_ms = time_constant_ms
        self._work_ms = 0.0
        self._updated_ms = 0

    def add(self, work_ms: float, now_ms: int) -> None:
        """Counts work that arrived."""
        self._work_ms = self._faded(now_ms) + work_ms
        self._updated_ms = now_ms

    def at(self, now_ms: int) -> float:
        """Returns milliseconds of work that arrive each millisecond."""
        return self._faded(now_ms) / self._time_constant_ms

    def _faded(self, now_ms: int) -> float:
        elapsed_ms = max(now_ms - self._updated_ms, 0)
        return self._work_ms * math.exp(-elapsed_ms / self._time_constant_ms)

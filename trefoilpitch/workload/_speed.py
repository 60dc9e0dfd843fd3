"""How long work takes at an upstream, relative to the usual time.

Load pattern: upstreams run at different speeds, and the speed of each one
changes many times a second. A daemon of a large fleet hears from an upstream
every few seconds only, so that a single report says little about the next
request: what counts is the mean over many reports.
"""

from __future__ import annotations

import math

# Half-life of a report's weight in the recent average.
_RECENT_HALF_LIFE_MS = 4_000.0
# Weight of the long-run mean in the value, in reports.
_LONG_RUN_WEIGHT = 3.0
# Weight of the usual speed in the long-run mean, in values, and the number of
# values that it remembers.
_PRIOR_WEIGHT = 1.0
_LONG_RUN_VALUES = 60.0
_PERCENT = 100.0
# Measured ratios outside of these are faults or errors of the estimate.
_MIN_RATIO = 0.2
_MAX_RATIO = 10.0


class SpeedAverage:
    """Average duration of work at one upstream; 1 is as usual."""

    __slots__ = (
        "_long_run",
        "_long_run_weight",
        "_recent",
        "_recent_weight",
        "_reported",
        "_updated_ms",
    )

    def __init__(self) -> None:
        # Weighted sums of values, and the sums of their weights.
        self._recent = 0.0
        self._recent_weight = 0.0
        self._long_run = _PRIOR_WEIGHT
        self._long_run_weight = _PRIOR_WEIGHT
        self._reported = False
        # Monotonic time of the last report.
        self._updated_ms = 0

    @property
    def updated_ms(self) -> int:
        """Monotonic time of the last report; 0 without any."""
        return self._updated_ms

    def age_ms(self, now_ms: int) -> int | None:
        """Returns the time since the last report; None without any."""
        return now_ms - self._updated_ms if self._reported else None

    def record_report(self, duration_percent: int, now_ms: int) -> None:
        """Records a report of the upstream; 100 is as usual."""
        value = _clamp(duration_percent / _PERCENT)
        factor = self._decay(now_ms)
        self._recent = factor * self._recent + value
        self._recent_weight = factor * self._recent_weight + 1.0
        self._reported = True
        self._updated_ms = now_ms
        self._remember(value)

    def record_measured(self, ratio: float) -> None:
        """Records a finished request: its time relative to the usual one."""
        self._remember(_clamp(ratio))

    def duration(self, now_ms: int) -> float:
        """Returns the expected duration of work, relative to the usual one.

        The older the reports are, the more it follows the long-run mean.
        """
        weight = self._decay(now_ms) * self._recent_weight
        long_run = self._long_run / self._long_run_weight
        if weight <= 0.0:
            return long_run
        recent = self._recent / self._recent_weight
        return (weight * recent + _LONG_RUN_WEIGHT * long_run) / (
            weight + _LONG_RUN_WEIGHT
        )

    def _decay(self, now_ms: int) -> float:
        elapsed_ms = max(0, now_ms - self._updated_ms)
        return math.exp2(-elapsed_ms / _RECENT_HALF_LIFE_MS)

    def _remember(self, value: float) -> None:
        self._long_run += value
        self._long_run_weight += 1.0
        if self._long_run_weight > _LONG_RUN_VALUES:
            excess = _LONG_RUN_VALUES / self._long_run_weight
            self._long_run *= excess
            self._long_run_weight = _LONG_RUN_VALUES


def _clamp(ratio: float) -> float:
    return min(_MAX_RATIO, max(_MIN_RATIO, ratio))

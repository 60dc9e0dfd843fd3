"""Averages and maxima that forget exponentially."""

from __future__ import annotations

import math

# The weight of a value grows with the time since the one before, so that a
# change shows within some ten seconds at any rate; within these limits, so that
# neither a burst nor a single value after a pause outweighs all others.
_HALF_LIFE_MS = 5_000.0
_MIN_WEIGHT = 0.05
_MAX_WEIGHT = 0.3
_MAXIMUM_HALF_LIFE_MS = 1_000.0


class DecayingMean:
    """Mean and spread of the recent values of a quantity."""

    __slots__ = ("_count", "_mean", "_updated_ms", "_variance")

    def __init__(self) -> None:
        self._count = 0
        self._mean = 0.0
        self._variance = 0.0
        self._updated_ms = 0

    @property
    def count(self) -> int:
        """Number of values so far."""
        return self._count

    @property
    def mean(self) -> float:
        """Mean of the recent values; 0 without any."""
        return self._mean

    @property
    def spread(self) -> float:
        """Standard deviation of the recent values."""
        return math.sqrt(self._variance)

    def record(self, value: float, now_ms: int) -> None:
        """Adds a value."""
        self._count += 1
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        weight = 1.0 - math.exp2(-elapsed_ms / _HALF_LIFE_MS)
        weight = min(_MAX_WEIGHT, max(_MIN_WEIGHT, weight))
        weight = max(weight, 1.0 / self._count)
        change = value - self._mean
        self._mean += weight * change
        self._variance = (1.0 - weight) * (
            self._variance + weight * change * change
        )


class DecayingMaximum:
    """The largest recent value of a quantity, which fades with its age."""

    __slots__ = ("_updated_ms", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._updated_ms = 0

    def record(self, value: float, now_ms: int) -> None:
        """Adds a value."""
        if value >= self.value(now_ms):
            self._value = value
            self._updated_ms = now_ms

    def value(self, now_ms: int) -> float:
        """Returns the maximum; it halves in the time of a few events."""
        elapsed_ms = max(0, now_ms - self._updated_ms)
        return self._value * math.exp2(-elapsed_ms / _MAXIMUM_HALF_LIFE_MS)

"""How recent answers spread over the bins of the signal."""

from __future__ import annotations

import array

from trefoilpitch.cascade._nodes import ResponseKey

_MEMORY_ANSWERS = 2_000.0
_RESCALE_AT = 1e9


class RecentAnswers:
    """Fading counts of this node's answers by bin.

    What prompts are like, and what a version makes of them, shows in the
    signals of answers at once, long before ratings come. These counts
    follow it; older ones would hide it.

    Args:
        bins: The number of bins.
    """

    def __init__(self, bins: int) -> None:
        self._bins = bins
        self._rows: dict[ResponseKey, array.array[float]] = {}
        self._weights: dict[ResponseKey, float] = {}

    def add(self, key: ResponseKey, position: int) -> None:
        """Counts an answer."""
        row = self._rows.get(key)
        if row is None:
            row = array.array("d", bytes(8 * self._bins))
            self._rows[key] = row
        # A growing weight of new answers fades the old ones.
        weight = self._weights.get(key, 1.0) * (1.0 + 1.0 / _MEMORY_ANSWERS)
        if weight > _RESCALE_AT:
            for index, value in enumerate(row):
                row[index] = value / weight
            weight = 1.0
        row[position] += weight
        self._weights[key] = weight

    def counts(self, key: ResponseKey) -> tuple[float, ...] | None:
        """Returns the fading counts by bin; None when there are none."""
        row = self._rows.get(key)
        if row is None:
            return None
        weight = self._weights[key]
        return tuple(value / weight for value in row)

"""Distribution of recent responses over the bins of the signal."""

from __future__ import annotations

import array

from trefoilpitch.cascade._nodes import ResponseKey

# Weight of the exponentially decaying counts, in responses.
_WINDOW_RESPONSES = 2_000.0
# Weight of a new response above which its row is rescaled to a weight of 1,
# which bounds the stored values.
_RESCALE_AT = 1e9


class RecentResponses:
    """Exponentially decaying counts of this node's responses by bin.

    A change of the prompts, or of how a version handles them, shows in the
    signals of responses at once, long before ratings arrive. These counts
    follow such a change; all-time counts would hide it.

    Args:
        bins: The number of bins of the confidence signal.
    """

    def __init__(self, bins: int) -> None:
        self._bins = bins
        self._rows: dict[ResponseKey, array.array[float]] = {}
        self._weights: dict[ResponseKey, float] = {}

    def add(self, key: ResponseKey, position: int) -> None:
        """Counts a response in a bin."""
        row = self._rows.get(key)
        if row is None:
            row = array.array("d", bytes(8 * self._bins))
            self._rows[key] = row
        # Increasing the weight of new responses decays the old ones without
        # rewriting the row each time.
        weight = self._weights.get(key, 1.0) * (1.0 + 1.0 / _WINDOW_RESPONSES)
        if weight > _RESCALE_AT:
            for index, value in enumerate(row):
                row[index] = value / weight
            weight = 1.0
        row[position] += weight
        self._weights[key] = weight

    def counts(self, key: ResponseKey) -> tuple[float, ...] | None:
        """Returns the decayed counts by bin; None before the first response."""
        row = self._rows.get(key)
        if row is None:
            return None
        weight = self._weights[key]
        return tuple(value / weight for value in row)

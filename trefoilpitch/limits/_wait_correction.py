"""Correction of wait estimates by the waits observed so far."""

from __future__ import annotations

# Time constant of the exponential moving averages, in requests.
_WINDOW_REQUESTS = 50.0
# Added to both averages, so that waits of a few milliseconds do not swing the
# ratio.
_SMOOTHING_MS = 200.0
_MIN_FACTOR = 0.5
_MAX_FACTOR = 8.0


class WaitCorrection:
    """Ratio of actual to estimated waits of recent requests.

    Estimates are based on expected run times and arrival rates, which
    callers and engines may not adhere to.
    """

    def __init__(self) -> None:
        self._estimated_ms = 0.0
        self._actual_ms = 0.0

    @property
    def factor(self) -> float:
        """Multiplier for wait estimates."""
        ratio = (self._actual_ms + _SMOOTHING_MS) / (
            self._estimated_ms + _SMOOTHING_MS
        )
        return min(max(ratio, _MIN_FACTOR), _MAX_FACTOR)

    def observe(self, estimated_ms: float, actual_ms: float) -> None:
        """Updates the ratio with a request that left the queue to run.

        Args:
            estimated_ms: The uncorrected estimate made at its admission.
            actual_ms: How long it waited.
        """
        keep = 1.0 - 1.0 / _WINDOW_REQUESTS
        self._estimated_ms = (
            self._estimated_ms * keep + estimated_ms / _WINDOW_REQUESTS
        )
        self._actual_ms = self._actual_ms * keep + actual_ms / _WINDOW_REQUESTS

"""Corrects estimates of the wait by how earlier ones turned out."""

from __future__ import annotations

_MEMORY = 50.0
_GRACE_MS = 200.0
_MIN_FACTOR = 0.5
_MAX_FACTOR = 8.0


class WaitCorrection:
    """The ratio of actual to estimated waits, over the last requests.

    Estimates rest on expected run times and arrival rates that callers and
    engines may not keep to.
    """

    def __init__(self) -> None:
        self._estimated_ms = 0.0
        self._actual_ms = 0.0

    @property
    def factor(self) -> float:
        """What to multiply an estimate with."""
        ratio = (self._actual_ms + _GRACE_MS) / (self._estimated_ms + _GRACE_MS)
        return min(max(ratio, _MIN_FACTOR), _MAX_FACTOR)

    def observe(self, estimated_ms: float, actual_ms: float) -> None:
        """Takes in a request that started.

        Args:
            estimated_ms: The uncorrected estimate when it was admitted.
            actual_ms: How long it waited.
        """
        keep = 1.0 - 1.0 / _MEMORY
        self._estimated_ms = self._estimated_ms * keep + estimated_ms / _MEMORY
        self._actual_ms = self._actual_ms * keep + actual_ms / _MEMORY

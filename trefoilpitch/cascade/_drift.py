"""Detection of drops in the quality of a version's responses."""

from __future__ import annotations

import dataclasses
import math

from trefoilpitch.cascade._counts import BinCounts
from trefoilpitch.cascade._nodes import ResponseKey

# Earlier ratings in a bin from which its expected quality is meaningful.
_MIN_RATINGS = 5.0
# Lowest quality assumed after a drop; keeps the logarithm finite.
_MIN_QUALITY = 0.02


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DriftSettings:
    """Size of the drops to detect, and the evidence that is required."""

    # Drop of the share of good responses to detect, from 0 to 1.
    drop: float = 0.15
    # Log likelihood ratio at which a drop counts as detected.
    threshold: float = 6.0


DEFAULT_SETTINGS = DriftSettings()


class DriftDetector:
    """Cumulative sum (CUSUM) test for a drop in quality, by response key.

    Each rating is compared with the share of good responses among the earlier
    ratings in its bin. The sum never falls below zero, so a long period of
    good ratings does not delay the detection.
    """

    def __init__(self, settings: DriftSettings = DEFAULT_SETTINGS) -> None:
        self._settings = settings
        self._sums: dict[ResponseKey, float] = {}

    def observe(
        self, key: ResponseKey, earlier: BinCounts, good: int, bad: int
    ) -> bool:
        """Adds ratings; returns whether a drop is now detected.

        Args:
            key: The key of the rated responses.
            earlier: Counts of their bin without these ratings.
            good: The number of good ratings.
            bad: The number of bad ratings.
        """
        if earlier.ratings < _MIN_RATINGS:
            return False
        expected = (earlier.good + 1.0) / (earlier.ratings + 2.0)
        dropped = max(expected - self._settings.drop, _MIN_QUALITY)
        if dropped >= expected:
            return False
        log_ratio = good * math.log(dropped / expected)
        log_ratio += bad * math.log((1.0 - dropped) / (1.0 - expected))
        total = max(self._sums.get(key, 0.0) + log_ratio, 0.0)
        is_detected = total >= self._settings.threshold
        self._sums[key] = 0.0 if is_detected else total
        return is_detected

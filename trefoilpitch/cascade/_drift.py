"""Notices when a version's answers have become worse."""

from __future__ import annotations

import dataclasses
import math

from trefoilpitch.cascade._counts import BinCounts
from trefoilpitch.cascade._nodes import ResponseKey

_MIN_RATINGS = 5.0
_FLOOR = 0.02


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DriftSettings:
    """How large a drop is looked for, and how sure an alarm must be."""

    # Drop of the share of good answers that is looked for, from 0 to 1.
    drop: float = 0.15
    # Log likelihood ratio at which a drop is taken as certain.
    threshold: float = 6.0


DEFAULT_SETTINGS = DriftSettings()


class DriftDetector:
    """Cumulative sums of the evidence for a drop, by kind of answer.

    Each rating is compared with the share that earlier ratings in its bin
    promise. The sum never falls below zero, so a long good past does not
    delay the alarm.
    """

    def __init__(self, settings: DriftSettings = DEFAULT_SETTINGS) -> None:
        self._settings = settings
        self._sums: dict[ResponseKey, float] = {}

    def observe(
        self, key: ResponseKey, earlier: BinCounts, good: int, bad: int
    ) -> bool:
        """Takes in ratings; returns whether the drop is now certain.

        Args:
            key: The kind of answer.
            earlier: Counts of its bin without the ratings.
            good: Good ratings.
            bad: Bad ratings.
        """
        if earlier.ratings < _MIN_RATINGS:
            return False
        expected = (earlier.good + 1.0) / (earlier.ratings + 2.0)
        dropped = max(expected - self._settings.drop, _FLOOR)
        if dropped >= expected:
            return False
        ratio = good * math.log(dropped / expected)
        ratio += bad * math.log((1.0 - dropped) / (1.0 - expected))
        total = max(self._sums.get(key, 0.0) + ratio, 0.0)
        alarm = total >= self._settings.threshold
        self._sums[key] = 0.0 if alarm else total
        return alarm

"""Compares the quality that was delivered with the target."""

from __future__ import annotations

import dataclasses
import math

_MEMORY_RATINGS = 400.0
_ERRORS_ALLOWED = 0.5


@dataclasses.dataclass(slots=True)
class _Tally:
    """Fading counts of ratings."""

    ratings: float = 0.0
    good: float = 0.0

    def add(self, good: int, bad: int) -> None:
        count = good + bad
        keep = max(1.0 - count / _MEMORY_RATINGS, 0.0)
        self.ratings = self.ratings * keep + count
        self.good = self.good * keep + good

    def shortfall(self, target: float) -> float:
        if self.ratings < 1.0:
            return 0.0
        mean = self.good / self.ratings
        error = math.sqrt(target * (1.0 - target) / self.ratings)
        return max(target - mean - _ERRORS_ALLOWED * error, 0.0)


class DeliveredQuality:
    """Tells by how much recent answers missed their target.

    Plans rest on estimates by bin of the signal, whose errors are alike in
    all workspaces that share them. What was delivered shows such an error,
    whatever its cause.
    """

    def __init__(self) -> None:
        self._tallies: dict[tuple[str, str], _Tally] = {}

    def observe(self, workspace: str, task: str, good: int, bad: int) -> None:
        """Takes in ratings of delivered answers."""
        tally = self._tallies.setdefault((workspace, task), _Tally())
        tally.add(good, bad)

    def shortfall(self, workspace: str, task: str, target: float) -> float:
        """Returns what was missed beyond the likely error; 0 for nothing."""
        tally = self._tallies.get((workspace, task))
        return 0.0 if tally is None else tally.shortfall(target)

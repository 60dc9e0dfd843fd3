"""Comparison of the delivered quality with the target."""

from __future__ import annotations

import dataclasses
import math

# Weight of the exponentially decaying counts, in ratings.
_WINDOW_RATINGS = 400.0
# Standard errors by which the measured quality may miss the target before the
# difference counts as a shortfall.
_ALLOWED_ERRORS = 0.5


@dataclasses.dataclass(slots=True)
class _Tally:
    """Exponentially decaying counts of ratings."""

    ratings: float = 0.0
    good: float = 0.0

    def add(self, good: int, bad: int) -> None:
        count = good + bad
        keep = max(1.0 - count / _WINDOW_RATINGS, 0.0)
        self.ratings = self.ratings * keep + count
        self.good = self.good * keep + good

    def shortfall(self, target: float) -> float:
        if self.ratings < 1.0:
            return 0.0
        mean = self.good / self.ratings
        error = math.sqrt(target * (1.0 - target) / self.ratings)
        return max(target - mean - _ALLOWED_ERRORS * error, 0.0)


class DeliveredQuality:
    """Measures by how much recent responses missed the quality target.

    Plans are based on quality estimates for each bin of the confidence
    signal. An error in them is shared by all workspaces that use them, and
    only shows in the ratings of delivered responses, whatever its cause.
    """

    def __init__(self) -> None:
        self._tallies: dict[tuple[str, str], _Tally] = {}

    def observe(self, workspace: str, task: str, good: int, bad: int) -> None:
        """Adds ratings of delivered responses."""
        tally = self._tallies.setdefault((workspace, task), _Tally())
        tally.add(good, bad)

    def shortfall(self, workspace: str, task: str, target: float) -> float:
        """Returns by how much the quality missed the target.

        Returns:
            The difference beyond the allowed statistical error; 0 if there is
            none.
        """
        tally = self._tallies.get((workspace, task))
        return 0.0 if tally is None else tally.shortfall(target)

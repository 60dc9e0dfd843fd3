"""A budget that limits retries and hedges to a share of the traffic."""

from __future__ import annotations

DEFAULT_SHARE = 0.08
DEFAULT_BURST = 10.0
# Slightly less than 1, so that rounding errors in the credit cost no attempt.
_ONE_ATTEMPT = 1.0 - 1e-9


class RetryBudget:
    """Credit for extra attempts (retries and hedges).

    Over any period, extra attempts number at most ``share`` times the first
    attempts plus ``burst``.

    Args:
        share: Credit earned by each first attempt, from 0 to 1.
        burst: The most credit that can be saved up; also the initial credit.
    """

    def __init__(
        self, share: float = DEFAULT_SHARE, burst: float = DEFAULT_BURST
    ) -> None:
        if not 0.0 <= share <= 1.0 or burst < 0.0:
            raise ValueError(f"share {share} or burst {burst} is out of range")
        self._share = share
        self._burst = burst
        self._credit = burst

    @property
    def credit(self) -> float:
        """Extra attempts that the budget allows now."""
        return self._credit

    def record_first_attempt(self) -> None:
        """Adds the credit that a request's first attempt earns."""
        self._credit = min(self._burst, self._credit + self._share)

    def affords(self, reserve: float = 0.0) -> bool:
        """Returns whether an extra attempt leaves at least ``reserve``."""
        return self._credit - reserve >= _ONE_ATTEMPT

    def spend(self) -> None:
        """Takes the credit of one extra attempt.

        Raises:
            ValueError: If there is not enough credit.
        """
        if not self.affords():
            raise ValueError("the retry budget is exhausted")
        self._credit -= 1.0

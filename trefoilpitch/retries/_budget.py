"""A budget that bounds extra tries to a share of the traffic."""

from __future__ import annotations

DEFAULT_SHARE = 0.08
DEFAULT_BURST = 10.0
_WHOLE_TRY = 1.0 - 1e-9


class RetryBudget:
    """Holds credit for retries and hedges, earned by first tries.

    Over any stretch of time the extra tries are at most ``share`` times the
    first tries plus ``burst``.

    Args:
        share: Extra tries earned by one first try, from 0 to 1.
        burst: The most extra tries that can be saved up; also the start.
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
        """Extra tries that can be afforded now."""
        return self._credit

    def record_first_attempt(self) -> None:
        """Earns credit for a request's first try."""
        self._credit = min(self._burst, self._credit + self._share)

    def affords(self, reserve: float = 0.0) -> bool:
        """Returns whether an extra try leaves at least ``reserve``."""
        return self._credit - reserve >= _WHOLE_TRY

    def spend(self) -> None:
        """Pays for one extra try.

        Raises:
            ValueError: If the budget does not afford it.
        """
        if not self.affords():
            raise ValueError("the retry budget is spent")
        self._credit -= 1.0

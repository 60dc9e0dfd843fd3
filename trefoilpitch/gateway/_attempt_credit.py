"""The retry budget that the attempts of one request use."""

from __future__ import annotations

from trefoilpitch.retries import WindowedRetryBudget


class AttemptCredit:
    """Spends the service's retry budget for one request.

    Its first attempt is free.

    Args:
        budget: The retry budget of the request's service.
    """

    def __init__(self, budget: WindowedRetryBudget) -> None:
        self._budget = budget
        self._sent = 0
        self._reserved = False

    def affords(self) -> bool:
        """Returns whether another attempt may be sent."""
        return self._sent == 0 or self._reserved or self._budget.affords()

    def affords_retry(self) -> bool:
        """Returns whether the budget allows a retry, whatever is reserved."""
        return self._budget.affords()

    def reserve(self) -> None:
        """Reserves what the next attempt costs.

        It is reserved with the choice of an upstream, as many requests may wait
        for one credit.
        """
        if self._sent > 0 and not self._reserved:
            self._reserved = self._budget.reserve()

    def release(self) -> None:
        """Takes back the reservation of an attempt that was not sent."""
        if self._reserved:
            self._reserved = False
            self._budget.release()

    def record_sent(self) -> bool:
        """Records that an attempt was sent.

        Returns:
            Whether it has drawn on the budget.
        """
        self._sent += 1
        charged = self._reserved
        if charged:
            self._reserved = False
            self._budget.spend_reserved()
        return charged

    def record_not_sent(self, *, charged: bool) -> None:
        """Takes back an attempt that has reached no upstream.

        Args:
            charged: What `record_sent` returned for it.
        """
        self._sent -= 1
        if charged:
            self._budget.refund()

"""Limits the rate at which loads from the weight store are started."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadBudget:
    """An immutable token bucket whose balance is counted in milliseconds.

    It starts empty, so that a new lease holder does not start loads on top of
    those that its predecessor has just started.
    """

    # Time to accrue one token, which permits one load.
    interval_ms: int
    # Capacity in tokens.
    burst: int
    # Balance at ``updated_ms``; one token is worth ``interval_ms``.
    balance_ms: int = 0
    # When the balance was last updated.
    updated_ms: int

    def refilled(self, now_ms: int) -> LoadBudget:
        """Returns the budget with the tokens accrued up to a time."""
        balance_ms = self.balance_ms + max(now_ms - self.updated_ms, 0)
        return dataclasses.replace(
            self,
            balance_ms=min(balance_ms, self.burst * self.interval_ms),
            updated_ms=now_ms,
        )

    @property
    def has_token(self) -> bool:
        """Whether one more load may be started."""
        return self.balance_ms >= self.interval_ms

    def with_token_taken(self) -> LoadBudget:
        """Returns the budget after a load was ordered."""
        return dataclasses.replace(
            self, balance_ms=self.balance_ms - self.interval_ms
        )

    def with_token_returned(self) -> LoadBudget:
        """Returns the budget after an ordered load turned out not to start."""
        return dataclasses.replace(
            self, balance_ms=self.balance_ms + self.interval_ms
        )

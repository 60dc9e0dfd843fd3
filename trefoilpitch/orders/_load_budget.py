"""Limits the rate at which loads from the weight store begin."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadBudget:
    """A token bucket that keeps its tokens as saved milliseconds.

    It starts empty, so that a new holder cannot begin loads on top of those
    that its predecessor has just begun.
    """

    # Time that one load costs.
    interval_ms: int
    # Loads that can be saved up.
    burst: int
    # Time saved at the last update.
    saved_ms: int = 0
    # When the saved time was last updated.
    updated_ms: int

    def refilled(self, now_ms: int) -> LoadBudget:
        """Returns the budget at a later time."""
        saved_ms = self.saved_ms + max(now_ms - self.updated_ms, 0)
        return dataclasses.replace(
            self,
            saved_ms=min(saved_ms, self.burst * self.interval_ms),
            updated_ms=now_ms,
        )

    @property
    def has_token(self) -> bool:
        """Whether one load may begin now."""
        return self.saved_ms >= self.interval_ms

    def taken(self) -> LoadBudget:
        """Returns the budget after one load has been ordered."""
        return dataclasses.replace(
            self, saved_ms=self.saved_ms - self.interval_ms
        )

    def given_back(self) -> LoadBudget:
        """Returns the budget after an ordered load was refused."""
        return dataclasses.replace(
            self, saved_ms=self.saved_ms + self.interval_ms
        )

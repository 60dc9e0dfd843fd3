"""This daemon's share of the fleet's retry budget, by service.

Load pattern: many requests fail at all daemons at once. The daemons' shares of
the permitted retries add up to at most the fleet's, without coordination.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from trefoilpitch.clock import Clock
from trefoilpitch.gateway._node_settings import NodeSettings
from trefoilpitch.retries import WindowedRetryBudget

# Fraction of the fleet's retry budget that is used; the rest is a margin for
# requests that are counted twice and for daemons that join and leave.
_BUDGET_SHARE = 0.85


class RetryBudgets:
    """The retry budgets of the services.

    Args:
        settings: State the fleet's limits.
        clock: Provides monotonic time.
        members: Returns the names of all daemons that may be running.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        members: Callable[[], Collection[str]],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._members = members
        self._budgets: dict[str, WindowedRetryBudget] = {}

    def budget(self, service: str) -> WindowedRetryBudget:
        """Returns the budget of a service."""
        settings = self._settings
        # The fleet grows while it starts, and all shares must sum to the slack.
        members = max(1, len(self._members()))
        slack = max(1.0, settings.retry_slack * _BUDGET_SHARE / members)
        budget = self._budgets.get(service)
        if budget is None:
            budget = WindowedRetryBudget(
                self._clock,
                share=settings.retry_ratio * _BUDGET_SHARE,
                slack=slack,
                window_ms=settings.retry_window_ms,
            )
            self._budgets[service] = budget
        budget.slack = slack
        return budget

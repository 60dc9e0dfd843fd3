"""Decides which requests wait for an upstream, from what this daemon sees.

Load pattern: capacity is scarce. The daemons compete for it: one that has many
requests in flight gets their places back as they end, and would keep them from
daemons whose requests wait. While the fleet wants more than there is, a daemon
has at most its part of the places, by its part of the demand.
"""

from __future__ import annotations

import dataclasses
import random
from collections import Counter, defaultdict

from trefoilpitch.clock import Clock
from trefoilpitch.gateway._admission_forecast import (
    Forecast,
    Refuse,
    Tolerance,
    decide,
    forecast,
)
from trefoilpitch.gateway._dispatcher import NoUpstream
from trefoilpitch.gateway._service_load import ServiceLoads
from trefoilpitch.gateway._waiting import WaitTerms
from trefoilpitch.gateway._workspace_rates import WorkspaceRates
from trefoilpitch.metrics import Label, Metrics


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotInTime(NoUpstream):
    """A request is refused because its wait would be too long."""

    # What its wait would be; None if its time ended while it waited.
    expected: Forecast | None = None
    # Whether its workspace sends far more than usual.
    excess: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Waiting:
    """The requests that wait for a service."""

    by_priority: Counter[int]
    # Those that get their places before a request.
    ahead: int = 0


class AdmissionControl:
    """Decides on waiting for the services' upstreams.

    Args:
        loads: Describes the load of services.
        clock: Provides monotonic time.
        rng: Spreads the times at which refused callers come back.
        metrics: Counts refusals and compares waits with their forecasts.
    """

    def __init__(
        self,
        loads: ServiceLoads,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._loads = loads
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._workspaces: dict[str, WorkspaceRates] = {}
        # By service, priority and whether requests are in excess.
        self._tolerances: defaultdict[tuple[str, int, bool], Tolerance] = (
            defaultdict(Tolerance)
        )

    def record_arrival(
        self, service: str, priority: int, workspace: str | None
    ) -> bool:
        """Records a caller's request.

        Returns:
            Whether it is in excess of its workspace's usual rate.
        """
        excess = False
        if workspace is not None:
            now_ms = self._clock.now_ms()
            rates = self._workspaces.get(service)
            if rates is None:
                rates = self._workspaces[service] = WorkspaceRates(now_ms)
            excess = rates.record(workspace, now_ms)
        if not excess:
            # Those in excess overtake no others.
            self._loads.record_arrival(service, priority)
        return excess

    def record_completion(self, service: str, duration_ms: int) -> None:
        """Records a request that has run at an upstream."""
        self._loads.record_completion(service, duration_ms)

    def record_wait(self, wait_ms: int, expected: Forecast | None) -> None:
        """Records how long a request waited, and how long it was expected."""
        self._metrics.observe_ms("wait", wait_ms)
        if expected is not None:
            self._metrics.observe_ms("wait_forecast", expected.wait_ms)
            error_ms = abs(wait_ms - expected.wait_ms)
            self._metrics.observe_ms("wait_forecast_error", error_ms)

    def has_place(self, service: str, waiting: Counter[int]) -> bool:
        """Returns whether this daemon's part of the places is not used up."""
        share = self._loads.describe(service, waiting).share
        return share is None or self._loads.own_in_flight(service) < share

    def forecast(
        self, service: str, terms: WaitTerms, waiting: Waiting
    ) -> Forecast | None:
        """Predicts the wait of a request; None if nothing is known."""
        load = self._loads.describe(service, waiting.by_priority)
        now_ms = self._clock.now_ms()
        return forecast(load, terms, ahead=waiting.ahead, now_ms=now_ms)

    def refusal(
        self, service: str, terms: WaitTerms, waiting: Waiting, *, waits: bool
    ) -> NotInTime | None:
        """Returns why a request is refused; None if it may wait.

        Args:
            service: The service.
            terms: The terms of the request.
            waiting: The requests that wait.
            waits: Whether it is one of them.
        """
        now_ms = self._clock.now_ms()
        expected = self.forecast(service, terms, waiting)
        tolerance = self._tolerances[service, terms.priority, terms.excess]
        decision = decide(
            self._loads.describe(service, waiting.by_priority),
            expected,
            terms,
            self._rng,
            now_ms=now_ms,
            tolerance=1.0 if waits else tolerance.share(now_ms),
        )
        if not isinstance(decision, Refuse):
            return None
        tolerance.record_refused(now_ms)
        self._count("forecast", terms)
        return NotInTime(
            reason="no place is expected before the deadline",
            available_in_ms=decision.retry_after_ms,
            expected=expected,
            excess=terms.excess,
        )

    def refusal_after_wait(
        self, terms: WaitTerms, found: NoUpstream
    ) -> NotInTime:
        """Returns the refusal of a request that has waited in vain.

        Args:
            terms: The terms of the request.
            found: Why it had no place when it began to wait.
        """
        self._count("waited", terms)
        return NotInTime(
            reason=f"waited in vain: {found.reason}",
            available_in_ms=found.available_in_ms,
            excess=terms.excess,
        )

    def _count(self, reason: str, terms: WaitTerms) -> None:
        rate = "excess" if terms.excess else "usual"
        self._metrics.count(
            "refusals",
            Label(name="reason", value=reason),
            Label(name="workspace_rate", value=rate),
            Label(name="priority", value=str(terms.priority)),
        )

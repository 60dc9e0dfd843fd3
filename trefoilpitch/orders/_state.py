"""The immutable state of a reconciler."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from trefoilpitch.bundle import VersionRef
from trefoilpitch.orders._desired import EngineTarget
from trefoilpitch.orders._exceptions import OrderError
from trefoilpitch.orders._load_budget import LoadBudget
from trefoilpitch.orders._scope import EngineScope
from trefoilpitch.orders._types import (
    EngineStatus,
    OrderCounters,
    ReconcilerSettings,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PendingCall:
    """An in-flight call to an engine."""

    # Identifies the call in the event that ends it.
    call_id: int
    # When the call was requested.
    sent_ms: int
    # Whether the call is an order rather than a read.
    is_order: bool = False
    # Versions that the order loads.
    loads: frozenset[VersionRef] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailedCall:
    """A call that failed."""

    error: OrderError
    # Monotonic time of the failure.
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineView:
    """A reconciler's last observations of one engine."""

    # The last status, its ``loading`` including the unconfirmed loads; None
    # before the first read.
    status: EngineStatus | None = None
    # The in-flight call; there is at most one at a time.
    call: PendingCall | None = None
    # Accepted loads that no status has shown yet, and the time at which each
    # is taken to have failed.
    unconfirmed_loads: Mapping[VersionRef, int] = dataclasses.field(
        default_factory=dict
    )
    # When each unwanted version that the engine has was first observed
    # to be unwanted.
    unwanted_since_ms: Mapping[VersionRef, int] = dataclasses.field(
        default_factory=dict
    )
    # Consecutive failed calls; selects the backoff.
    failures: int = 0
    # The last failed call since the lease was acquired, if any.
    last_failure: FailedCall | None = None
    # When the next read is due, on the monotonic clock.
    next_read_ms: int

    @property
    def loading(self) -> int:
        """Number of loads from the weight store that may be in progress."""
        reported = frozenset() if self.status is None else self.status.loading
        ordered = frozenset() if self.call is None else self.call.loads
        return len(reported | ordered | self.unconfirmed_loads.keys())

    def with_status(self, status: EngineStatus, now_ms: int) -> EngineView:
        """Returns the view after a read.

        Unconfirmed loads of an engine that does not report its loads are kept
        until they show up, time out or the engine restarts.
        """
        has_restarted = (
            self.status is not None
            and self.status.incarnation != status.incarnation
        )
        unconfirmed_loads = {
            version: failed_ms
            for version, failed_ms in self.unconfirmed_loads.items()
            if not status.reports_loading
            and not has_restarted
            and version not in status.present
            and now_ms < failed_ms
        }
        loading = status.loading | unconfirmed_loads.keys()
        return dataclasses.replace(
            self,
            status=dataclasses.replace(status, loading=loading),
            unconfirmed_loads=unconfirmed_loads,
            call=None,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReconcilerState:
    """The complete state of a reconciler."""

    settings: ReconcilerSettings
    # The engines to control; every engine if absent.
    scope: EngineScope | None = None
    # The lease's fencing number; None while the lease is not held.
    fencing_number: int | None = None
    # Targets by engine name.
    targets: Mapping[str, EngineTarget] = dataclasses.field(
        default_factory=dict
    )
    # Observations by engine name.
    engines: Mapping[str, EngineView] = dataclasses.field(default_factory=dict)
    # Limits the rate of loads over all engines.
    budget: LoadBudget
    # The highest call id assigned so far.
    last_call_id: int = 0
    counters: OrderCounters = dataclasses.field(default_factory=OrderCounters)

    @property
    def may_load(self) -> bool:
        """Whether the limits on concurrent loads and their rate allow one."""
        loading = sum(view.loading for view in self.engines.values())
        return (
            loading < self.settings.max_concurrent_loads
            and self.budget.has_token
        )

    def poll_interval_ms(self, engine: str) -> int:
        """Returns the interval between reads of an engine in its target state.

        An engine without fencing is read more often, since a stale order at it
        is only found by a read.
        """
        if self.targets[engine].upstream.checks_fencing:
            return self.settings.poll_interval_ms
        return self.settings.unfenced_poll_interval_ms

    def with_engine(self, engine: str, view: EngineView) -> ReconcilerState:
        """Returns the state with the view of one engine replaced."""
        return dataclasses.replace(self, engines={**self.engines, engine: view})

    def with_next_read(self, engine: str, next_read_ms: int) -> ReconcilerState:
        """Returns the state with the time of an engine's next read replaced."""
        view = dataclasses.replace(
            self.engines[engine], next_read_ms=next_read_ms
        )
        return self.with_engine(engine, view)

    def with_budget(self, now_ms: int) -> ReconcilerState:
        """Returns the state with the load budget refilled up to a time."""
        return dataclasses.replace(self, budget=self.budget.refilled(now_ms))

    def with_counts(self, **increments: int) -> ReconcilerState:
        """Returns the state with counters increased by the given amounts."""
        totals = {
            name: getattr(self.counters, name) + increment
            for name, increment in increments.items()
        }
        counters = dataclasses.replace(self.counters, **totals)
        return dataclasses.replace(self, counters=counters)


def initial_state(
    settings: ReconcilerSettings, now_ms: int, scope: EngineScope | None = None
) -> ReconcilerState:
    """Returns the state of a reconciler without a lease."""
    budget = LoadBudget(
        interval_ms=settings.load_interval_ms,
        burst=settings.load_burst,
        updated_ms=now_ms,
    )
    return ReconcilerState(settings=settings, scope=scope, budget=budget)

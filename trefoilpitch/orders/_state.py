"""What a reconciler knows and waits for."""

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
class Call:
    """A call on its way."""

    # Names it in its reply.
    call_id: int
    # When it was sent.
    sent_ms: int
    # Whether it is an order, and not a read.
    is_order: bool = False
    # The loads that it orders.
    loads: frozenset[VersionRef] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """A call that failed."""

    # Why.
    error: OrderError
    # When, on the monotonic clock.
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineView:
    """What is known of one engine."""

    # Its last status, with the reserved loads; None before the first.
    status: EngineStatus | None = None
    # The call on its way; there is one at a time.
    call: Call | None = None
    # Accepted loads that no status has shown yet, and when each has failed.
    unconfirmed_loads: Mapping[VersionRef, int] = dataclasses.field(
        default_factory=dict
    )
    # When versions it has were first seen unwanted.
    unwanted_since_ms: Mapping[VersionRef, int] = dataclasses.field(
        default_factory=dict
    )
    # Failures in a row.
    failures: int = 0
    # The last call of the term that failed, if any.
    last_failure: Failed | None = None
    # When the next read is due.
    due_ms: int

    @property
    def loading(self) -> int:
        """Loads from the weight store under way."""
        told = frozenset() if self.status is None else self.status.loading
        ordered = frozenset() if self.call is None else self.call.loads
        return len(told | ordered | self.unconfirmed_loads.keys())

    def with_status(self, status: EngineStatus, now_ms: int) -> EngineView:
        """Returns the view after the engine has told its status."""
        is_restarted = (
            self.status is not None
            and self.status.incarnation != status.incarnation
        )
        unconfirmed_loads = {
            version: failed_ms
            for version, failed_ms in self.unconfirmed_loads.items()
            if not status.reports_loading
            and not is_restarted
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
    """Everything that a reconciler knows and waits for."""

    # How it paces its calls and loads.
    terms: ReconcilerSettings
    # The engines that it gives orders to; every engine if absent.
    scope: EngineScope | None = None
    # The fencing number of its lease; None while it may give no orders.
    fencing_number: int | None = None
    # What each engine should serve.
    targets: Mapping[str, EngineTarget] = dataclasses.field(
        default_factory=dict
    )
    # What is known of each engine.
    engines: Mapping[str, EngineView] = dataclasses.field(default_factory=dict)
    # Limits the rate of loads.
    budget: LoadBudget
    # The last id given to a call.
    last_call_id: int = 0
    # Totals for operators.
    counters: OrderCounters = dataclasses.field(default_factory=OrderCounters)

    @property
    def may_load(self) -> bool:
        """Whether the weight store's share allows one more load."""
        loading = sum(view.loading for view in self.engines.values())
        return (
            loading < self.terms.max_concurrent_loads and self.budget.has_token
        )

    def poll_interval_ms(self, engine: str) -> int:
        """Returns the time between reads of an engine without changes."""
        if self.targets[engine].upstream.checks_fencing:
            return self.terms.poll_interval_ms
        return self.terms.unfenced_poll_interval_ms

    def with_engine(self, engine: str, view: EngineView) -> ReconcilerState:
        """Returns the state with another view of one engine."""
        return dataclasses.replace(self, engines={**self.engines, engine: view})

    def with_due(self, engine: str, due_ms: int) -> ReconcilerState:
        """Returns the state with another time for an engine's next read."""
        view = dataclasses.replace(self.engines[engine], due_ms=due_ms)
        return self.with_engine(engine, view)

    def with_budget(self, now_ms: int) -> ReconcilerState:
        """Returns the state with the budget refilled."""
        return dataclasses.replace(self, budget=self.budget.refilled(now_ms))

    def counting(self, **increments: int) -> ReconcilerState:
        """Returns the state with higher totals."""
        totals = {
            name: getattr(self.counters, name) + increment
            for name, increment in increments.items()
        }
        counters = dataclasses.replace(self.counters, **totals)
        return dataclasses.replace(self, counters=counters)


def initial_state(
    terms: ReconcilerSettings, now_ms: int, scope: EngineScope | None = None
) -> ReconcilerState:
    """Returns the state of a reconciler without a lease."""
    budget = LoadBudget(
        interval_ms=terms.load_interval_ms,
        burst=terms.load_burst,
        updated_ms=now_ms,
    )
    return ReconcilerState(terms=terms, scope=scope, budget=budget)

"""Engine statuses, orders, settings and counters of a reconciler."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from returns.result import Result

from trefoilpitch.bundle import Upstream, VersionRef
from trefoilpitch.orders._exceptions import OrderError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineStatus:
    """The status that an engine reports."""

    # Changes when the engine restarts.
    incarnation: str
    # Versions that the engine serves.
    loaded: frozenset[VersionRef] = frozenset()
    # Versions that the engine is loading from the weight store.
    loading: frozenset[VersionRef] = frozenset()
    # Versions with in-flight requests.
    busy: frozenset[VersionRef] = frozenset()
    # Whether the engine reports the versions that it is loading.
    reports_loading: bool = True
    # Highest fencing number received by the engine; 0 if not reported.
    fencing_number: int = 0

    @property
    def present(self) -> frozenset[VersionRef]:
        """Versions that the engine serves or is loading."""
        return self.loaded | self.loading


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineOrder:
    """The whole set of versions that an engine should serve; idempotent."""

    # The versions; the engine loads missing ones and unloads others.
    versions: frozenset[VersionRef]
    # Versions that the engine had or was loading when the order was decided.
    # On an engine that loads and unloads single versions, only these are
    # unloaded.
    observed_versions: frozenset[VersionRef] = frozenset()
    # The fencing number of the sender's lease.
    fencing_number: int


class EngineControl(Protocol):
    """Reads and orders engines; each call is made at most once."""

    def read_status(
        self, upstream: Upstream
    ) -> Result[EngineStatus, OrderError]:
        """Reads an engine's current status."""

    def send_order(
        self, upstream: Upstream, order: EngineOrder
    ) -> Result[None, OrderError]:
        """Sends an order; returns once the engine accepts it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReconcilerSettings:
    """Intervals and limits of one reconciler."""

    # Interval between reads of an engine that checks fencing numbers.
    poll_interval_ms: int = 10_000
    # Interval between reads of an engine that ignores fencing numbers.
    unfenced_poll_interval_ms: int = 3_000
    # Delay from an accepted order to the read that confirms it.
    confirm_interval_ms: int = 500
    # Time without a response after which a call counts as failed.
    call_timeout_ms: int = 5_000
    # Delay after the first failure; doubled after each consecutive failure.
    retry_interval_ms: int = 1_000
    # Maximum delay after a failure.
    max_retry_interval_ms: int = 60_000
    # Maximum age of the status from which an order is decided and sent.
    max_status_age_ms: int = 2_000
    # How long a version must have been unwanted before it is unloaded: other
    # nodes may still send it requests until they receive the change.
    unload_after_ms: int = 30_000
    # Time after which an accepted load counts as failed on an engine that does
    # not report its loads.
    load_timeout_ms: int = 120_000
    # Maximum concurrent loads from the weight store, over all engines.
    max_concurrent_loads: int = 4
    # Average interval at which loads may be started, over all engines.
    load_interval_ms: int = 5_000
    # Loads that may be started at once after a time without loads.
    load_burst: int = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderCounters:
    """Totals since the reconciler was created, exported as metrics."""

    # Orders issued.
    orders: int = 0
    # Loads contained in the orders.
    loads: int = 0
    # Unloads contained in the orders.
    unloads: int = 0
    # Failed calls other than those counted below.
    failures: int = 0
    # Orders rejected by an engine.
    rejections: int = 0
    # Calls that showed a higher fencing number than the lease's.
    stale_numbers: int = 0
    # Times that a load was deferred by the load limits.
    deferred_loads: int = 0

"""Engines' states, the orders to them and what paces the orders."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from returns.result import Result

from trefoilpitch.bundle import Upstream, VersionRef
from trefoilpitch.orders._exceptions import OrderError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineStatus:
    """What an engine says of itself."""

    # Changes when the engine restarts.
    incarnation: str
    # Versions that it serves.
    loaded: frozenset[VersionRef] = frozenset()
    # Versions that it is fetching from the weight store.
    loading: frozenset[VersionRef] = frozenset()
    # Versions that it has requests of.
    busy: frozenset[VersionRef] = frozenset()
    # Whether it tells which versions it is fetching.
    reports_loading: bool = True
    # The highest fencing number it has had; 0 if it does not tell.
    fencing_number: int = 0

    @property
    def present(self) -> frozenset[VersionRef]:
        """Versions that it serves or is about to serve."""
        return self.loaded | self.loading


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineOrder:
    """Tells an engine the whole set of versions to serve.

    The same order twice has the same effect as once.
    """

    # The versions; the engine loads and unloads what differs.
    versions: frozenset[VersionRef]
    # What it had, or was loading, when the order was decided. An engine that
    # takes single steps unloads nothing else.
    seen: frozenset[VersionRef] = frozenset()
    # The fencing number of the sender's lease.
    fencing_number: int


class EngineControl(Protocol):
    """Reads and orders engines. Calls are made once, never retried."""

    def read_status(
        self, upstream: Upstream
    ) -> Result[EngineStatus, OrderError]:
        """Reads what an engine serves now."""

    def send_order(
        self, upstream: Upstream, order: EngineOrder
    ) -> Result[None, OrderError]:
        """Has an engine begin to carry an order out."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReconcilerSettings:
    """How one reconciler paces its calls and loads."""

    # Time between reads of an engine that refuses old fencing numbers.
    poll_interval_ms: int = 10_000
    # Time between reads of an engine that ignores fencing numbers.
    unfenced_poll_interval_ms: int = 3_000
    # Time from an accepted order to the read that confirms it.
    confirm_interval_ms: int = 500
    # A call without a reply for so long is taken as lost.
    call_timeout_ms: int = 5_000
    # Time after the first failure; doubles with each one that follows.
    retry_interval_ms: int = 1_000
    # Longest time after a failure.
    max_retry_interval_ms: int = 60_000
    # A status older than this is read again before an order.
    max_status_age_ms: int = 2_000
    # A version is unloaded only after it has been unwanted for so long.
    unload_after_ms: int = 30_000
    # An engine that does not tell of its loads has failed one after so long.
    load_timeout_ms: int = 120_000
    # Loads from the weight store at once, over all engines.
    max_concurrent_loads: int = 4
    # Time in which one more load may begin.
    load_interval_ms: int = 5_000
    # Loads that may begin together after a quiet time.
    load_burst: int = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderCounters:
    """Totals for operators."""

    # Orders sent.
    orders: int = 0
    # Loads that the orders asked for.
    loads: int = 0
    # Unloads that the orders asked for.
    unloads: int = 0
    # Calls without a usable reply.
    failures: int = 0
    # Orders that an engine could not carry out.
    rejections: int = 0
    # Times an engine showed a higher fencing number than the lease's.
    stale_numbers: int = 0
    # Loads put off because the weight store's share was used up.
    deferred_loads: int = 0

"""Engines in memory with controls for what happens to orders."""

from __future__ import annotations

import collections
import dataclasses
import threading

from returns.result import Failure, Result, Success

from trefoilpitch.bundle import Upstream, VersionRef
from trefoilpitch.clock import Clock
from trefoilpitch.orders._exceptions import (
    OrderError,
    OrderNotSentError,
    OrderOutcomeUnknownError,
    OrderRejectedError,
    StaleFencingError,
)
from trefoilpitch.orders._types import EngineOrder, EngineStatus


@dataclasses.dataclass(slots=True)
class _Engine:
    """One engine's memory."""

    # How often it has been started.
    starts: int = 1
    # Versions it has, and when each is or was loaded.
    ready_ms: dict[VersionRef, int] = dataclasses.field(default_factory=dict)
    # Versions it has requests of.
    busy: frozenset[VersionRef] = frozenset()
    # The highest fencing number it has had.
    fencing_number: int = 0
    # Orders on their way to it.
    held: list[tuple[Upstream, EngineOrder]] = dataclasses.field(
        default_factory=list
    )


class MemoryEngines:
    """An `EngineControl` over engines in memory; thread safe.

    Engines exist from their first mention.

    Args:
        clock: Times the loads.
        load_ms: How long a load takes.
    """

    def __init__(self, clock: Clock, load_ms: int) -> None:
        self._clock = clock
        self._load_ms = load_ms
        self._lock = threading.RLock()
        self._engines: dict[str, _Engine] = collections.defaultdict(_Engine)
        self._is_down = False
        self._orders_to_lose = 0
        self._replies_to_lose = 0
        self._orders_to_hold = 0
        self._orders_to_reject = 0
        self._loads_to_fail = 0
        self._reports_loading = True

    def set_down(self, down: bool) -> None:
        """Refuses every call while down."""
        with self._lock:
            self._is_down = down

    def lose_orders(self, count: int) -> None:
        """Loses the next orders before they arrive."""
        with self._lock:
            self._orders_to_lose = count

    def lose_replies(self, count: int) -> None:
        """Loses the replies to the next orders after their effect."""
        with self._lock:
            self._replies_to_lose = count

    def hold_orders(self, count: int) -> None:
        """Holds the next orders back until `deliver_held`."""
        with self._lock:
            self._orders_to_hold = count

    def reject_orders(self, count: int) -> None:
        """Refuses the next orders as if for want of memory."""
        with self._lock:
            self._orders_to_reject = count

    def fail_loads(self, count: int) -> None:
        """Accepts the next orders but does not begin their loads."""
        with self._lock:
            self._loads_to_fail = count

    def set_reports_loading(self, reports_loading: bool) -> None:
        """Sets whether statuses tell of loads under way."""
        with self._lock:
            self._reports_loading = reports_loading

    def deliver_held(self, *, repeat: bool = False) -> None:
        """Delivers the orders held back; keeps them for another time."""
        with self._lock:
            for engine in self._engines.values():
                for upstream, order in engine.held:
                    self._apply(upstream, order)
                if not repeat:
                    engine.held.clear()

    def restart(self, name: str) -> None:
        """Restarts an engine, which then has no version."""
        with self._lock:
            starts = self._engines[name].starts + 1
            self._engines[name] = _Engine(starts=starts)

    def set_busy(self, name: str, versions: frozenset[VersionRef]) -> None:
        """Sets the versions that an engine has requests of."""
        with self._lock:
            self._engines[name].busy = versions

    def status(self, name: str) -> EngineStatus:
        """Returns an engine's status, whatever the faults."""
        with self._lock:
            engine = self._engines[name]
            now_ms = self._clock.now_ms()
            loaded = frozenset(
                version
                for version, ready_ms in engine.ready_ms.items()
                if ready_ms <= now_ms
            )
            return EngineStatus(
                incarnation=str(engine.starts),
                loaded=loaded,
                loading=frozenset(engine.ready_ms) - loaded
                if self._reports_loading
                else frozenset(),
                reports_loading=self._reports_loading,
                busy=engine.busy,
                fencing_number=engine.fencing_number,
            )

    def read_status(
        self, upstream: Upstream
    ) -> Result[EngineStatus, OrderError]:
        """Reads what an engine serves now."""
        with self._lock:
            if self._is_down:
                return Failure(OrderNotSentError(detail="connection refused"))
            return Success(self.status(upstream.name))

    def send_order(
        self, upstream: Upstream, order: EngineOrder
    ) -> Result[None, OrderError]:
        """Has an engine begin to carry an order out."""
        with self._lock:
            if self._is_down:
                return Failure(OrderNotSentError(detail="connection refused"))
            if self._orders_to_lose:
                self._orders_to_lose -= 1
                return _lost()
            if self._orders_to_hold:
                self._orders_to_hold -= 1
                self._engines[upstream.name].held.append((upstream, order))
                return _lost()
            result = self._apply(upstream, order)
            if self._replies_to_lose:
                self._replies_to_lose -= 1
                return _lost()
            return result

    def _apply(
        self, upstream: Upstream, order: EngineOrder
    ) -> Result[None, OrderError]:
        engine = self._engines[upstream.name]
        if upstream.checks_fencing:
            if order.fencing_number < engine.fencing_number:
                return Failure(
                    StaleFencingError(
                        detail="an order with a higher number came before",
                        highest_number=engine.fencing_number,
                    )
                )
            engine.fencing_number = order.fencing_number
        if self._orders_to_reject:
            self._orders_to_reject -= 1
            return Failure(OrderRejectedError(detail="out of memory"))
        if self._loads_to_fail:
            self._loads_to_fail -= 1
            return Success(None)
        ready_ms = self._clock.now_ms() + self._load_ms
        engine.ready_ms = {
            version: engine.ready_ms.get(version, ready_ms)
            for version in order.versions
        }
        return Success(None)


def _lost() -> Result[None, OrderError]:
    return Failure(OrderOutcomeUnknownError(detail="the reply was lost"))


def memory_engines(clock: Clock, *, load_ms: int = 0) -> MemoryEngines:
    """Creates engines that have no version yet."""
    return MemoryEngines(clock, load_ms)

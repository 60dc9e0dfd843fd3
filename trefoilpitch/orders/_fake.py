"""In-memory engines with fault injection, for tests."""

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
    """State of one engine."""

    # Number of times that it was started; reported as its incarnation.
    starts: int = 1
    # When the load of each present version completes.
    ready_ms: dict[VersionRef, int] = dataclasses.field(default_factory=dict)
    # Versions with in-flight requests.
    busy: frozenset[VersionRef] = frozenset()
    # Highest fencing number received.
    fencing_number: int = 0
    # Orders held back by `hold_orders`.
    held_orders: list[tuple[Upstream, EngineOrder]] = dataclasses.field(
        default_factory=list
    )


class MemoryEngines:
    """An `EngineControl` over in-memory engines; thread-safe.

    An engine is created when its name is first used.

    Args:
        clock: Monotonic time, by which loads complete.
        load_ms: Duration of a load.
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
        """Sets whether every call fails because the engines are unreachable."""
        with self._lock:
            self._is_down = down

    def lose_orders(self, count: int) -> None:
        """Drops the next orders before they reach the engine."""
        with self._lock:
            self._orders_to_lose = count

    def lose_replies(self, count: int) -> None:
        """Drops the responses to the next orders after they took effect."""
        with self._lock:
            self._replies_to_lose = count

    def hold_orders(self, count: int) -> None:
        """Delays the next orders until `deliver_held` is called."""
        with self._lock:
            self._orders_to_hold = count

    def reject_orders(self, count: int) -> None:
        """Rejects the next orders as for lack of memory."""
        with self._lock:
            self._orders_to_reject = count

    def fail_loads(self, count: int) -> None:
        """Accepts the next orders without executing them."""
        with self._lock:
            self._loads_to_fail = count

    def set_reports_loading(self, reports_loading: bool) -> None:
        """Sets whether statuses include the versions being loaded."""
        with self._lock:
            self._reports_loading = reports_loading

    def deliver_held(self, *, repeat: bool = False) -> None:
        """Delivers the orders held back.

        Args:
            repeat: Whether to keep them, to deliver them again later.
        """
        with self._lock:
            for engine in self._engines.values():
                for upstream, order in engine.held_orders:
                    self._apply(upstream, order)
                if not repeat:
                    engine.held_orders.clear()

    def restart(self, name: str) -> None:
        """Restarts an engine, which loses all its versions."""
        with self._lock:
            starts = self._engines[name].starts + 1
            self._engines[name] = _Engine(starts=starts)

    def set_busy(self, name: str, versions: frozenset[VersionRef]) -> None:
        """Sets the versions for which an engine has in-flight requests."""
        with self._lock:
            self._engines[name].busy = versions

    def status(self, name: str) -> EngineStatus:
        """Returns an engine's status regardless of injected faults."""
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
        """Reads an engine's current status."""
        with self._lock:
            if self._is_down:
                return Failure(OrderNotSentError(detail="connection refused"))
            return Success(self.status(upstream.name))

    def send_order(
        self, upstream: Upstream, order: EngineOrder
    ) -> Result[None, OrderError]:
        """Sends an order to an engine."""
        with self._lock:
            if self._is_down:
                return Failure(OrderNotSentError(detail="connection refused"))
            if self._orders_to_lose:
                self._orders_to_lose -= 1
                return _reply_lost()
            if self._orders_to_hold:
                self._orders_to_hold -= 1
                self._engines[upstream.name].held_orders.append(
                    (upstream, order)
                )
                return _reply_lost()
            result = self._apply(upstream, order)
            if self._replies_to_lose:
                self._replies_to_lose -= 1
                return _reply_lost()
            return result

    def _apply(
        self, upstream: Upstream, order: EngineOrder
    ) -> Result[None, OrderError]:
        engine = self._engines[upstream.name]
        if upstream.checks_fencing:
            if order.fencing_number < engine.fencing_number:
                return Failure(
                    StaleFencingError(
                        detail="received an order with a higher number before",
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


def _reply_lost() -> Result[None, OrderError]:
    return Failure(OrderOutcomeUnknownError(detail="the response was lost"))


def memory_engines(clock: Clock, *, load_ms: int = 0) -> MemoryEngines:
    """Creates in-memory engines without any versions."""
    return MemoryEngines(clock, load_ms)

"""Issues orders to engines in the scopes whose lease this node holds."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable
from typing import Any

import pykka

from trefoilpitch.bundle import Upstream, UpstreamKind
from trefoilpitch.clock import Clock
from trefoilpitch.configuration import Configuration
from trefoilpitch.daemon._replica import TaskExecutor
from trefoilpitch.leases import lease_terms
from trefoilpitch.membership import MembershipView
from trefoilpitch.metrics import Metrics
from trefoilpitch.orders import (
    EngineScope,
    EngineView,
    ReconcilerSettings,
    ScopeState,
    candidate_scopes,
    engine_client_control,
    engine_scopes,
    order_service,
)
from trefoilpitch.serving import ClientFactory
from trefoilpitch.store import KeyValueStore
from trefoilpitch.supervision import Tick
from trefoilpitch.upstreams import EngineClient

ORDER_TICK_MS = 500

# Validity of a lease: how long a successor waits if the holder fails.
_LEASE_VALIDITY_MS = 9_000
_CALL_TIMEOUT_MS = 2_000
# All nodes must use the same number; see `EngineScope`.
_SHARDS = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderSettings:
    """Limits of the orders to engines."""

    # Lease candidates per failure domain; 0 gives no orders.
    candidates: int = 3
    # Concurrent loads from the weight store per failure domain.
    max_loads: int = 4
    # Interval at which one more load may start per failure domain.
    load_interval_ms: int = 5_000


class Orders:
    """Competes for leases on scopes and issues orders where it holds one.

    All methods but :meth:`dump` must be called from one thread at a time.

    Args:
        vm_name: The VM's name.
        incarnation: Identifies this run of the process as lease holder.
        settings: Limits of the orders.
        store: Holds the leases.
        clients: Creates the clients of engines.
        executor: Runs calls to engines.
        clock: Times leases and orders.
        metrics: Counts orders by outcome.
    """

    def __init__(
        self,
        *,
        vm_name: str,
        incarnation: str,
        settings: OrderSettings,
        store: KeyValueStore,
        clients: ClientFactory,
        executor: TaskExecutor,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._vm_name = vm_name
        self._settings = settings
        self._executor = executor
        self._clock = clock
        self._metrics = metrics
        self._clients = _ClientCache(clients)
        self._revision = 0
        self._scope_inputs: tuple[int, tuple[str, ...]] | None = None
        self._counted_states: dict[str, ScopeState] = {}
        self._is_closed = False
        self._service = order_service(
            store=store,
            control=engine_client_control(
                self._clients.get, clock, timeout_ms=_CALL_TIMEOUT_MS
            ),
            clock=clock,
            lease_terms=lease_terms(
                incarnation, validity_ms=_LEASE_VALIDITY_MS
            ),
            reconciler_settings=ReconcilerSettings(
                max_concurrent_loads=settings.max_loads,
                load_interval_ms=settings.load_interval_ms,
            ),
            submit=executor.submit,
        )

    def tick(
        self,
        configuration: Configuration,
        view: MembershipView,
        *,
        is_allowed: bool,
    ) -> None:
        """Starts the lease operations and calls to engines that are due.

        Args:
            configuration: The configuration in force on this node.
            view: The latest membership view.
            is_allowed: Whether this node may issue orders now. If not, it
                gives up its leases, because orders based on an outdated
                configuration unload versions that other nodes rely on.
        """
        if self._is_closed:
            return
        if configuration.revision != self._revision:
            self._revision = configuration.revision
            self._service.set_configuration(configuration)
            self._clients.retain(_engines(configuration))
        if not is_allowed:
            self._scope_inputs = None
            self._service.set_scopes(())
        elif view.is_settled:
            self._set_scopes(configuration, view)
        self._service.poll()
        self._record_counters()

    def close(self) -> None:
        """Gives up the leases and closes the clients."""
        if self._is_closed:
            return
        self._is_closed = True
        self._executor.close()
        self._service.set_scopes(())
        self._clients.retain({})

    def dump(self) -> list[dict[str, Any]]:
        """Describes the scopes for which this node is a candidate."""
        now_ms = self._clock.now_ms()
        states = dict(self._service.states)
        return [
            _describe(scope, states[scope], now_ms)
            for scope in sorted(states, key=lambda one: one.lease_key)
        ]

    def _set_scopes(
        self, configuration: Configuration, view: MembershipView
    ) -> None:
        names = tuple(one.name for one in view.members if one.is_eligible)
        scope_inputs = (configuration.revision, names)
        if scope_inputs == self._scope_inputs:
            return
        self._scope_inputs = scope_inputs
        domains = {
            upstream.failure_domain
            for upstream in _engines(configuration).values()
        }
        scopes = candidate_scopes(
            engine_scopes(tuple(sorted(domains)), _SHARDS),
            names,
            self._vm_name,
            candidates=self._settings.candidates,
        )
        self._service.set_scopes(scopes)

    def _record_counters(self) -> None:
        """Adds the increase of the scopes' counters to the node's metrics."""
        held = 0
        now_ms = self._clock.now_ms()
        counted_states = {}
        for state in self._service.states.values():
            held += state.lease.fencing_number(now_ms) is not None
            holder = state.lease.terms.holder
            before = self._counted_states.get(holder)
            counted_states[holder] = state
            if before is None or _counters_changed(before, state):
                self._record_increase(before, state)
        self._counted_states = counted_states
        self._metrics.set_gauge("order_leases_held", held)

    def _record_increase(
        self, before: ScopeState | None, state: ScopeState
    ) -> None:
        earlier = _counts(before) if before is not None else {}
        for name, count in _counts(state).items():
            added = count - earlier.get(name, 0)
            if added:
                self._metrics.count(name, by=added)


class _ClientCache:
    """A cache of engine clients, created on first use; thread-safe."""

    def __init__(self, factory: ClientFactory) -> None:
        self._factory = factory
        self._lock = threading.Lock()
        self._open: dict[str, tuple[Upstream, EngineClient]] = {}

    def get(self, upstream: Upstream) -> EngineClient:
        with self._lock:
            found = self._open.get(upstream.name)
            if found is not None and found[0] == upstream:
                return found[1]
            client = self._factory.engine(upstream)
            self._open[upstream.name] = (upstream, client)
        if found is not None:
            _close_client(found[1])
        return client

    def retain(self, engines: dict[str, Upstream]) -> None:
        """Closes the clients of engines that are not listed or have changed."""
        with self._lock:
            removed = [
                name
                for name, (upstream, _) in self._open.items()
                if engines.get(name) != upstream
            ]
            closed = [self._open.pop(name)[1] for name in removed]
        for client in closed:
            _close_client(client)


class OrderActor(pykka.ThreadingActor):
    """Issues orders on each tick and gives up the leases on exit.

    Args:
        issue_orders: Starts the calls that are due.
        close: Gives up the leases.
    """

    def __init__(
        self, issue_orders: Callable[[], None], close: Callable[[], None]
    ) -> None:
        super().__init__()
        self._issue_orders = issue_orders
        self._close = close

    def on_receive(self, message: object) -> None:
        """Issues the orders that are due."""
        if isinstance(message, Tick):
            self._issue_orders()

    def on_stop(self) -> None:
        """Gives up the leases."""
        self._close()


def _close_client(client: EngineClient) -> None:
    client.__exit__(None, None, None)


def _engines(configuration: Configuration) -> dict[str, Upstream]:
    bundle = configuration.bundle
    pools = bundle.pools if bundle is not None else ()
    return {
        upstream.name: upstream
        for pool in pools
        if pool.kind is UpstreamKind.ENGINE
        for upstream in pool.upstreams
    }


def _counters_changed(before: ScopeState, state: ScopeState) -> bool:
    # The counters object is replaced when, and only when, a counter changes.
    return (
        state.lease.counters is not before.lease.counters
        or state.reconciler.counters is not before.reconciler.counters
    )


def _counts(state: ScopeState) -> dict[str, int]:
    counters = dataclasses.asdict(state.reconciler.counters)
    # This counter's metric is "orders", without the prefix.
    counts = {f"order_{name}": count for name, count in counters.items()}
    counts["orders"] = counts.pop("order_orders")
    lease = dataclasses.asdict(state.lease.counters)
    return counts | {f"lease_{name}": count for name, count in lease.items()}


def _describe(
    scope: EngineScope, state: ScopeState, now_ms: int
) -> dict[str, Any]:
    lease = state.lease
    observed = lease.observed
    record = observed.record if observed is not None else None
    fencing_number = lease.fencing_number(now_ms)
    engines = state.reconciler.engines
    return {
        "lease": scope.lease_key,
        "holder": record.holder if record and not record.released else None,
        "is_holder": fencing_number is not None,
        "fencing_number": fencing_number,
        "engines": len(engines),
        "open_orders": [
            _describe_open_orders(name, view)
            for name, view in engines.items()
            if view.loading or (view.call and view.call.is_order)
        ],
        "failures": [
            _describe_failure(name, view, now_ms)
            for name, view in engines.items()
            if view.last_failure is not None
        ],
        "counters": _counts(state),
    }


def _describe_open_orders(name: str, view: EngineView) -> dict[str, Any]:
    loading = view.status.loading if view.status else frozenset()
    ordered = view.call.loads if view.call else frozenset()
    return {
        "engine": name,
        "loading": sorted(
            map(str, loading | ordered | view.unconfirmed_loads.keys())
        ),
        "is_on_its_way": view.call is not None and view.call.is_order,
    }


def _describe_failure(
    name: str, view: EngineView, now_ms: int
) -> dict[str, Any]:
    failure = view.last_failure
    assert failure is not None
    return {
        "engine": name,
        "kind": type(failure.error).__name__,
        "detail": failure.error.detail,
        "age_ms": now_ms - failure.at_ms,
        "in_a_row": view.failures,
    }

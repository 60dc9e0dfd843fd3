"""Runs the orders to engines in the scopes that fall to this node."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable
from typing import Any

import pykka

from trefoilpitch.bundle import Upstream, UpstreamKind
from trefoilpitch.clock import Clock
from trefoilpitch.configuration import Configuration
from trefoilpitch.daemon._replica import Background
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

# How long a successor waits for a holder that is gone.
_VALIDITY_MS = 9_000
_CALL_TIMEOUT_MS = 2_000
# Every node must use the same number; see `EngineScope`.
_SHARDS = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderSettings:
    """How a node gives orders to engines."""

    # Nodes that stand by for each failure domain's lease; 0 gives no orders.
    candidates: int = 3
    # Loads from the weight store at once, for each failure domain.
    max_loads: int = 4
    # Time in which one more load may begin, for each failure domain.
    load_interval_ms: int = 5_000


class Orders:
    """Keeps this node's candidacies and gives orders where it holds a lease.

    Use all but :meth:`dump` from one thread at a time.

    Args:
        vm_name: The VM's name.
        incarnation: This run of the process; names the holder of leases.
        settings: How orders are given.
        store: Holds the leases.
        clients: Makes the clients of engines.
        calls: Runs calls to engines.
        clock: Tells the time.
        metrics: Counts orders and what became of them.
    """

    def __init__(
        self,
        *,
        vm_name: str,
        incarnation: str,
        settings: OrderSettings,
        store: KeyValueStore,
        clients: ClientFactory,
        calls: Background,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._vm_name = vm_name
        self._settings = settings
        self._calls = calls
        self._clock = clock
        self._metrics = metrics
        self._clients = _Clients(clients)
        self._revision = 0
        self._decided_on: tuple[int, tuple[str, ...]] | None = None
        self._counted: dict[str, ScopeState] = {}
        self._is_closed = False
        self._service = order_service(
            store=store,
            control=engine_client_control(
                self._clients.get, clock, timeout_ms=_CALL_TIMEOUT_MS
            ),
            clock=clock,
            lease_terms=lease_terms(incarnation, validity_ms=_VALIDITY_MS),
            reconciler_settings=ReconcilerSettings(
                max_concurrent_loads=settings.max_loads,
                load_interval_ms=settings.load_interval_ms,
            ),
            submit=calls.submit,
        )

    def tick(
        self,
        configuration: Configuration,
        view: MembershipView,
        *,
        is_allowed: bool,
    ) -> None:
        """Makes the calls that are due.

        Args:
            configuration: The configuration in force on this node.
            view: The fleet as this node knows it.
            is_allowed: Whether this node may give orders now. If not, it
                gives its leases up: an old configuration would have engines
                unload what others rely on.
        """
        if self._is_closed:
            return
        if configuration.revision != self._revision:
            self._revision = configuration.revision
            self._service.set_configuration(configuration)
            self._clients.keep(_engines(configuration))
        if not is_allowed:
            self._decided_on = None
            self._service.set_scopes(())
        elif view.is_settled:
            self._set_scopes(configuration, view)
        self._service.poll()
        self._count()

    def close(self) -> None:
        """Gives the leases up and closes the clients."""
        if self._is_closed:
            return
        self._is_closed = True
        self._calls.close()
        self._service.set_scopes(())
        self._clients.keep({})

    def dump(self) -> list[dict[str, Any]]:
        """Returns the scopes that this node is a candidate for."""
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
        decided_on = (configuration.revision, names)
        if decided_on == self._decided_on:
            return
        self._decided_on = decided_on
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

    def _count(self) -> None:
        """Adds what the candidacies have counted to the node's metrics."""
        held = 0
        now_ms = self._clock.now_ms()
        counted = {}
        for state in self._service.states.values():
            held += state.lease.fencing_number(now_ms) is not None
            holder = state.lease.terms.holder
            before = self._counted.get(holder)
            counted[holder] = state
            if before is None or _has_counted(before, state):
                self._add(before, state)
        self._counted = counted
        self._metrics.set_gauge("order_leases_held", held)

    def _add(self, before: ScopeState | None, state: ScopeState) -> None:
        earlier = _counts(before) if before is not None else {}
        for name, count in _counts(state).items():
            added = count - earlier.get(name, 0)
            if added:
                self._metrics.count(name, by=added)


class _Clients:
    """The clients of engines, made when first asked for; thread safe."""

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
            _close(found[1])
        return client

    def keep(self, engines: dict[str, Upstream]) -> None:
        """Closes the clients of other engines."""
        with self._lock:
            gone = [
                name
                for name, (upstream, _) in self._open.items()
                if engines.get(name) != upstream
            ]
            closed = [self._open.pop(name)[1] for name in gone]
        for client in closed:
            _close(client)


class OrderActor(pykka.ThreadingActor):
    """Gives orders on each tick and gives the leases up at the end.

    Args:
        give_orders: Makes the calls that are due.
        close: Gives the leases up.
    """

    def __init__(
        self, give_orders: Callable[[], None], close: Callable[[], None]
    ) -> None:
        super().__init__()
        self._give_orders = give_orders
        self._close = close

    def on_receive(self, message: object) -> None:
        """Makes the calls that are due."""
        if isinstance(message, Tick):
            self._give_orders()

    def on_stop(self) -> None:
        """Gives the leases up."""
        self._close()


def _close(client: EngineClient) -> None:
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


def _has_counted(before: ScopeState, state: ScopeState) -> bool:
    # Counters are replaced when they change, and only then.
    return (
        state.lease.counters is not before.lease.counters
        or state.reconciler.counters is not before.reconciler.counters
    )


def _counts(state: ScopeState) -> dict[str, int]:
    counters = dataclasses.asdict(state.reconciler.counters)
    # The number of orders itself is called that already.
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
            _describe_open(name, view)
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


def _describe_open(name: str, view: EngineView) -> dict[str, Any]:
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

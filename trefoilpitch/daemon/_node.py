"""One daemon: a node's core with its threads, sockets and HTTP servers."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from types import TracebackType
from typing import Any, Self

import logbook

from trefoilpitch import coldstart, membership
from trefoilpitch.administration import AdminApi
from trefoilpitch.clock import Clock
from trefoilpitch.coldstart import (
    GatekeeperMessage,
    HandoverMessage,
    HolderMessage,
)
from trefoilpitch.configuration import replication
from trefoilpitch.configuration.replication import ReplicaMessage
from trefoilpitch.daemon._clients import HttpClients
from trefoilpitch.daemon._cold_starts import (
    COLD_START_TICK_MS,
    ColdStartActor,
)
from trefoilpitch.daemon._core import NodeCore, NodeDependencies, NodeIdentity
from trefoilpitch.daemon._homes import HttpForwarder
from trefoilpitch.daemon._key_register import SWEEP_TICK_MS, SweepActor
from trefoilpitch.daemon._ledger import LEDGER_TICK_MS, LedgerActor
from trefoilpitch.daemon._load import LOAD_TICK_MS, LoadActor
from trefoilpitch.daemon._members import (
    MEMBERSHIP_TICK_MS,
    VM_LIST_TICK_MS,
    MembershipActor,
    VmListActor,
)
from trefoilpitch.daemon._orders import (
    ORDER_TICK_MS,
    OrderActor,
    OrderSettings,
)
from trefoilpitch.daemon._ratings import RATING_TICK_MS, RatingActor
from trefoilpitch.daemon._replica import (
    REPLICA_TICK_MS,
    ReplicaActor,
    ThreadHeadWatcher,
    ThreadTaskExecutor,
)
from trefoilpitch.daemon._rollouts import ROLLOUT_TICK_MS, RolloutActor
from trefoilpitch.daemon._settings import Settings
from trefoilpitch.identity import create_incarnation
from trefoilpitch.ledger import COPY_PAYLOAD_KINDS, BillCopies, CopyAck
from trefoilpitch.membership import (
    Endpoints,
    MembershipEvent,
    MembershipMessage,
)
from trefoilpitch.peering import (
    PeerIdentity,
    PeerKeys,
    PeerTransport,
    ReceivedMessage,
    create_payload_registry,
    open_nng_transport,
)
from trefoilpitch.ratings import open_rating_client
from trefoilpitch.serving import RealTimeWaiter
from trefoilpitch.store import etcd_store
from trefoilpitch.supervision import ChildSpec, Supervisor
from trefoilpitch.upstreams import DeadlineMonitor
from trefoilpitch.vms import http_vm_list
from trefoilpitch.web import (
    HttpServer,
    InFlight,
    ServerLimits,
    count_in_flight,
    create_wsgi_app,
    open_server,
)

PEER_PAYLOADS = (
    membership.PAYLOAD_KINDS,
    replication.PAYLOAD_KINDS,
    coldstart.PAYLOAD_KINDS,
    COPY_PAYLOAD_KINDS,
)

_ADMIN_THREADS = 4
_ADMIN_CONNECTIONS = 64
_IDLE_CONNECTIONS = 1_024
_SPARE_THREADS = 8
_ORDER_THREADS = 4

_LOG = logbook.Logger("trefoilpitch.daemon")


class Node:
    """One running daemon; a context manager.

    Args:
        settings: The daemon's settings.
        clock: The clock of all components.
        on_superseded: Called when a newer process uses the same VM name.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        on_superseded: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._on_superseded = on_superseded
        self._stack = contextlib.ExitStack()
        self._requests = InFlight()
        self._caller_server: HttpServer | None = None
        # The transport may receive messages before the supervisor exists;
        # they are dropped.
        self._accepts_messages = False
        self._identity = _create_identity(settings, clock)
        self._store = etcd_store(
            settings.store_address.host, settings.store_address.port
        )
        self._deadline_monitor = DeadlineMonitor(clock)
        self._forwarder = HttpForwarder(self._identity.incarnation, clock)
        self._transport = self._open_transport()
        self._core = self._create_core()
        self._admin = AdminApi(
            settings.admin_token_sha256,
            self._core.admin_dependencies(self.dump),
        )
        self._supervisor = Supervisor(self._children(), clock)
        self._accepts_messages = True

    def __enter__(self) -> Self:
        with contextlib.ExitStack() as stack:
            stack.callback(self._core.directory.close)
            stack.enter_context(self._forwarder)
            stack.enter_context(self._deadline_monitor)
            stack.callback(self._store.close)
            stack.callback(self._transport.close)
            stack.enter_context(self._core.replica)
            stack.enter_context(self._supervisor)
            stack.enter_context(self._open_admin_server())
            self._caller_server = self._open_caller_server()
            stack.enter_context(self._caller_server)
            self._stack = stack.pop_all()
        _LOG.info("serving as incarnation {}", self._core.incarnation)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stack.close()

    def abandon(self) -> None:
        """Aborts a graceful shutdown: ends all waits."""
        if self._caller_server is not None:
            self._caller_server.abandon()
        self._core.draining.abandon()

    def drain(self) -> bool:
        """Announces the departure and waits for all requests and bills.

        Bills that the store does not accept may remain with the peer that
        holds their copies. Without such a peer, waits for the store.

        Returns:
            Whether all requests completed and all bills are safe.
        """
        core = self._core
        core.draining.begin()
        is_clean = core.draining.wait()
        core.flush_bills()
        is_all_protected = core.draining.wait_until(
            lambda: core.ledger.is_all_protected
        )
        return is_all_protected and is_clean

    def dump(self) -> dict[str, Any]:
        """Returns the node's state and the states of its actors."""
        return {**self._core.dump(), "actors": self._supervisor.statuses()}

    def _create_core(self) -> NodeCore:
        dependencies = NodeDependencies(
            clock=self._clock,
            store=self._store,
            transport=self._transport,
            clients=HttpClients(self._clock, self._deadline_monitor),
            forwarder=self._forwarder,
            waiter=RealTimeWaiter(),
            store_executor=ThreadTaskExecutor(),
            order_executor=ThreadTaskExecutor("orders", _ORDER_THREADS),
            head_watcher=ThreadHeadWatcher(self._store),
            rng=random.Random(),
        )
        return NodeCore(
            self._identity,
            dependencies,
            submit_membership_event=self._submit_membership_event,
            in_flight=lambda: self._requests.count,
            on_superseded=self._notify_superseded,
        )

    def _open_transport(self) -> PeerTransport:
        settings = self._settings
        return open_nng_transport(
            clock=self._clock,
            identity=PeerIdentity(
                deployment=settings.deployment,
                name=settings.vm_name,
                incarnation=self._identity.incarnation,
                address=str(settings.peer_address),
            ),
            keys=PeerKeys(
                current=settings.shared_key, other=settings.other_shared_key
            ),
            registry=create_payload_registry(*PEER_PAYLOADS),
            handler=self._on_peer_message,
        )

    def _children(self) -> tuple[ChildSpec, ...]:
        core = self._core
        children = [
            ChildSpec(
                name="replica",
                start=lambda: ReplicaActor.start(core.replica, core.view),
                tick_ms=REPLICA_TICK_MS,
            ),
            ChildSpec(
                name="membership",
                start=lambda: MembershipActor.start(
                    core.members, core.report, self._clock
                ),
                tick_ms=MEMBERSHIP_TICK_MS,
            ),
            ChildSpec(
                name="ledger",
                start=lambda: LedgerActor.start(
                    core.ledger, self._store, core.view, core.metrics
                ),
                tick_ms=LEDGER_TICK_MS,
            ),
            ChildSpec(
                name="cold-starts",
                start=lambda: ColdStartActor.start(core.cold_starts, core.view),
                tick_ms=COLD_START_TICK_MS,
            ),
            ChildSpec(
                name="load",
                start=lambda: LoadActor.start(core, self._clock),
                tick_ms=LOAD_TICK_MS,
            ),
            ChildSpec(
                name="rollouts",
                start=lambda: RolloutActor.start(core.rollouts),
                tick_ms=ROLLOUT_TICK_MS,
            ),
        ]
        children.append(
            ChildSpec(
                name="sweep",
                start=lambda: SweepActor.start(
                    self._store, core.view, self._clock, core.metrics
                ),
                tick_ms=SWEEP_TICK_MS,
            )
        )
        children.append(
            ChildSpec(
                name="orders",
                start=lambda: OrderActor.start(
                    core.issue_orders, core.orders.close
                ),
                tick_ms=ORDER_TICK_MS,
            )
        )
        return (
            *children,
            *self._vm_list_children(),
            *self._rating_children(),
        )

    def _vm_list_children(self) -> tuple[ChildSpec, ...]:
        address = self._settings.vm_list_address
        if address is None:
            return ()
        vm_list = http_vm_list(address.host, address.port)
        child = ChildSpec(
            name="vm-list",
            start=lambda: VmListActor.start(
                vm_list,
                self._submit_membership_event,
                self._core.directory.record_leaving,
                self._core.metrics,
            ),
            tick_ms=VM_LIST_TICK_MS,
        )
        return (child,)

    def _rating_children(self) -> tuple[ChildSpec, ...]:
        address = self._settings.rating_address
        if address is None:
            return ()
        client = open_rating_client(address=str(address))
        core = self._core
        child = ChildSpec(
            name="ratings",
            start=lambda: RatingActor.start(
                client,
                core.version_monitor,
                core.current.table,
                self._clock,
                core.metrics,
            ),
            tick_ms=RATING_TICK_MS,
        )
        return (child,)

    def _open_admin_server(self) -> HttpServer:
        address = self._settings.admin_address
        limits = ServerLimits(
            threads=_ADMIN_THREADS, connections=_ADMIN_CONNECTIONS
        )
        return open_server(
            create_wsgi_app(self._admin.handle),
            host=address.host,
            port=address.port,
            limits=limits,
            name="admin-http",
        )

    def _open_caller_server(self) -> HttpServer:
        address = self._settings.caller_address
        threads = self._settings.max_requests + _SPARE_THREADS
        limits = ServerLimits(
            threads=threads,
            connections=threads + _IDLE_CONNECTIONS,
            body_bytes=self._settings.max_body_bytes,
        )
        handler = count_in_flight(self._core.callers.handle, self._requests)
        return open_server(
            create_wsgi_app(handler),
            host=address.host,
            port=address.port,
            limits=limits,
            name="caller-http",
            on_refusal=self._core.callers.record_refusal,
        )

    def _on_peer_message(self, message: ReceivedMessage) -> None:
        payload = message.payload
        if not self._accepts_messages:
            return
        if isinstance(payload, MembershipMessage):
            self._supervisor.tell("membership", message)
        elif isinstance(payload, ReplicaMessage):
            self._supervisor.tell("replica", message)
        elif isinstance(payload, BillCopies | CopyAck):
            self._supervisor.tell("ledger", message)
        elif isinstance(
            payload, HolderMessage | GatekeeperMessage | HandoverMessage
        ):
            self._supervisor.tell("cold-starts", message)

    def _submit_membership_event(self, event: MembershipEvent) -> None:
        self._supervisor.tell("membership", event)

    def _notify_superseded(self) -> None:
        _LOG.error("a newer process uses this VM name; shutting down")
        self._on_superseded()


def open_node(
    settings: Settings, clock: Clock, on_superseded: Callable[[], None]
) -> Node:
    """Creates a daemon; entering it starts its servers and actors."""
    return Node(settings, clock, on_superseded)


def _create_identity(settings: Settings, clock: Clock) -> NodeIdentity:
    other = settings.other_shared_key
    keys = (settings.shared_key,)
    return NodeIdentity(
        vm_name=settings.vm_name,
        failure_domain=settings.failure_domain,
        incarnation=create_incarnation(settings.vm_name, clock.wall_ms()),
        endpoints=Endpoints(
            caller_address=str(settings.caller_address),
            admin_address=str(settings.admin_address),
            peer_address=str(settings.peer_address),
        ),
        seeds=tuple(str(seed) for seed in settings.seeds),
        failure_domains=settings.failure_domains,
        max_requests=settings.max_requests,
        rating_share=settings.rating_share,
        token_keys=(*keys, other) if other else keys,
        relays_per_domain=settings.relays_per_domain,
        max_delta_bytes=settings.max_delta_bytes,
        orders=OrderSettings(
            candidates=settings.order_candidates,
            max_loads=settings.max_loads,
            load_interval_ms=settings.load_interval_ms,
        ),
    )

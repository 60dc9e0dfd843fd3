"""One daemon: everything that runs in the process, and its start and end."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from types import TracebackType
from typing import Self

import logbook

from trefoilpitch import coldstart, membership
from trefoilpitch.administration import AdminApi, AdminServices
from trefoilpitch.callers import (
    CallerApi,
    CallerServices,
    CallResult,
    EntriesEndpoint,
    KeyedCalls,
)
from trefoilpitch.cascade import CascadePolicy
from trefoilpitch.clock import Clock
from trefoilpitch.coldstart import (
    GatekeeperMessage,
    HandoverMessage,
    HolderMessage,
)
from trefoilpitch.configuration import (
    HeadReader,
    configuration_writer,
    replication,
)
from trefoilpitch.configuration.replication import (
    ReplicaMessage,
    ReplicaSettings,
)
from trefoilpitch.daemon._clients import HttpClients
from trefoilpitch.daemon._cold_starts import (
    COLD_START_TICK_MS,
    ColdStartActor,
    ColdStarts,
)
from trefoilpitch.daemon._configuration import CurrentConfiguration
from trefoilpitch.daemon._draining import Draining, NodePhase
from trefoilpitch.daemon._gates import AdaptiveConcurrency
from trefoilpitch.daemon._homes import (
    FleetHomes,
    HttpForwarder,
    StoreKeyRegister,
)
from trefoilpitch.daemon._ledger import (
    LEDGER_TICK_MS,
    Ledger,
    LedgerActor,
    write_due_segments,
)
from trefoilpitch.daemon._load import LOAD_TICK_MS, LoadActor
from trefoilpitch.daemon._members import (
    MEMBERSHIP_TICK_MS,
    VM_LIST_TICK_MS,
    MembershipActor,
    VmListActor,
)
from trefoilpitch.daemon._replica import (
    REPLICA_TICK_MS,
    ReplicaActor,
    ReplicaHost,
)
from trefoilpitch.daemon._settings import Settings
from trefoilpitch.identity import TokenSigner, create_incarnation
from trefoilpitch.ledger import SegmentWriter
from trefoilpitch.membership import (
    Endpoints,
    LeaveRequested,
    MembershipHost,
    MembershipMessage,
    MembershipView,
    Report,
    SeedsChanged,
    create_membership,
)
from trefoilpitch.metrics import Metrics
from trefoilpitch.peering import (
    PeerIdentity,
    PeerKeys,
    PeerTransport,
    ReceivedMessage,
    create_payload_registry,
    open_nng_transport,
)
from trefoilpitch.requests import RequestRegistry
from trefoilpitch.retries import RetryBudget
from trefoilpitch.routing import RoutingTable
from trefoilpitch.serving import (
    CallFlow,
    CascadePlanner,
    ChatFlow,
    ConditionParking,
    Delivered,
    Dispatcher,
    KeyedRequests,
    PlaceQueue,
    ResumeFlow,
    UpstreamDirectory,
    WorkGate,
)
from trefoilpitch.store import etcd_store
from trefoilpitch.supervision import ChildSpec, Supervisor
from trefoilpitch.upstreams import DeadlineWatch
from trefoilpitch.vms import http_vm_list
from trefoilpitch.web import (
    InFlight,
    ServerLimits,
    count_in_flight,
    create_wsgi_app,
    open_server,
)

_ADMIN_THREADS = 4
_ADMIN_CONNECTIONS = 64
_IDLE_CONNECTIONS = 1_024
_SPARE_THREADS = 8

_LOG = logbook.Logger("trefoilpitch.daemon")


class Node:
    """Everything that one daemon runs; a context manager.

    Args:
        settings: What the daemon was told at its start.
        clock: Tells the time everywhere in the process.
        on_superseded: Called when a later process runs under the VM's name.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        on_superseded: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._tell_superseded = on_superseded
        self._clock = clock
        self._rng = random.Random()
        self._stack = contextlib.ExitStack()
        self._requests = InFlight()
        self.metrics = Metrics()
        self.incarnation = create_incarnation(settings.vm_name, clock.wall_ms())
        self._store = etcd_store(
            settings.store_address.host, settings.store_address.port
        )
        self._ledger = Ledger(
            SegmentWriter(self.incarnation), clock, self.metrics
        )
        self._watch = DeadlineWatch(clock)
        clients = HttpClients(clock, self._watch)
        self._queue = PlaceQueue(
            clock, ConditionParking(), settings.max_requests // 2
        )
        self._transport = self._open_transport()
        self._cold_starts = ColdStarts(
            clock, self._transport, self._queue.notify
        )
        self._directory = UpstreamDirectory(
            clock, clients, self._cold_starts, AdaptiveConcurrency()
        )
        self._directory.on_release(self._queue.observe)
        self._current = CurrentConfiguration(
            settings.vm_name, self._on_new_table
        )
        self._reader = HeadReader(self._store)
        self._replica = ReplicaHost(
            ReplicaSettings(
                name=settings.vm_name,
                failure_domain=settings.failure_domain,
                address=str(settings.peer_address),
            ),
            clock,
            self._store,
            self._transport,
            self._current.advance,
        )
        self._members = self._create_members()
        self._draining = Draining(
            clock, self._announce_leaving, self._in_flight
        )
        self._callers = CallerApi(
            self.incarnation, self._create_caller_services(clients)
        )
        self._admin = AdminApi(
            settings.admin_token_sha256, self._create_admin_services()
        )
        self._supervisor = Supervisor(self._children(), clock)

    def __enter__(self) -> Self:
        with contextlib.ExitStack() as stack:
            stack.callback(self._directory.close)
            stack.enter_context(self._watch)
            stack.callback(self._store.close)
            stack.callback(self._transport.close)
            stack.enter_context(self._replica)
            stack.enter_context(self._supervisor)
            stack.enter_context(self._open_admin_server())
            stack.enter_context(self._open_caller_server())
            self._stack = stack.pop_all()
        _LOG.info("incarnation {} serves", self.incarnation)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stack.close()

    def abandon(self) -> None:
        """Ends the graceful shutdown at once."""
        self._draining.abandon()

    def finish_leaving(self) -> bool:
        """Announces the end, then waits for all requests and all bills.

        Returns:
            Whether nothing was cut.
        """
        self._draining.begin()
        is_clean = self._draining.wait()
        flushed = write_due_segments(
            self._ledger, self._store, self.metrics, flush=True
        )
        return is_clean and flushed

    def is_ready(self) -> bool:
        """Returns whether the node has a configuration to serve."""
        return self._current.table().configuration.bundle is not None

    def is_fresh(self) -> bool:
        """Returns whether the configuration may still be the newest."""
        return self._replica.standing().admits_new_work

    def accepts_work(self) -> bool:
        """Returns whether the node is not about to end."""
        return self._draining.phase is not NodePhase.FINISHING

    def table(self) -> RoutingTable:
        """Returns the newest configuration."""
        return self._current.table()

    def view(self) -> MembershipView:
        """Returns the newest view of the fleet."""
        return self._members.view

    def dump(self) -> dict[str, object]:
        """Returns the process's state."""
        return {
            "incarnation": self.incarnation,
            "phase": self._draining.phase.value,
            "configuration": self._replica.status(),
            "in_flight": self._in_flight(),
            "waiting": self._queue.waiting,
            "ledger_unwritten_bytes": self._ledger.unwritten_bytes,
            "actors": self._supervisor.statuses(),
            "upstreams": list(self._directory.states().values()),
            "peering": self._transport.counters(),
            "counters": self.metrics.counters(),
            "latencies": self.metrics.latencies(),
        }

    def _open_transport(self) -> PeerTransport:
        settings = self._settings
        return open_nng_transport(
            clock=self._clock,
            identity=PeerIdentity(
                deployment=settings.deployment,
                name=settings.vm_name,
                incarnation=self.incarnation,
                address=str(settings.peer_address),
            ),
            keys=PeerKeys(
                current=settings.shared_key, other=settings.other_shared_key
            ),
            registry=create_payload_registry(
                membership.PAYLOAD_KINDS,
                replication.PAYLOAD_KINDS,
                coldstart.PAYLOAD_KINDS,
            ),
            handler=self._on_peer_message,
        )

    def _create_members(self) -> MembershipHost:
        settings = self._settings
        endpoints = Endpoints(
            caller_address=str(settings.caller_address),
            admin_address=str(settings.admin_address),
            peer_address=str(settings.peer_address),
        )
        state = create_membership(
            name=settings.vm_name,
            incarnation=self.incarnation,
            failure_domain=settings.failure_domain,
            endpoints=endpoints,
            now_ms=self._clock.now_ms(),
            seeds=tuple(str(seed) for seed in settings.seeds),
        )
        return MembershipHost(
            self._clock, state, self._transport, self._on_superseded
        )

    def _create_caller_services(self, clients: HttpClients) -> CallerServices:
        dispatcher = Dispatcher(
            configuration=self._current,
            directory=self._directory,
            queue=self._queue,
            budget=RetryBudget(),
            clock=self._clock,
            rng=self._rng,
            local_domain=self._settings.failure_domain,
        )
        planner = CascadePlanner(CascadePolicy(self.incarnation), self._rng)
        return CallerServices(
            configuration=self._current,
            gate=WorkGate(self, self._ledger),
            chat=ChatFlow(
                configuration=self._current,
                dispatcher=dispatcher,
                planner=planner,
                bills=self._ledger,
                clock=self._clock,
                on_delivered=self._on_delivered,
            ),
            resumption=ResumeFlow(
                configuration=self._current,
                clients=clients,
                bills=self._ledger,
                clock=self._clock,
            ),
            calls=CallFlow(
                configuration=self._current,
                dispatcher=dispatcher,
                bills=self._ledger,
                clock=self._clock,
            ),
            keyed_calls=self._create_keyed_calls(),
            entries=EntriesEndpoint(
                views=self,
                configuration=self._current,
                incarnation=self.incarnation,
                clock=self._clock,
                rng=self._rng,
            ),
            signer=TokenSigner(self._token_keys()),
            metrics=self.metrics,
            clock=self._clock,
        )

    def _create_keyed_calls(self) -> KeyedCalls:
        registry: RequestRegistry[CallResult] = RequestRegistry()
        return KeyedCalls(
            homes=FleetHomes(self.incarnation, self.view),
            register=StoreKeyRegister(
                self.incarnation, self._store, self._clock
            ),
            forwarder=self._stack.enter_context(
                HttpForwarder(self.incarnation, self._clock)
            ),
            keyed=KeyedRequests(registry, self._clock),
            clock=self._clock,
        )

    def _create_admin_services(self) -> AdminServices:
        return AdminServices(
            view=self.view,
            configuration=lambda: self._current.table().configuration,
            writer=configuration_writer(self._store),
            reader=self._reader,
            accepts_changes=self._replica.accepts_changes,
            confirm=self._replica.confirm,
            store=self._store,
            dump=self.dump,
            metrics=self.metrics,
            clock=self._clock,
        )

    def _children(self) -> tuple[ChildSpec, ...]:
        children = [
            ChildSpec(
                name="replica",
                start=lambda: ReplicaActor.start(self._replica, self.view),
                tick_ms=REPLICA_TICK_MS,
            ),
            ChildSpec(
                name="membership",
                start=lambda: MembershipActor.start(
                    self._members, self._report, self._clock
                ),
                tick_ms=MEMBERSHIP_TICK_MS,
            ),
            ChildSpec(
                name="ledger",
                start=lambda: LedgerActor.start(
                    self._ledger, self._store, self.metrics
                ),
                tick_ms=LEDGER_TICK_MS,
            ),
            ChildSpec(
                name="cold-starts",
                start=lambda: ColdStartActor.start(
                    self._cold_starts, self.view
                ),
                tick_ms=COLD_START_TICK_MS,
            ),
            ChildSpec(
                name="load",
                start=lambda: LoadActor.start(
                    self._directory,
                    self._cold_starts,
                    self._clock,
                    self.metrics,
                ),
                tick_ms=LOAD_TICK_MS,
            ),
        ]
        address = self._settings.vm_list_address
        if address is not None:
            vm_list = http_vm_list(address.host, address.port)
            children.append(
                ChildSpec(
                    name="vm-list",
                    start=lambda: VmListActor.start(
                        vm_list,
                        self._on_seeds,
                        self._directory.record_leaving,
                        self.metrics,
                    ),
                    tick_ms=VM_LIST_TICK_MS,
                )
            )
        return tuple(children)

    def _open_admin_server(self) -> contextlib.AbstractContextManager[object]:
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

    def _open_caller_server(self) -> contextlib.AbstractContextManager[object]:
        address = self._settings.caller_address
        threads = self._settings.max_requests + _SPARE_THREADS
        limits = ServerLimits(
            threads=threads,
            connections=threads + _IDLE_CONNECTIONS,
            body_bytes=self._settings.max_body_bytes,
        )
        return open_server(
            create_wsgi_app(
                count_in_flight(self._callers.handle, self._requests)
            ),
            host=address.host,
            port=address.port,
            limits=limits,
            name="caller-http",
        )

    def _token_keys(self) -> tuple[bytes, ...]:
        other = self._settings.other_shared_key
        keys = (self._settings.shared_key,)
        return (*keys, other) if other else keys

    def _report(self) -> Report:
        share = self._in_flight() / self._settings.max_requests
        return Report(
            in_flight_share=min(1.0, share),
            configuration_revision=self._current.table().revision,
        )

    def _in_flight(self) -> int:
        return self._requests.count

    def _on_new_table(self, table: RoutingTable) -> None:
        self._directory.apply(table)
        self._cold_starts.set_upstreams(tuple(table.upstreams.values()))
        self._queue.notify()

    def _on_peer_message(self, message: ReceivedMessage) -> None:
        payload = message.payload
        if isinstance(payload, MembershipMessage):
            self._supervisor.tell("membership", message)
        elif isinstance(payload, ReplicaMessage):
            self._supervisor.tell("replica", message)
        elif isinstance(
            payload, HolderMessage | GatekeeperMessage | HandoverMessage
        ):
            self._supervisor.tell("cold-starts", message)

    def _on_seeds(self, seeds: SeedsChanged) -> None:
        self._supervisor.tell("membership", seeds)

    def _announce_leaving(self) -> None:
        self._supervisor.tell("membership", LeaveRequested())

    def _on_superseded(self, incarnation: str) -> None:
        _LOG.error("VM name is in use by {}; leaving", incarnation)
        self._tell_superseded()

    def _on_delivered(self, delivered: Delivered) -> None:
        del delivered


def open_node(
    settings: Settings, clock: Clock, on_superseded: Callable[[], None]
) -> Node:
    """Returns a daemon that is ready to be entered."""
    return Node(settings, clock, on_superseded)

"""The components of one node and their wiring, without threads or sockets.

The daemon drives a core from actors and HTTP servers; the stateful tests drive
the same core from one thread with a manual clock.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from typing import Any

from trefoilpitch.administration import AdminDependencies
from trefoilpitch.callers import (
    CallerApi,
    CallerDependencies,
    CallResult,
    EntriesEndpoint,
    Forwarder,
    KeyedCalls,
)
from trefoilpitch.cascade import CascadePolicy
from trefoilpitch.clock import Clock
from trefoilpitch.configuration import (
    ConfigurationWriter,
    HeadReader,
    configuration_writer,
)
from trefoilpitch.configuration.replication import (
    ReplicaMessage,
    ReplicaSettings,
)
from trefoilpitch.daemon._client_stats import ClientStatsCollector
from trefoilpitch.daemon._cold_starts import ColdStarts
from trefoilpitch.daemon._concurrency import AdaptiveConcurrency
from trefoilpitch.daemon._configuration import CurrentConfiguration
from trefoilpitch.daemon._draining import ENTRIES_TTL_MS, Draining, NodePhase
from trefoilpitch.daemon._homes import FleetHomes
from trefoilpitch.daemon._key_register import StoreKeyRegister
from trefoilpitch.daemon._ledger import Ledger, write_due_segments
from trefoilpitch.daemon._orders import Orders, OrderSettings
from trefoilpitch.daemon._replica import HeadWatcher, ReplicaHost, TaskExecutor
from trefoilpitch.daemon._rollouts import RolloutGuard
from trefoilpitch.identity import TokenSigner
from trefoilpitch.ledger import BillCopies, CopyAck, SegmentWriter
from trefoilpitch.membership import (
    Endpoints,
    LeaveRequested,
    MembershipEvent,
    MembershipHost,
    MembershipView,
    MemberState,
    Report,
    create_membership,
)
from trefoilpitch.metrics import Metrics
from trefoilpitch.peering import PeerTransport, ReceivedMessage
from trefoilpitch.requests import RequestRegistry
from trefoilpitch.retries import RetryBudget
from trefoilpitch.routing import RoutingTable
from trefoilpitch.serving import (
    AdmissionGate,
    CallHandler,
    CascadePlanner,
    ChatHandler,
    ClientFactory,
    Dispatcher,
    KeyedRequests,
    PrefixCaches,
    ResumeHandler,
    SlotQueue,
    UpstreamDirectory,
    VersionMonitor,
    Waiter,
)
from trefoilpitch.store import KeyValueStore
from trefoilpitch.upstreams import ConnectError, LoadReport, UpstreamError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeIdentity:
    """The identity and settings of a node."""

    # Unique in the deployment.
    vm_name: str
    # The VM's failure domain.
    failure_domain: str
    # Identifies this run of the process.
    incarnation: str
    # Addresses for callers, operators and peers.
    endpoints: Endpoints
    # Addresses of peers to contact.
    seeds: tuple[str, ...]
    # Failure domains with entry VMs; others are discovered through peers.
    failure_domains: tuple[str, ...]
    # Caller requests served concurrently.
    max_requests: int
    # Fraction of complete responses sent to the rating service, 0 to 1.
    rating_share: float
    # Keys of callers' tokens; the first one signs, all are accepted.
    token_keys: tuple[bytes, ...]
    # Limits of the orders to engines.
    orders: OrderSettings
    # Nodes of each failure domain that watch the store.
    relays_per_domain: int = 4
    # Size limit of the configuration deltas kept for peers; 0 keeps none.
    max_delta_bytes: int = 32_768


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeDependencies:
    """The clients, executors and sources that a node's components use."""

    # The clock of all components.
    clock: Clock
    # The platform's key-value service.
    store: KeyValueStore
    # Carries messages between nodes.
    transport: PeerTransport
    # Makes clients of upstreams.
    clients: ClientFactory
    # Forwards keyed requests to their home nodes.
    forwarder: Forwarder
    # Blocks requests until a slot is free.
    waiter: Waiter
    # Runs reads of the store.
    store_executor: TaskExecutor
    # Runs calls to engines that carry orders.
    order_executor: TaskExecutor
    # Watches the head key of the configuration.
    head_watcher: HeadWatcher
    # Source of random numbers.
    rng: random.Random


class NodeCore:
    """Creates and connects the components of one node.

    Args:
        identity: The node's identity and settings.
        dependencies: What the components use.
        submit_membership_event: Passes an event to the thread that runs the
            membership protocol.
        in_flight: Returns the number of requests in flight.
        on_superseded: Called when a newer process uses the same VM name.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        dependencies: NodeDependencies,
        *,
        submit_membership_event: Callable[[MembershipEvent], None],
        in_flight: Callable[[], int],
        on_superseded: Callable[[], None],
    ) -> None:
        self._identity = identity
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._in_flight = in_flight
        self._notify_superseded = on_superseded
        self._out_of_service_since_ms: int | None = None
        self.metrics = Metrics()
        self.ledger = Ledger(
            SegmentWriter(identity.incarnation),
            clock=self._clock,
            metrics=self.metrics,
            transport=dependencies.transport,
            waiter=dependencies.waiter,
        )
        self.queue = SlotQueue(
            self._clock,
            dependencies.waiter,
            max(1, identity.max_requests // 2),
        )
        self.cold_starts = ColdStarts(
            self._clock, dependencies.transport, self.queue.notify
        )
        self.directory = UpstreamDirectory(
            self._clock,
            dependencies.clients,
            self.cold_starts,
            AdaptiveConcurrency(),
        )
        self.directory.add_release_listener(self.queue.observe)
        self.prefixes = PrefixCaches()
        self.metrics.include(ClientStatsCollector(self.directory.client_stats))
        self.current = CurrentConfiguration(
            identity.vm_name, self._on_configuration_change
        )
        self.replica = self._create_replica()
        self.members = self._create_members()
        self.draining = Draining(
            self._clock,
            lambda: submit_membership_event(LeaveRequested()),
            in_flight,
        )
        self.planner = CascadePlanner(
            CascadePolicy(identity.incarnation),
            dependencies.rng,
            self._clock,
        )
        self.version_monitor = VersionMonitor(
            self.planner,
            self._clock,
            dependencies.rng,
            identity.rating_share,
        )
        self.rollouts = RolloutGuard(
            self.version_monitor,
            writer=self._create_writer(),
            accepts_changes=self.replica.accepts_changes,
            apply_commit=self.replica.apply_commit,
            count_nodes=self._count_nodes,
            clock=self._clock,
            metrics=self.metrics,
        )
        self.orders = self._create_orders()
        self.callers = CallerApi(
            identity.incarnation, self._create_caller_dependencies()
        )

    @property
    def incarnation(self) -> str:
        """Identifies this run of the process."""
        return self._identity.incarnation

    def view(self) -> MembershipView:
        """Returns the latest membership view."""
        return self.members.view

    def receive(self, message: ReceivedMessage) -> None:
        """Handles a peer's message of any protocol except membership."""
        if isinstance(message.payload, ReplicaMessage):
            self.replica.receive(message)
        elif isinstance(message.payload, BillCopies | CopyAck):
            self.ledger.receive(message)
        else:
            self.cold_starts.receive(message)

    def report(self) -> Report:
        """Returns the report that membership distributes to other nodes."""
        share = self._in_flight() / self._identity.max_requests
        return Report(
            in_flight_share=min(1.0, share),
            configuration_revision=self.current.table().revision,
        )

    def record_report(self, report: LoadReport, requested_ms: int) -> None:
        """Records an upstream's load report, requested at ``requested_ms``."""
        self.directory.record_report(report.upstream, report)
        self.cold_starts.record_report(report, requested_ms)

    def record_report_failure(
        self, upstream: str, error: UpstreamError
    ) -> None:
        """Records that an upstream's load report could not be fetched."""
        unreachable = isinstance(error, ConnectError)
        self.directory.record_report_failure(upstream, unreachable=unreachable)
        self.metrics.count("load_report_failures")
        if unreachable:
            self.cold_starts.record_unreachable(upstream)

    def flush_bills(self) -> bool:
        """Writes all bills; returns whether the store accepted them."""
        return write_due_segments(
            self.ledger, self._dependencies.store, self.metrics, flush=True
        )

    def issue_orders(self) -> None:
        """Issues the orders to engines for which this node holds a lease.

        Requires a configuration that is ready and fresh. A node that is
        leaving gives up its leases while other nodes can take them over.
        """
        is_staying = self.draining.phase is NodePhase.SERVING
        self.orders.tick(
            self.current.table().configuration,
            self.view(),
            is_allowed=self.is_ready() and self.is_fresh() and is_staying,
        )

    def is_ready(self) -> bool:
        """Returns whether the node has received a bundle."""
        return self.current.table().configuration.bundle is not None

    def is_fresh(self) -> bool:
        """Returns whether the configuration is recent enough for new work."""
        return self.replica.standing().admits_new_work

    def accepts_work(self) -> bool:
        """Returns whether the node still accepts new requests."""
        return self.draining.phase is not NodePhase.FINISHING

    def is_in_service(self) -> bool:
        """Returns whether callers may still send requests here.

        After operators take the VM or its failure domain out of service,
        callers may use entry lists that they fetched before, until those
        expire.
        """
        if self._out_of_service_since_ms is None:
            return True
        return (
            self._clock.now_ms() - self._out_of_service_since_ms
            < ENTRIES_TTL_MS
        )

    def admin_dependencies(
        self, dump: Callable[[], dict[str, Any]]
    ) -> AdminDependencies:
        """Returns the services behind the administration API."""
        store = self._dependencies.store
        return AdminDependencies(
            view=self.view,
            configuration=lambda: self.current.table().configuration,
            writer=self._create_writer(),
            reader=HeadReader(store),
            accepts_changes=self.replica.accepts_changes,
            confirm=self.replica.confirm,
            store=store,
            dump=dump,
            metrics=self.metrics,
            clock=self._clock,
        )

    def dump(self) -> dict[str, Any]:
        """Returns the node's state for ``GET /v1/dump``."""
        return {
            "incarnation": self.incarnation,
            "phase": self.draining.phase.value,
            "in_service": self.is_in_service(),
            "configuration": self.replica.status(),
            "in_flight": self._in_flight(),
            "waiting": self.queue.waiting,
            "ledger_unwritten_bytes": self.ledger.unwritten_bytes,
            "ledger_held_bytes": self.ledger.held_bytes,
            "prefix_gaps": self.prefixes.gaps,
            "upstreams": list(self.directory.states().values()),
            "upstream_clients": self.directory.client_stats(),
            "breakers": self.version_monitor.breakers(),
            "orders": self.orders.dump(),
            "rollout_advice": self.version_monitor.advice(self._count_nodes()),
            "peering": self._dependencies.transport.counters(),
            "counters": self.metrics.counters(),
            "latencies": self.metrics.latencies(),
        }

    def _create_writer(self) -> ConfigurationWriter:
        return configuration_writer(
            self._dependencies.store,
            max_delta_bytes=self._identity.max_delta_bytes,
        )

    def _create_replica(self) -> ReplicaHost:
        identity = self._identity
        settings = ReplicaSettings(
            name=identity.vm_name,
            failure_domain=identity.failure_domain,
            address=identity.endpoints.peer_address,
            failure_domains=identity.failure_domains,
            relays_per_domain=identity.relays_per_domain,
            max_log_bytes=identity.max_delta_bytes,
        )
        return ReplicaHost(
            settings,
            clock=self._clock,
            store=self._dependencies.store,
            transport=self._dependencies.transport,
            apply_configuration=self.current.advance,
            store_executor=self._dependencies.store_executor,
            head_watcher=self._dependencies.head_watcher,
            waiter=self._dependencies.waiter,
        )

    def _create_orders(self) -> Orders:
        return Orders(
            vm_name=self._identity.vm_name,
            incarnation=self._identity.incarnation,
            settings=self._identity.orders,
            store=self._dependencies.store,
            clients=self._dependencies.clients,
            executor=self._dependencies.order_executor,
            clock=self._clock,
            metrics=self.metrics,
        )

    def _create_members(self) -> MembershipHost:
        identity = self._identity
        state = create_membership(
            name=identity.vm_name,
            incarnation=identity.incarnation,
            failure_domain=identity.failure_domain,
            endpoints=identity.endpoints,
            now_ms=self._clock.now_ms(),
            seeds=identity.seeds,
        )
        return MembershipHost(
            self._clock,
            state,
            self._dependencies.transport,
            lambda incarnation: self._notify_superseded(),
        )

    def _create_caller_dependencies(self) -> CallerDependencies:
        dispatcher = Dispatcher(
            configuration=self.current,
            directory=self.directory,
            queue=self.queue,
            waiter=self._dependencies.waiter,
            budget=RetryBudget(),
            clock=self._clock,
            rng=self._dependencies.rng,
            local_domain=self._identity.failure_domain,
        )
        return CallerDependencies(
            configuration=self.current,
            gate=AdmissionGate(self, self.ledger),
            chat=ChatHandler(
                configuration=self.current,
                dispatcher=dispatcher,
                planner=self.planner,
                bills=self.ledger,
                clock=self._clock,
                outcomes=self.version_monitor,
                prefixes=self.prefixes,
            ),
            resumption=ResumeHandler(
                configuration=self.current,
                clients=self._dependencies.clients,
                bills=self.ledger,
                clock=self._clock,
            ),
            calls=CallHandler(
                configuration=self.current,
                dispatcher=dispatcher,
                bills=self.ledger,
                clock=self._clock,
            ),
            keyed_calls=self._create_keyed_calls(),
            entries=EntriesEndpoint(
                views=self,
                configuration=self.current,
                incarnation=self.incarnation,
                clock=self._clock,
                rng=self._dependencies.rng,
            ),
            signer=TokenSigner(self._identity.token_keys),
            metrics=self.metrics,
            clock=self._clock,
        )

    def _create_keyed_calls(self) -> KeyedCalls:
        registry: RequestRegistry[CallResult] = RequestRegistry()
        return KeyedCalls(
            homes=FleetHomes(self.incarnation, self.view),
            register=StoreKeyRegister(
                self.incarnation, self._dependencies.store, self._clock
            ),
            forwarder=self._dependencies.forwarder,
            keyed=KeyedRequests(
                registry, self._clock, self._dependencies.waiter
            ),
            clock=self._clock,
        )

    def _count_nodes(self) -> int:
        members = self.members.view.members
        return sum(one.state is not MemberState.GONE for one in members)

    def _on_configuration_change(self, table: RoutingTable) -> None:
        self.version_monitor.apply(table)
        self.directory.apply(table)
        tracked = self.directory.tracked()
        self.prefixes.retain(frozenset(one.upstream.name for one in tracked))
        self.cold_starts.set_upstreams(tuple(table.upstreams.values()))
        self._update_out_of_service(table)
        self.queue.notify()

    def _update_out_of_service(self, table: RoutingTable) -> None:
        configuration = table.configuration
        identity = self._identity
        is_out = (
            identity.failure_domain in configuration.failure_domains_out
            or identity.vm_name in configuration.vms_out
        )
        if not is_out:
            self._out_of_service_since_ms = None
        elif self._out_of_service_since_ms is None:
            self._out_of_service_since_ms = self._clock.now_ms()

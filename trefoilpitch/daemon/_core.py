"""The parts of one node and how they are joined, without threads or sockets.

The daemon drives a core from actors and HTTP servers; stateful tests drive
the same core from one thread with a clock of their own.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from typing import Any

from trefoilpitch.administration import AdminDependencies
from trefoilpitch.callers import (
    CallerApi,
    CallerServices,
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
from trefoilpitch.daemon._configuration import CurrentConfiguration
from trefoilpitch.daemon._draining import ENTRIES_TTL_MS, Draining, NodePhase
from trefoilpitch.daemon._gates import AdaptiveConcurrency
from trefoilpitch.daemon._homes import FleetHomes
from trefoilpitch.daemon._key_register import StoreKeyRegister
from trefoilpitch.daemon._ledger import Ledger, write_due_segments
from trefoilpitch.daemon._orders import Orders, OrderSettings
from trefoilpitch.daemon._replica import Background, HeadFollower, ReplicaHost
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
    """Who a node is and what it was told."""

    # The VM's name.
    vm_name: str
    # The failure domain that the VM runs in.
    failure_domain: str
    # This run of the process.
    incarnation: str
    # Where the node is reached.
    endpoints: Endpoints
    # Peer addresses to try.
    seeds: tuple[str, ...]
    # Failure domains that hold entry VMs; others are learnt from peers.
    failure_domains: tuple[str, ...]
    # Requests served at once.
    max_requests: int
    # Share of the whole answers to have rated, from 0 to 1.
    rating_share: float
    # Sign callers' tokens; the first one signs.
    token_keys: tuple[bytes, ...]
    # How orders are given to engines.
    orders: OrderSettings
    # Nodes of each failure domain that watch the store.
    relays_per_domain: int = 4
    # Deltas of the configuration kept for other nodes; 0 keeps none.
    max_delta_bytes: int = 32_768


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Surroundings:
    """What a node's parts reach the world through."""

    # Tells the time.
    clock: Clock
    # The platform's key-value service.
    store: KeyValueStore
    # Carries messages between nodes.
    transport: PeerTransport
    # Makes clients of upstreams.
    clients: ClientFactory
    # Hands requests to other nodes.
    forwarder: Forwarder
    # Lets requests wait for places.
    waiter: Waiter
    # Runs reads of the store.
    background: Background
    # Runs calls that order engines.
    order_calls: Background
    # Follows the head key while that is wanted.
    head_follower: HeadFollower
    # Source of random numbers.
    rng: random.Random


class NodeCore:
    """Joins the parts of one node.

    Args:
        identity: Who the node is.
        surroundings: What it reaches the world through.
        announce: Tells membership events to whoever owns the protocol.
        in_flight: Returns the requests that are being served.
        on_superseded: Called when a later process runs under the VM's name.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        surroundings: Surroundings,
        *,
        announce: Callable[[MembershipEvent], None],
        in_flight: Callable[[], int],
        on_superseded: Callable[[], None],
    ) -> None:
        self._identity = identity
        self._around = surroundings
        self._clock = surroundings.clock
        self._in_flight = in_flight
        self._tell_superseded = on_superseded
        self._out_since_ms: int | None = None
        self.metrics = Metrics()
        self.ledger = Ledger(
            SegmentWriter(identity.incarnation),
            clock=self._clock,
            metrics=self.metrics,
            transport=surroundings.transport,
            waiter=surroundings.waiter,
        )
        self.queue = SlotQueue(
            self._clock,
            surroundings.waiter,
            max(1, identity.max_requests // 2),
        )
        self.cold_starts = ColdStarts(
            self._clock, surroundings.transport, self.queue.notify
        )
        self.directory = UpstreamDirectory(
            self._clock,
            surroundings.clients,
            self.cold_starts,
            AdaptiveConcurrency(),
        )
        self.directory.add_release_listener(self.queue.observe)
        self.prefixes = PrefixCaches()
        self.metrics.include(ClientStatsCollector(self.directory.client_stats))
        self.current = CurrentConfiguration(
            identity.vm_name, self._on_new_table
        )
        self.replica = self._create_replica()
        self.members = self._create_members()
        self.draining = Draining(
            self._clock, lambda: announce(LeaveRequested()), in_flight
        )
        self.planner = CascadePlanner(
            CascadePolicy(identity.incarnation),
            surroundings.rng,
            self._clock,
        )
        self.version_monitor = VersionMonitor(
            self.planner,
            self._clock,
            surroundings.rng,
            identity.rating_share,
        )
        self.rollouts = RolloutGuard(
            self.version_monitor,
            writer=self._create_writer(),
            accepts_changes=self.replica.accepts_changes,
            take_in=self.replica.take_in,
            count_nodes=self._count_nodes,
            clock=self._clock,
            metrics=self.metrics,
        )
        self.orders = self._create_orders()
        self.callers = CallerApi(
            identity.incarnation, self._create_caller_services()
        )

    @property
    def incarnation(self) -> str:
        """This run of the process."""
        return self._identity.incarnation

    def view(self) -> MembershipView:
        """Returns the newest view of the fleet."""
        return self.members.view

    def receive(self, message: ReceivedMessage) -> None:
        """Takes in a peer's message of any protocol but membership."""
        if isinstance(message.payload, ReplicaMessage):
            self.replica.receive(message)
        elif isinstance(message.payload, BillCopies | CopyAck):
            self.ledger.receive(message)
        else:
            self.cold_starts.receive(message)

    def report(self) -> Report:
        """Returns what the node says of itself to the others."""
        share = self._in_flight() / self._identity.max_requests
        return Report(
            in_flight_share=min(1.0, share),
            configuration_revision=self.current.table().revision,
        )

    def note_report(self, report: LoadReport, asked_ms: int) -> None:
        """Takes in an upstream's load report."""
        self.directory.record_report(report.upstream, report)
        self.cold_starts.note_report(report, asked_ms)

    def note_no_report(self, upstream: str, error: UpstreamError) -> None:
        """Takes in that an upstream gave no load report."""
        unreachable = isinstance(error, ConnectError)
        self.directory.record_report_failure(upstream, unreachable=unreachable)
        self.metrics.count("load_report_failures")
        if unreachable:
            self.cold_starts.note_unreachable(upstream)

    def flush_bills(self) -> bool:
        """Writes every bill; returns whether the store took them."""
        return write_due_segments(
            self.ledger, self._around.store, self.metrics, flush=True
        )

    def give_orders(self) -> None:
        """Gives the orders to engines that fall to this node.

        It needs a configuration that may still be the newest; a node that
        is leaving hands its leases on while others are there to take them.
        """
        is_staying = self.draining.phase is NodePhase.SERVING
        self.orders.tick(
            self.current.table().configuration,
            self.view(),
            is_allowed=self.is_ready() and self.is_fresh() and is_staying,
        )

    def is_ready(self) -> bool:
        """Returns whether the node has a configuration to serve."""
        return self.current.table().configuration.bundle is not None

    def is_fresh(self) -> bool:
        """Returns whether the configuration may still be the newest."""
        return self.replica.standing().admits_new_work

    def accepts_work(self) -> bool:
        """Returns whether the node is not about to end."""
        return self.draining.phase is not NodePhase.FINISHING

    def is_in_service(self) -> bool:
        """Returns whether callers may still send requests here.

        They may for as long as they keep an entry list that was made before
        operators took the VM or its failure domain out.
        """
        if self._out_since_ms is None:
            return True
        return self._clock.now_ms() - self._out_since_ms < ENTRIES_TTL_MS

    def admin_dependencies(
        self, dump: Callable[[], dict[str, Any]]
    ) -> AdminDependencies:
        """Returns what the administration API reads and changes."""
        store = self._around.store
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
        """Returns the node's state."""
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
            "peering": self._around.transport.counters(),
            "counters": self.metrics.counters(),
            "latencies": self.metrics.latencies(),
        }

    def _create_writer(self) -> ConfigurationWriter:
        return configuration_writer(
            self._around.store,
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
            store=self._around.store,
            transport=self._around.transport,
            put_in_force=self.current.advance,
            background=self._around.background,
            head_follower=self._around.head_follower,
            waiter=self._around.waiter,
        )

    def _create_orders(self) -> Orders:
        return Orders(
            vm_name=self._identity.vm_name,
            incarnation=self._identity.incarnation,
            settings=self._identity.orders,
            store=self._around.store,
            clients=self._around.clients,
            calls=self._around.order_calls,
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
            self._around.transport,
            lambda incarnation: self._tell_superseded(),
        )

    def _create_caller_services(self) -> CallerServices:
        dispatcher = Dispatcher(
            configuration=self.current,
            directory=self.directory,
            queue=self.queue,
            waiter=self._around.waiter,
            budget=RetryBudget(),
            clock=self._clock,
            rng=self._around.rng,
            local_domain=self._identity.failure_domain,
        )
        return CallerServices(
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
                clients=self._around.clients,
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
                rng=self._around.rng,
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
                self.incarnation, self._around.store, self._clock
            ),
            forwarder=self._around.forwarder,
            keyed=KeyedRequests(registry, self._clock, self._around.waiter),
            clock=self._clock,
        )

    def _count_nodes(self) -> int:
        members = self.members.view.members
        return sum(one.state is not MemberState.GONE for one in members)

    def _on_new_table(self, table: RoutingTable) -> None:
        self.version_monitor.apply(table)
        self.directory.apply(table)
        tracked = self.directory.tracked()
        self.prefixes.retain(frozenset(one.upstream.name for one in tracked))
        self.cold_starts.set_upstreams(tuple(table.upstreams.values()))
        self._note_own_service(table)
        self.queue.notify()

    def _note_own_service(self, table: RoutingTable) -> None:
        configuration = table.configuration
        identity = self._identity
        is_out = (
            identity.failure_domain in configuration.failure_domains_out
            or identity.vm_name in configuration.vms_out
        )
        if not is_out:
            self._out_since_ms = None
        elif self._out_since_ms is None:
            self._out_since_ms = self._clock.now_ms()

"""A simulated fleet: real node cores on one clock, store and network."""

from __future__ import annotations

import hashlib
import random
import threading
from collections.abc import Callable

from returns.result import Failure, Result, Success

from trefoilpitch.administration import AdminApi
from trefoilpitch.bundle import (
    Bundle,
    Model,
    ModelVersion,
    Operation,
    Pool,
    RolloutPlan,
    Service,
    Task,
    Upstream,
    UpstreamKind,
    VersionRef,
    Workspace,
)
from trefoilpitch.clock import ManualClock
from trefoilpitch.configuration import HEAD_KEY, Change
from trefoilpitch.configuration.replication import (
    HeadWatched,
    ReplicaEvent,
    Tick,
    WatchEnded,
)
from trefoilpitch.daemon._core import NodeCore, NodeDependencies, NodeIdentity
from trefoilpitch.daemon._ledger import write_due_segments
from trefoilpitch.daemon._node import PEER_PAYLOADS
from trefoilpitch.daemon._orders import ORDER_TICK_MS, OrderSettings
from trefoilpitch.daemon.tests.stateful.oracle import Oracle
from trefoilpitch.daemon.tests.stateful.upstreams import (
    Backend,
    SimEngineClient,
    SimServiceClient,
)
from trefoilpitch.identity import create_incarnation
from trefoilpitch.ledger import LEDGER_PREFIX, decode_segment, deduplicate_bills
from trefoilpitch.membership import (
    Departed,
    Endpoints,
    MembershipEvent,
    MembershipMessage,
    MessageReceived,
    ReportChanged,
)
from trefoilpitch.membership import Tick as MembershipTick
from trefoilpitch.peering import (
    MemoryNetwork,
    PeerIdentity,
    PeerKeys,
    ReceivedMessage,
    create_payload_registry,
)
from trefoilpitch.store import MemoryStore, Watch, memory_store
from trefoilpitch.upstreams import (
    ConnectError,
    EngineClient,
    ServiceClient,
)
from trefoilpitch.web import Body, Header, Outcome, Problem, Request, Response

DOMAINS = ("a", "b", "c")
MODELS = ("cheap", "dear")
VERSIONS = ("1", "2")
# Without ratings a cascade starts with its last model, so the cheap model is
# only used through a task of its own.
TASKS = {"tag": MODELS, "sort": ("cheap",)}
WORKSPACES = ("wide", "narrow")
ADMIN_TOKEN = "admin"
STEP_MS = 50
_KEY = b"a key that all nodes share"
_MEMBERSHIP_MS, _REPLICA_MS, _VIEW_MS = 200, 250, 500
_LEDGER_MS, _LOAD_MS = 200, 500
_ROLLOUT_MS = 1_000


def token_sha256(workspace: str) -> str:
    return hashlib.sha256(workspace.encode()).hexdigest()


def make_bundle(version: int, *, checks_fencing: bool = False) -> Bundle:
    def upstreams(kind: str, port: int) -> tuple[Upstream, ...]:
        return tuple(
            Upstream(
                name=f"{kind}-{domain}",
                address=f"127.0.0.1:{port + index}",
                failure_domain=domain,
                capacity=4,
                cold_capacity=1,
                checks_fencing=checks_fencing,
            )
            for index, domain in enumerate(DOMAINS)
        )

    serves = tuple(f"{model}@{one}" for model in MODELS for one in VERSIONS)
    operations = (
        Operation(name="lend", method="POST", idempotent=False),
        Operation(name="look-up", method="GET", idempotent=True),
    )
    versions = tuple(
        ModelVersion(name=one, prompt_cost_nano=1, output_cost_nano=1)
        for one in VERSIONS
    )
    allowed = {"wide": ("cheap@*", "dear@*"), "narrow": ("cheap@2", "dear@1")}
    return Bundle(
        name="test",
        version=version,
        failure_domains=DOMAINS,
        models=tuple(
            Model(name=name, versions=versions, default_version="1")
            for name in MODELS
        ),
        pools=(
            Pool(
                name="engines",
                kind=UpstreamKind.ENGINE,
                serves=serves,
                upstreams=upstreams("engine", 9_000),
            ),
            Pool(
                name="desk",
                kind=UpstreamKind.SERVICE,
                upstreams=upstreams("desk", 9_100),
            ),
        ),
        tasks=tuple(
            Task(
                name=name,
                cascade=cascade,
                quality_target=0.9,
                deadline_ms=20_000,
            )
            for name, cascade in TASKS.items()
        ),
        services=(Service(name="loans", pool="desk", operations=operations),),
        workspaces=tuple(
            Workspace(
                name=name,
                token_sha256=token_sha256(name),
                allowed=allowed[name],
                tasks=tuple(TASKS),
                services=("loans",),
            )
            for name in WORKSPACES
        ),
        rollouts=tuple(
            RolloutPlan(model=name, to_version="2", steps_percent=(50, 100))
            for name in MODELS
        ),
    )


class _PolledHeadWatcher:
    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self._watch: Watch | None = None
        self._on_event: Callable[[ReplicaEvent], None] | None = None

    def start(self, on_event: Callable[[ReplicaEvent], None]) -> None:
        self.stop()
        self._on_event = on_event

    def stop(self) -> None:
        self._on_event = None
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def poll(self) -> None:
        if self._on_event is None:
            return
        if self._watch is None:
            opened = self._store.watch(HEAD_KEY, 0)
            if not isinstance(opened, Success):
                self._end(self._on_event)
                return
            self._watch = opened.unwrap()
        received = self._watch.receive(0)
        if not isinstance(received, Success):
            self._end(self._on_event)
            return
        for event in received.unwrap().events:
            self._on_event(HeadWatched(event.value))

    def _end(self, on_event: Callable[[ReplicaEvent], None]) -> None:
        self.stop()
        on_event(WatchEnded())


class SimNode:
    """One node core; :meth:`tick` does the work of its actors."""

    def __init__(self, fleet: Fleet, domain: str) -> None:
        self.fleet = fleet
        self.domain = domain
        self.name = f"entry-{domain}"
        self.is_paused = False
        self.is_draining = False
        self.streams: dict[str, Body] = {}
        self.serving = 0
        self.store = fleet.store.new_client()
        self._inbox: list[ReceivedMessage] = []
        self._tasks: list[Callable[[], None]] = []
        self._engine_clients: list[SimEngineClient] = []
        clock = fleet.clock
        incarnation = create_incarnation(self.name, clock.wall_ms())
        self.address = f"peer-{domain}"
        self._transport = fleet.network.attach(
            PeerIdentity(
                deployment="test",
                name=self.name,
                incarnation=incarnation,
                address=self.address,
            ),
            keys=PeerKeys(current=_KEY),
            registry=create_payload_registry(*PEER_PAYLOADS),
            handler=self._inbox.append,
        )
        self._head_watcher = _PolledHeadWatcher(self.store)
        self.core = NodeCore(
            NodeIdentity(
                vm_name=self.name,
                failure_domain=domain,
                incarnation=incarnation,
                endpoints=Endpoints(
                    caller_address=self.name,
                    admin_address=self.name,
                    peer_address=self.address,
                ),
                seeds=tuple(f"peer-{one}" for one in DOMAINS),
                failure_domains=DOMAINS,
                max_requests=32,
                rating_share=0.0,
                token_keys=(_KEY,),
                orders=OrderSettings(load_interval_ms=1_000),
            ),
            NodeDependencies(
                clock=clock,
                store=self.store,
                transport=self._transport,
                clients=self,
                forwarder=self,
                waiter=fleet,
                store_executor=self,
                order_executor=self,
                head_watcher=self._head_watcher,
                rng=fleet.rng,
            ),
            submit_membership_event=self._submit_membership_event,
            in_flight=lambda: len(self.streams) + self.serving,
            on_superseded=lambda: None,
        )
        digest = hashlib.sha256(ADMIN_TOKEN.encode()).hexdigest()
        self._services = self.core.admin_dependencies(self.core.dump)
        self.admin = AdminApi(digest, self._services)

    # The node's dependencies.

    def submit(self, task: Callable[[], None]) -> None:
        self._tasks.append(task)

    def close(self) -> None:
        self._tasks.clear()

    def engine(self, upstream: Upstream) -> EngineClient:
        client = SimEngineClient(self.fleet.backends[upstream.name])
        self._engine_clients.append(client)
        return client

    def service(self, upstream: Upstream) -> ServiceClient:
        backend = self.fleet.backends[upstream.name]
        return SimServiceClient(backend, self.fleet.run_meanwhile)

    def forward(
        self, address: str, request: Request, deadline_ms: int
    ) -> Result[Response, Problem]:
        del deadline_ms
        target = self.fleet.live(address)
        if target is None:
            problem = Problem(
                status=504,
                code="home-unreachable",
                title="no response",
                outcome=Outcome.UNKNOWN,
            )
            return Failure(problem)
        headers = {**request.headers, "forwarded-by": self.name}
        forwarded = Request(
            method=request.method,
            path=request.path,
            query=request.query,
            headers=headers,
            body=request.body,
        )
        return Success(target.handle(forwarded))

    # The work of actors and HTTP servers.

    def handle(self, request: Request) -> Response:
        self.serving += 1
        try:
            return self.core.callers.handle(request)
        finally:
            self.serving -= 1

    def commit(self, change: Change) -> int | None:
        """Commits a change; returns its revision if confirmed, else None."""
        services = self._services
        if not services.accepts_changes():
            return None
        sent_ms = self.fleet.clock.now_ms()
        committed = services.writer.commit(change)
        if not isinstance(committed, Success):
            return None
        if not services.confirm(committed.unwrap(), sent_ms):
            return None
        revision: int = committed.unwrap().revision
        return revision

    def tick(self, now_ms: int) -> None:
        inbox, self._inbox[:] = list(self._inbox), []
        for message in inbox:
            self._receive(message)
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task()
        self._head_watcher.poll()
        for period_ms, action in self._periodic:
            if now_ms % period_ms == 0:
                action()

    @property
    def _periodic(self) -> tuple[tuple[int, Callable[[], object]], ...]:
        core = self.core
        return (
            (_MEMBERSHIP_MS, self._tick_membership),
            (_VIEW_MS, core.members.refresh_view),
            (_REPLICA_MS, self._tick_replica),
            (ORDER_TICK_MS, core.issue_orders),
            (_LEDGER_MS, self._write_bills),
            (_LOAD_MS, self._fetch_reports),
            (_ROLLOUT_MS, core.rollouts.attempt_due_pauses),
        )

    def _tick_membership(self) -> None:
        core = self.core
        core.members.handle(ReportChanged(core.report()))
        core.members.handle(MembershipTick())

    def _tick_replica(self) -> None:
        core = self.core
        if core.view().is_settled:
            core.replica.observe_fleet(core.view())
        core.replica.handle(Tick())
        core.cold_starts.observe_fleet(core.view())

    def _write_bills(self) -> None:
        core = self.core
        core.ledger.observe_fleet(core.view())
        write_due_segments(core.ledger, self.store, core.metrics, flush=False)

    def depart(self) -> bool:
        is_flushed = self.core.flush_bills()
        self.core.members.handle(Departed())
        self._transport.close()
        return is_flushed

    def crash(self) -> None:
        self._transport.close()
        for client in self._engine_clients:
            client.disconnect()

    def _receive(self, message: ReceivedMessage) -> None:
        payload = message.payload
        if isinstance(payload, MembershipMessage):
            event = MessageReceived(message.sender, message.address, payload)
            self.core.members.handle(event)
        else:
            self.core.receive(message)

    def _submit_membership_event(self, event: MembershipEvent) -> None:
        self.core.members.handle(event)

    def _fetch_reports(self) -> None:
        now_ms = self.fleet.clock.now_ms()
        for tracked in self.core.directory.tracked():
            backend = self.fleet.backends[tracked.upstream.name]
            if backend.is_up:
                self.core.record_report(backend.report(), now_ms)
            else:
                error = ConnectError(backend.name, "refused")
                self.core.record_report_failure(backend.name, error)


class Fleet:
    """Clock, network, store, upstreams and nodes that the rules act on."""

    def __init__(self, seed: int) -> None:
        self.clock = ManualClock(1_000_000)
        self.rng = random.Random(seed)
        self.oracle = Oracle()
        self.network = MemoryNetwork(self.clock, seed=seed)
        self.store = memory_store(self.clock)
        self.backends = {
            upstream.name: Backend(upstream, self.clock, self.oracle)
            for pool in make_bundle(1).pools
            for upstream in pool.upstreams
        }
        for backend in self.backends.values():
            if backend.name.startswith("engine"):
                backend.versions = {
                    VersionRef(model, one)
                    for model in MODELS
                    for one in VERSIONS
                }
        self.meanwhile: list[Callable[[], None]] = []
        self.nodes: dict[str, SimNode] = {}
        for domain in DOMAINS:
            self.replace(domain)

    def replace(self, domain: str) -> None:
        node = SimNode(self, domain)
        self.nodes[node.name] = node

    def live(self, name: str) -> SimNode | None:
        node = self.nodes.get(name)
        return node if node is not None and not node.is_paused else None

    def live_nodes(self) -> list[SimNode]:
        return [node for node in self.nodes.values() if not node.is_paused]

    def run_meanwhile(self) -> None:
        if self.meanwhile:
            self.meanwhile.pop(0)()

    # The waiter of all nodes: waiting advances the simulation.

    def sleep(self, duration_ms: int) -> None:
        self.advance(duration_ms)

    def wait(self, changed: threading.Condition, timeout_ms: int) -> None:
        del changed
        self.advance(min(timeout_ms, 100))

    def advance(self, duration_ms: int) -> None:
        for _ in range(max(1, duration_ms // STEP_MS)):
            self.clock.advance(STEP_MS)
            self.network.deliver_due()
            now_ms = self.clock.now_ms()
            for node in self.live_nodes():
                node.tick(now_ms)
            self.observe(now_ms)

    def observe(self, now_ms: int) -> None:
        for node in self.live_nodes():
            self.oracle.node_state(
                node.core.incarnation,
                now_ms,
                node.core.current.table().revision,
                node.core.is_fresh(),
            )

    def bills(self) -> list[str]:
        listed = self.store.new_client().list_prefix(LEDGER_PREFIX).unwrap()
        bills = [
            bill
            for entry in listed.entries
            for bill in decode_segment(entry.value).unwrap()
        ]
        return [bill.request_id for bill in deduplicate_bills(bills)]


def request(
    method: str, path: str, token: str, body: bytes = b"", **headers: str
) -> Request:
    fields = {name.replace("_", "-"): text for name, text in headers.items()}
    fields["authorization"] = f"Bearer {token}"
    return Request(
        method=method, path=path, query={}, headers=fields, body=body
    )


def header(fields: tuple[Header, ...], name: str) -> str:
    found = [one.value for one in fields if one.name.lower() == name]
    return found[0] if found else ""

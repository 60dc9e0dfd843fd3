"""A daemon of the fleet: servers, fleet view and background tasks."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import (
    Change,
    DocumentCodec,
    FleetStore,
    FleetView,
    Member,
    RequestLimits,
    StoreVersion,
)
from trefoilpitch.gateway._admission_control import AdmissionControl
from trefoilpitch.gateway._client_identity import ClientIdentity
from trefoilpitch.gateway._cold_reports import ColdReports
from trefoilpitch.gateway._crash_evidence import EvidenceReport
from trefoilpitch.gateway._crash_tracking import create_crash_tracking
from trefoilpitch.gateway._dispatcher import Dispatcher
from trefoilpitch.gateway._follower import StoreFollower, run_periodically
from trefoilpitch.gateway._health import ExpectedLatencies
from trefoilpitch.gateway._http_server import (
    Handler,
    HttpRequest,
    HttpServer,
    Responder,
    ServerState,
)
from trefoilpitch.gateway._known_members import KnownMembers
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._memory_budget import derive_limits
from trefoilpitch.gateway._memory_guard import MemoryGuard
from trefoilpitch.gateway._messages import RequestCodec
from trefoilpitch.gateway._model_tiers import ModelSelector
from trefoilpitch.gateway._node_settings import ListenAddress, NodeSettings
from trefoilpitch.gateway._peer_items import PeerItems, decode_items_target
from trefoilpitch.gateway._peer_lag import PeerLag
from trefoilpitch.gateway._peers import (
    Heartbeat,
    PeerSocket,
    PeerTable,
    encode_batch,
    heartbeat_interval_ms,
    min_heartbeat_gap_ms,
    watch_wait_ms,
    watches_store,
)
from trefoilpitch.gateway._registration import Registration
from trefoilpitch.gateway._relay_messages import is_relayed
from trefoilpitch.gateway._relay_server import RelayServer
from trefoilpitch.gateway._relays import Relays
from trefoilpitch.gateway._request_dependencies import RequestDependencies
from trefoilpitch.gateway._request_handler import RequestHandler
from trefoilpitch.gateway._restarted_upstreams import RestartedUpstreams
from trefoilpitch.gateway._retry_budgets import RetryBudgets
from trefoilpitch.gateway._rollout_controller import RolloutController
from trefoilpitch.gateway._service_load import ServiceLoads
from trefoilpitch.gateway._state_dump import describe_state
from trefoilpitch.gateway._supervision import supervise
from trefoilpitch.gateway._upstream_digest import upstream_digest
from trefoilpitch.gateway._upstream_links import UpstreamLinks
from trefoilpitch.gateway._upstream_probes import UpstreamProbes
from trefoilpitch.gateway._upstream_waiter import UpstreamWaiter
from trefoilpitch.gateway._work_tracking import WorkTracker
from trefoilpitch.metrics import Metrics

_ROLLOUT_INTERVAL_MS = 200
# Short, as all daemons may be killed right after an ending.
_QUARANTINE_SYNC_INTERVAL_MS = 100
# Checks of the store by any daemon within the time in which a configuration has
# to take effect. The rest is for the timeout of a lost watch, the next call and
# the peers' fetches.
_CHECKS_PER_APPLY_TIME = 4
_MIN_CHECK_INTERVAL_MS = 250
# For this long after a listing all listed members count as alive: by then each
# has sent a heartbeat, even in a large fleet.
_MEMBER_GRACE_MS = 1_700
# Delay before a watching daemon fetches changes from a peer that is ahead:
# usually its own watch delivers them first.
_PEER_AHEAD_DELAY_MS = 250
# Daemons that do not watch spread their fetches from peers over this time.
_FETCH_JITTER_MS = 150
# How long a peer that did not reply is only asked if no other one has the
# changes: about as long as one that has ended still counts as alive.
_UNRESPONSIVE_PEER_MS = 5_000
_MS_PER_S = 1_000
# How long a leaving daemon accepts new requests: callers cache addresses for a
# few seconds. Requests of the first 3 s after the signal may be cut off by the
# exit if they run until then, later ones may not; 200 ms are a margin for what
# arrives while the process is late.
_LEAVE_OPEN_MS = 2_800
# The daemon exits this long before the platform would kill it.
_LEAVE_MARGIN_MS = 300
# Requests without a response get a final one this long before the exit: several
# turns of the loop that waits for them, also on a busy VM.
_FINAL_RESPONSE_MS = 200
# Interval of the trials of lost links.
_LINK_TRIAL_INTERVAL_MS = 250
# Upstreams that a heartbeat reports as unreachable, so that it fits into one
# datagram.
_MAX_UNREACHABLE_REPORTS = 128
# Headers that are added to a request for its upstream and its relay.
_RELAY_HEADER_BYTES = 4_096
_METRICS_PATH = b"/metrics"
_STATE_PATH = b"/state"
_TEXT = (b"Content-Type", b"text/plain; version=0.0.4")
_JSON = (b"Content-Type", b"application/json")
# How long a daemon that has just started waits for a peer's heartbeat before it
# relies on the store alone.
_PEER_GRACE_MS = 2_000


class AuxiliaryHandlers(Protocol):
    """Creates the handlers of the servers besides the callers' one."""

    def readiness(self, node: Node) -> Handler:
        """Returns the handler of the readiness check."""

    def directory(self, node: Node) -> Handler:
        """Returns the handler that lists addresses for callers."""


class Node:
    """A running daemon.

    Args:
        settings: Start-up settings.
        store: The platform's store.
        documents: Encodes and decodes the store's documents.
        requests: Encodes and decodes requests and responses.
        auxiliary: Creates the readiness and directory handlers.
        clock: Provides monotonic and wall-clock time.
        rng: Source of random numbers.
        metrics: Registry for the daemon's metrics.
    """

    def __init__(
        self,
        settings: NodeSettings,
        *,
        store: FleetStore,
        documents: DocumentCodec,
        requests: RequestCodec,
        auxiliary: AuxiliaryHandlers,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._leaving_since_ms: int | None = None
        self._left = asyncio.Event()
        self._sequence = 0
        self._started_ms = clock.now_ms()
        self._peer_ahead = asyncio.Event()
        # Monotonic time until which a peer that did not reply is avoided.
        self._unresponsive_until_ms: dict[str, int] = {}
        self._view = FleetView(documents, self._log_change)
        self._peers = PeerTable(settings.name)
        self._lag = PeerLag(
            clock,
            rng,
            lambda: (self._view.version, self._configuration_version),
            settings.apply_ms,
        )
        self._rng = rng
        self._peer_items = PeerItems(settings, rng)
        member = Member(
            name=settings.name,
            incarnation=settings.incarnation,
            caller_address=f"{settings.callers.host}:{settings.callers.port}",
            peer_host=settings.peers.host,
            peer_port=settings.peers.port,
            heartbeat_port=settings.heartbeats.port,
            failure_domain=settings.failure_domain,
        )
        self._registration = Registration(
            store, documents, member, self._view, clock=clock, rng=rng
        )
        self._follower = StoreFollower(
            store,
            self._view,
            clock,
            rng,
            apply_ms=settings.apply_ms,
            should_watch=self._should_watch,
            watch_wait_ms=self._watch_wait_ms,
            fetch_from_peers=self._peer_items.fetch_from_seeds,
            on_change=self._on_view_change,
            on_store_return=self._record_store_return,
        )
        self._members = KnownMembers(
            self._view,
            self._peers,
            clock,
            own_name=settings.name,
            expects_peers=bool({*settings.seeds} - {settings.peers}),
            is_current=self._follower.is_current,
        )
        self._budgets = RetryBudgets(settings, clock, self._members.names)
        self._restarts = RestartedUpstreams(clock, self._peers.cold_until_ms)
        self._cold_reports = ColdReports(
            self._restarts,
            self._view,
            requests,
            self._send_urgent_heartbeat,
            links_doubted=lambda: self._links.are_doubted(self._view.upstreams),
        )
        self._links = UpstreamLinks(
            clock,
            # The dispatcher is created later.
            lambda name: self._dispatcher.record_reachable(name),  # noqa: PLW0108
            on_restarted=self._cold_reports.record_restarted,
        )
        self._relays = Relays(
            self._view,
            self._peers,
            self._links,
            clock,
            rng,
            failure_domain=settings.failure_domain,
        )
        dispatcher = Dispatcher(
            self._view,
            clock,
            rng,
            own_name=settings.name,
            failure_domain=settings.failure_domain,
            members=self._members.names,
            peers_in_flight=self._peers.in_flight,
            peers_unreachable=self._peers.unreachable,
            relays=self._relays,
            has_restarted_cold=self._restarts.is_cold,
            work=WorkTracker(clock, self._peers.work, metrics),
            peers_demand=self._peers.demand,
            waiting=self._waiting_by_service,
        )
        self._dispatcher = dispatcher
        self._waiter = UpstreamWaiter(
            clock,
            AdmissionControl(
                ServiceLoads(
                    self._view,
                    dispatcher,
                    clock,
                    lambda service: self._peers.demand(service).values(),
                ),
                clock,
                rng,
                metrics,
            ),
        )
        self._rollout_controller = RolloutController(
            store=store,
            codec=documents,
            view=self._view,
            dispatcher=dispatcher,
            peers=self._peers,
            clock=clock,
            own_name=settings.name,
            may_decide=lambda: self._members.may_decide,
        )
        self._heartbeat_sent_ms = clock.now_ms()
        self._urgent_heartbeat: asyncio.TimerHandle | None = None
        self._crashes = create_crash_tracking(
            settings,
            self._view,
            clock,
            metrics,
            store=store,
            documents=documents,
            peers=self._peers,
            probes=UpstreamProbes(
                self._view,
                self._links,
                self._relays,
                own_name=settings.name,
                is_uncertain=lambda: self._members.are_uncertain,
            ),
            started_in_outage=lambda: self._follower.started_in_outage,
            on_evidence=self._send_urgent_heartbeat,
            on_running=self._cold_reports.record_broken,
        )
        self._relay_server = RelayServer(
            self._view,
            dispatcher,
            self._links,
            requests,
            self._crashes.cut_attempts,
            clock=clock,
            metrics=metrics,
            accepts=lambda: self.ready,
        )
        self._request_handler = RequestHandler(
            RequestDependencies(
                view=self._view,
                dispatcher=dispatcher,
                own_name=settings.name,
                links=self._links,
                relays=self._relays,
                waiter=self._waiter,
                codec=requests,
                clock=clock,
                budget=self._budgets.budget,
                expected_latencies=ExpectedLatencies(),
                models=ModelSelector(),
                metrics=metrics,
                cut_attempts=self._crashes.cut_attempts,
                quarantine=self._crashes.quarantine,
                is_current=self._is_current,
                store_unavailable=lambda: self._follower.store_unavailable,
            )
        )
        self._guard = MemoryGuard(
            derive_limits(settings.memory_mb, settings.max_descriptors),
            settings.client_limits,
            clock.now_ms,
            metrics,
        )
        self._identity = ClientIdentity(requests, self._view)
        self._caller_server = self._server(self._request_handler.handle)
        self._peer_server = self._server(self._serve_peer)
        self._peer_server.state.limits = self._peer_limits
        self._peer_server.state.answers_over_share = True
        self._peer_server.state.refusal_headers = (
            self._identity.relay_refusal_headers
        )
        self._auxiliary_servers = [
            (settings.readiness, self._server(auxiliary.readiness(self))),
            (settings.directory, self._server(auxiliary.directory(self))),
            (settings.peers, self._peer_server),
        ]
        if settings.metrics is not None:
            inspector = self._server(self._serve_inspection)
            self._auxiliary_servers.append((settings.metrics, inspector))
        self._peer_socket = PeerSocket(
            self._receive_heartbeat, self._merge_evidence
        )

    @property
    def ready(self) -> bool:
        """Whether the daemon accepts callers: configured and not leaving."""
        return (
            self._view.configuration is not None
            and self._leaving_since_ms is None
        )

    @property
    def view(self) -> FleetView:
        """Local copy of the shared fleet state."""
        return self._view

    @property
    def _end_ms(self) -> int:
        """Time from the signal until the latest exit."""
        return self._settings.grace_ms - _LEAVE_MARGIN_MS

    @property
    def _open_ms(self) -> int:
        """Time from the signal until it accepts no new requests."""
        return min(_LEAVE_OPEN_MS, self._end_ms // 2)

    @property
    def _configuration_version(self) -> int:
        """Version of the configuration; 0 if there is none."""
        configuration = self._view.configuration
        return configuration.version if configuration else 0

    def caller_addresses(self) -> list[str]:
        """Returns the addresses of ready daemons, this one first."""
        addresses: list[str] = []
        if self.ready:
            own = self._settings.callers
            addresses.append(f"{own.host}:{own.port}")
        for name, peer in sorted(self._peers.alive().items()):
            member = self._view.members.get(name)
            if member is None or not peer.heartbeat.ready:
                continue
            if member.incarnation == peer.heartbeat.incarnation:
                addresses.append(member.caller_address)
        return addresses

    async def run(self) -> None:
        """Runs the daemon until it has left the fleet.

        Raises:
            OSError: If an address is in use or not available.
        """
        settings = self._settings
        loop = asyncio.get_running_loop()
        async with contextlib.AsyncExitStack() as stack:
            for address, server in (
                *self._auxiliary_servers,
                (settings.callers, self._caller_server),
            ):
                stack.enter_context(server)
                await server.listen(address.host, address.port)
            await loop.create_datagram_endpoint(
                lambda: self._peer_socket,
                local_addr=(
                    settings.heartbeats.host,
                    settings.heartbeats.port,
                ),
            )
            stack.callback(self._peer_socket.close)
            log_event("listening", callers=str(settings.callers))
            await self._run_tasks()
        log_event("stopped", incarnation=settings.incarnation)

    def leave(self) -> None:
        """Starts a graceful shutdown.

        Requests in progress are completed; new ones are accepted for a few
        more seconds. The entry in the store stays until the daemon exits:
        peers send heartbeats to the listed daemons only, and its directory
        names those that it hears.
        """
        if self._leaving_since_ms is not None:
            return
        self._leaving_since_ms = self._clock.now_ms()
        self._caller_server.state.closing = True
        self._request_handler.refuse_from(
            self._leaving_since_ms + self._open_ms
        )
        log_event("leaving", active=self._caller_server.state.active)
        self._send_heartbeat()

    async def _run_tasks(self) -> None:
        jobs: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
            "follower": self._follower.run,
            "registration": self._registration.run,
            "heartbeats": self._send_heartbeats,
            "decider": lambda: run_periodically(
                _ROLLOUT_INTERVAL_MS, self._rollout_controller.advance_rollouts
            ),
            "quarantine_records": lambda: run_periodically(
                _QUARANTINE_SYNC_INTERVAL_MS,
                self._crashes.records.synchronize,
            ),
            "catching_up": lambda: run_periodically(0, self._catch_up),
            "link_trials": lambda: run_periodically(
                _LINK_TRIAL_INTERVAL_MS,
                lambda: self._links.try_lost(self._view.upstreams),
            ),
            "leaving": self._finish_leaving,
        }
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(supervise(name, job))
                for name, job in jobs.items()
            ]
            await self._left.wait()
            for task in tasks:
                task.cancel()
        await self._registration.withdraw()

    async def _finish_leaving(self) -> None:
        while self._leaving_since_ms is None:
            await asyncio.sleep(0.05)
        while True:
            elapsed_ms = self._clock.now_ms() - self._leaving_since_ms
            if elapsed_ms >= self._open_ms:
                self._caller_server.stop_listening()
                self._caller_server.close_idle()
                self._caller_server.refuse_incomplete()
                if (
                    self._caller_server.finished
                    and not self._relay_server.active
                ):
                    break
            if elapsed_ms >= self._end_ms - _FINAL_RESPONSE_MS:
                self._request_handler.stop()
            if elapsed_ms >= self._end_ms:
                break
            await asyncio.sleep(0.05)
        log_event("left", unanswered=self._caller_server.state.active)
        self._left.set()

    def _server(self, handler: Handler) -> HttpServer:
        return HttpServer(
            ServerState(
                handler=handler,
                limits=self._limits,
                now_ms=self._clock.now_ms,
                guard=self._guard,
                workspace=self._identity.workspace,
                refusal_headers=self._identity.refusal_headers,
            )
        )

    def _limits(self) -> RequestLimits:
        configuration = self._view.configuration
        return configuration.limits if configuration else RequestLimits()

    def _peer_limits(self) -> RequestLimits:
        """Limits of peers' requests, which add headers to the callers'."""
        limits = self._limits()
        return dataclasses.replace(
            limits,
            max_header_bytes=limits.max_header_bytes + _RELAY_HEADER_BYTES,
        )

    def _record_store_return(self) -> None:
        self._registration.notify_store_returned()
        self._crashes.records.notify_store_returned()

    def _waiting_by_service(self) -> dict[str, int]:
        # The waiter itself is created with the dispatcher.
        return self._waiter.waiting()

    def _on_view_change(self) -> None:
        self._view.expire(self._clock.now_ms(), self._peers.alive())
        self._registration.notify_view_changed()
        self._crashes.lost_evidence.record_view()
        self._dispatcher.evict_removed()
        self._links.retain(self._view.upstreams)
        self._restarts.retain(self._view.upstreams)
        self._relays.retain(self._view.upstreams)
        self._crashes.records.adopt()
        if self._should_watch():
            # Notifies the peers, which compare its revision with their own.
            self._send_heartbeat()

    def _log_change(self, change: Change) -> None:
        log_event(
            "view_changed",
            key=change.key,
            revision=change.revision,
            summary=change.summary,
        )

    async def _send_heartbeats(self) -> None:
        while True:
            now_ms = self._clock.now_ms()
            self._peers.expire(now_ms)
            self._view.expire(now_ms, self._peers.alive())
            self._send_heartbeat()
            interval_ms = heartbeat_interval_ms(len(self._view.members))
            await asyncio.sleep(interval_ms / _MS_PER_S)

    def _reachable_peers(self) -> list[str]:
        """Returns the other daemons that can reach the store."""
        reachable = [
            name
            for name, peer in self._peers.alive().items()
            if peer.heartbeat.store_reachable and peer.heartbeat.ready
        ]
        if self._follower.ms_since_listing() < _MEMBER_GRACE_MS:
            reachable.extend(self._view.members)
        return reachable

    def _should_watch(self) -> bool:
        return self._lag.needs_store or watches_store(
            self._settings.name, self._reachable_peers()
        )

    def _watch_wait_ms(self, in_step: bool) -> int:
        return watch_wait_ms(
            self._settings.name,
            self._reachable_peers(),
            interval_ms=max(
                _MIN_CHECK_INTERVAL_MS,
                self._settings.apply_ms // _CHECKS_PER_APPLY_TIME,
            ),
            in_step=in_step,
        )

    def _is_current(self) -> bool:
        """Whether no configuration that must be in force can be missing."""
        if self._peers.newest_configuration > self._configuration_version:
            return False
        # A store that was restored from an older copy may lack the newest
        # configuration; peers know it.
        age_ms = self._clock.now_ms() - self._started_ms
        if age_ms < _PEER_GRACE_MS and not self._peers.alive():
            others = self._view.members.keys() - {self._settings.name}
            if others or self._members.are_uncertain:
                return False
        return self._follower.is_current()

    def _send_urgent_heartbeat(self) -> None:
        """Sends a heartbeat as soon as the least gap between them allows."""
        if self._urgent_heartbeat is not None:
            return
        gap_ms = min_heartbeat_gap_ms(len(self._view.members))
        due_ms = self._heartbeat_sent_ms + gap_ms - self._clock.now_ms()
        self._urgent_heartbeat = asyncio.get_running_loop().call_later(
            max(0, due_ms) / _MS_PER_S, self._send_heartbeat
        )

    def _send_heartbeat(self) -> None:
        if self._urgent_heartbeat is not None:
            self._urgent_heartbeat.cancel()
            self._urgent_heartbeat = None
        self._heartbeat_sent_ms = self._clock.now_ms()
        self._sequence += 1
        heartbeat = Heartbeat(
            node=self._settings.name,
            incarnation=self._settings.incarnation,
            sequence=self._sequence,
            revision=self._view.revision,
            current=self._is_current(),
            store_reachable=self._follower.store_reachable,
            ready=self.ready,
            versions=self._rollout_controller.own_counts(),
            in_flight=self._dispatcher.own_in_flight(),
            era=self._view.era,
            configuration=self._configuration_version,
            stopped=self._rollout_controller.stopped_orders(),
            unreachable=self._unreachable_digests(),
            traits=self._crashes.quarantine.report(),
            paces=self._rollout_controller.own_paces(),
            confirmed_age_ms=self._follower.confirmed_age_ms,
            relay_room=self._relay_server.room,
            rejection_limits=self._dispatcher.rejection_limits.announced(),
            cold_ms=self._restarts.own_cold_ms(),
            links_doubted=self._links.are_doubted(self._view.upstreams),
            work=self._dispatcher.own_work(),
            kilotokens=self._dispatcher.own_kilotokens(),
            durations=self._dispatcher.work.speeds.take_unshared(),
            demand=self._dispatcher.report_demand(),
            rate_limits=self._dispatcher.rate_limits.reports(),
        )
        others = [
            member
            for member in self._view.members.values()
            if member.name != self._settings.name
        ]
        self._peer_socket.send(heartbeat, others)
        if self._crashes.quarantine.has_unreported_evidence():
            self._send_urgent_heartbeat()

    def _unreachable_digests(self) -> tuple[int, ...]:
        digests = {
            *self._dispatcher.own_unreachable(),
            *(upstream_digest(upstream_id) for upstream_id in self._links.lost),
        }
        return tuple(sorted(digests)[:_MAX_UNREACHABLE_REPORTS])

    def _receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._peers.record(heartbeat, self._clock.now_ms())
        self._lag.record(heartbeat.version, heartbeat.configuration)
        self._merge_evidence(heartbeat.traits)
        self._dispatcher.rejection_limits.adopt(heartbeat.rejection_limits)
        self._dispatcher.rate_limits.adopt(heartbeat.rate_limits)
        self._dispatcher.work.speeds.adopt(
            heartbeat.durations, self._clock.now_ms()
        )
        age_ms = heartbeat.confirmed_age_ms
        if age_ms is not None:
            self._follower.record_store_response(age_ms)
            if heartbeat.version <= self._view.version:
                self._follower.record_peer_confirmation(age_ms)
        if heartbeat.era == self._view.era:
            self._rollout_controller.adopt_stopped(heartbeat.stopped)
        if heartbeat.era > self._view.era:
            self._follower.notify_newer_era()
        if self._is_ahead(heartbeat):
            self._peer_ahead.set()
            self._follower.notify_peer_ahead()

    def _merge_evidence(self, report: EvidenceReport) -> None:
        self._crashes.quarantine.merge(report)
        self._crashes.cut_attempts.review_abandoned()

    def _is_ahead(self, heartbeat: Heartbeat) -> bool:
        """Returns whether a peer has a newer state or configuration.

        A store that was restored may lack the newest configuration.
        """
        return (
            heartbeat.version > self._view.version
            or heartbeat.configuration > self._configuration_version
        )

    async def _catch_up(self) -> None:
        """Fetches changes from a peer that has a newer revision."""
        await self._peer_ahead.wait()
        self._peer_ahead.clear()
        # A watching daemon usually receives them from its own watch first; the
        # others spread their fetches over the peers and over time.
        pause_ms: float = _PEER_AHEAD_DELAY_MS
        if not self._should_watch():
            pause_ms = _FETCH_JITTER_MS * self._rng.random()
        await asyncio.sleep(pause_ms / _MS_PER_S)
        ahead = [
            name
            for name, peer in self._peers.alive().items()
            if self._is_ahead(peer.heartbeat) and name in self._view.members
        ]
        if ahead:
            now_ms = self._clock.now_ms()
            responsive = [
                name
                for name in ahead
                if now_ms >= self._unresponsive_until_ms.get(name, now_ms)
            ]
            name = self._rng.choice(responsive or ahead)
            await self._fetch_from(self._view.members[name])

    async def _fetch_from(self, member: Member) -> None:
        address = ListenAddress(host=member.peer_host, port=member.peer_port)
        peer = self._peers.alive().get(member.name)
        after = self._view.version
        if peer is not None and peer.heartbeat.version <= after:
            # Only its configuration is newer.
            after = StoreVersion(after.era, 0)
        batch = await self._peer_items.fetch(address, after)
        if batch is None:
            self._unresponsive_until_ms[member.name] = (
                self._clock.now_ms() + _UNRESPONSIVE_PEER_MS
            )
            return
        self._unresponsive_until_ms.pop(member.name, None)
        self._follower.apply_from_peer(batch, member.name)

    async def _serve_inspection(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        if request.target == _METRICS_PATH:
            self._update_gauges()
            await responder.respond(200, [_TEXT], self._metrics.render())
        elif request.target == _STATE_PATH:
            state = describe_state(
                self._view,
                self._dispatcher,
                self._peers,
                self._waiter.waiting_by_priority(),
                self._clock.now_ms(),
            )
            await responder.respond(200, [_JSON], state)
        else:
            await responder.respond(404, [], b"")

    def _update_gauges(self) -> None:
        gauges = {
            "ready": int(self.ready),
            "store_answers": int(self._follower.store_reachable),
            "configuration_version": self._configuration_version,
            "view_revision": self._view.revision,
            "behind_ms": self._lag.behind_ms,
            "upstreams": len(self._view.upstreams),
            "upstream_links_lost": len(self._links.lost),
            "upstream_rate_limits": self._dispatcher.rate_limits.count,
            "relayed_for_peers": self._relay_server.active,
            "peers": len(self._peers.alive()),
            "members_uncertain": int(self._members.are_uncertain),
            "waiting_requests": sum(self._waiter.waiting().values()),
            "active_requests": self._caller_server.state.active,
            "caller_connections": len(self._caller_server.state.connections),
        }
        for name, value in gauges.items():
            self._metrics.set_gauge(name, value)
        for kind, size in self._guard.held_bytes().items():
            self._metrics.set_gauge(f"held_bytes_{kind.value}", size)

    async def _serve_peer(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        if is_relayed(request):
            await self._relay_server.handle(request, responder)
            return
        after = decode_items_target(request.target)
        if after is None:
            await responder.respond(404, [], b"")
            return
        batch = self._view.changes_after(after)
        await responder.respond(200, [], encode_batch(batch))

"""Selects an upstream for a request from this daemon's view of the fleet."""

from __future__ import annotations

import dataclasses
import functools
import random
from collections import Counter
from collections.abc import Callable, Collection, Mapping

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import (
    CachedUpstream,
    FleetView,
    RolloutPhase,
    Route,
    UpstreamEntry,
    UpstreamState,
)
from trefoilpitch.gateway._cold_share import (
    ColdRequestCounter,
    ColdShares,
)
from trefoilpitch.gateway._demands import FleetDemands
from trefoilpitch.gateway._health import LoadReport, UpstreamHealth
from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._messages import CallerRequest, UpstreamResponse
from trefoilpitch.gateway._obstacles import UpstreamObstacles
from trefoilpitch.gateway._paces import (
    MeasuredPace,
    PaceCounts,
    PaceTable,
)
from trefoilpitch.gateway._placement import (
    LOCAL_CHOICES,
    RELAYED_CHOICES,
    Candidate,
    choose,
    choose_from,
    draw,
    find_homes,
    home_terms,
    remote_choices,
    saturation,
)
from trefoilpitch.gateway._prefix_traffic import PrefixTraffic
from trefoilpitch.gateway._rate_limits import RateLimits
from trefoilpitch.gateway._rejections import RejectionLimits
from trefoilpitch.gateway._relays import Relays
from trefoilpitch.gateway._rollouts import (
    ResponseQuality,
    VersionEvidence,
    current_phase,
    fails_more,
    runs_on_target,
    split_evidence,
)
from trefoilpitch.gateway._upstream_digest import upstream_digest
from trefoilpitch.gateway._upstream_notices import UpstreamNotices
from trefoilpitch.gateway._version_comparison import VersionStrata, stratum
from trefoilpitch.gateway._work_tracking import RequestCost, WorkTracker
from trefoilpitch.rendezvous import rank

# Number of other daemons that must have failed to reach an upstream before this
# one avoids it too; a single one may itself be cut off.
_MIN_UNREACHABLE_REPORTS = 2
# Prefixes whose ranks of the upstreams are remembered.
_CACHED_RANKS = 256


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoUpstream:
    """Why no upstream can be selected for a request."""

    # For the log.
    reason: str
    # Time until one may be available, 0 if that may be at any moment; None if
    # it is known that waiting does not help.
    available_in_ms: int | None


class Dispatcher:
    """Selects upstreams and tracks their health and roll-out evidence.

    Args:
        view: Local copy of the shared fleet state.
        clock: Provides monotonic time.
        rng: Source of random numbers.
        own_name: Name of this VM.
        failure_domain: Failure domain of this VM.
        members: Returns the names of all daemons that may be running.
        peers_in_flight: Returns the other daemons' in-flight requests by
            upstream digest.
        peers_unreachable: Returns how many other daemons cannot reach an
            upstream, by its digest.
        relays: The peers that relay requests; None if there are none.
        has_restarted_cold: Returns whether an upstream is cold after a restart
            that its entry does not show.
        work: Estimates costs of requests and work left at upstreams; without
            it, requests are counted.
        peers_demand: Returns the demands for a service that other daemons
            have reported, by name.
        waiting: Returns the number of this daemon's waiting requests by
            service.
    """

    def __init__(
        self,
        view: FleetView,
        clock: Clock,
        rng: random.Random,
        *,
        own_name: str,
        failure_domain: str,
        members: Callable[[], Collection[str]],
        peers_in_flight: Callable[[], Mapping[int, int]],
        peers_unreachable: Callable[[], Mapping[int, int]] = dict,
        relays: Relays | None = None,
        has_restarted_cold: Callable[[UpstreamEntry], bool] = lambda entry: (
            False
        ),
        work: WorkTracker | None = None,
        peers_demand: Callable[[str], Mapping[str, int]] = lambda service: {},
        waiting: Callable[[], Mapping[str, int]] = dict,
    ) -> None:
        self._view = view
        self._clock = clock
        self._rng = rng
        self._own_name = own_name
        self._failure_domain = failure_domain
        self._members = members
        self._peers_in_flight = peers_in_flight
        self._peers_unreachable = peers_unreachable
        self._relays = relays
        self._has_restarted_cold = has_restarted_cold
        self._work = work or WorkTracker(clock)
        self._waiting = waiting
        self._demands = FleetDemands(
            clock,
            own_name=own_name,
            members=members,
            peers_demand=peers_demand,
            own_demand=self._own_demand,
        )
        self._cold_requests = ColdRequestCounter()
        self._cold_shares = ColdShares(own_name)
        self._health: dict[str, UpstreamHealth] = {}
        self._notices = UpstreamNotices()
        self._rejections = RejectionLimits(clock, own_name)
        self._rate_limits = RateLimits(
            clock, own_name, self._demands.of_service
        )
        self._obstacles = UpstreamObstacles(
            view,
            notices=self._notices,
            rejections=self._rejections,
            rate_limits=self._rate_limits,
            work=self._work,
            demands=self._demands,
            health=self.health,
            load=self.load,
            is_relayed=self._is_relayed,
            has_quota=self._has_quota,
        )
        self._prefix_traffic = PrefixTraffic()
        self._evidence: dict[str, dict[str, VersionEvidence]] = {}
        self._evidence_orders: dict[str, int] = {}
        self._strata = VersionStrata()
        self._paces = PaceTable()
        # Store revision of the order that was stopped, by service.
        self._stopped_orders: dict[str, int] = {}

    @property
    def work(self) -> WorkTracker:
        """Estimates costs of requests and the work left at upstreams."""
        return self._work

    @property
    def rejection_limits(self) -> RejectionLimits:
        """The limits of rejections that upstreams have announced."""
        return self._rejections

    @property
    def rate_limits(self) -> RateLimits:
        """The request rates that upstreams have announced."""
        return self._rate_limits

    def own_evidence(self, service: str) -> Mapping[str, VersionEvidence]:
        """Returns this daemon's evidence since the service's last order.

        Returns:
            Evidence by version; empty if there is no roll-out order.
        """
        rollout = self._view.rollouts.get(service)
        if rollout is None:
            return {}
        if self._evidence_orders.get(service) != rollout.revision:
            # Evidence collected under another order does not apply.
            return {}
        return self._evidence[service]

    def own_strata(
        self, service: str
    ) -> Mapping[str, Mapping[int, VersionEvidence]]:
        """Returns the same evidence by stratum."""
        rollout = self._view.rollouts.get(service)
        if rollout is None:
            return {}
        return self._strata.own(service, rollout.revision)

    def health(self, upstream_id: str) -> UpstreamHealth:
        """Returns the health record of an upstream; creates it if needed."""
        return self._health.setdefault(upstream_id, UpstreamHealth())

    def record_reachable(self, upstream_id: str) -> None:
        """Records that an upstream can be reached again."""
        self.health(upstream_id).record_reachable()

    def load(self, upstream_id: str) -> int:
        """Estimates the load that all daemons together put on an upstream."""
        digest = upstream_digest(upstream_id)
        others = max(0, self._peers_in_flight().get(digest, 0))
        return self.health(upstream_id).load(self._clock.now_ms(), others)

    def own_in_flight(self) -> dict[int, int]:
        """Returns this daemon's in-flight requests by upstream digest."""
        return {
            upstream_digest(upstream_id): self._health[upstream_id].in_flight
            for upstream_id in self._busy()
        }

    def own_work(self) -> tuple[int, ...]:
        """Returns the work left of `own_in_flight`, in its order.

        Returns:
            Tenths of a second at the usual speed.
        """
        return self._work.own_work(self._busy())

    def own_kilotokens(self) -> tuple[int, ...]:
        """Returns the memory used by `own_in_flight`, in its order.

        Returns:
            Thousands of tokens.
        """
        return self._work.own_kilotokens(self._busy())

    def _busy(self) -> list[str]:
        """Returns the upstreams that have requests of this daemon."""
        return [
            name for name, health in self._health.items() if health.in_flight
        ]

    @property
    def reported_demand(self) -> Mapping[str, int]:
        """This daemon's demand by service, as last reported."""
        return self._demands.reported

    def report_demand(self) -> dict[str, int]:
        """Returns this daemon's demand by service, for a heartbeat."""
        return self._demands.report()

    def _own_demand(self) -> Counter[str]:
        """Returns this daemon's requests in flight and waiting by service."""
        demand = Counter(self._waiting())
        for upstream_id, health in self._health.items():
            cached = self._view.upstreams.get(upstream_id)
            if cached is not None:
                demand[cached.entry.service] += health.in_flight
        return demand

    def own_unreachable(self) -> tuple[int, ...]:
        """Returns the digests of the upstreams that it cannot reach now."""
        now_ms = self._clock.now_ms()
        return tuple(
            upstream_digest(upstream_id)
            for upstream_id, health in self._health.items()
            if health.unreachable and now_ms < health.ejected_until_ms
        )

    def evict_removed(self) -> None:
        """Evicts the records of removed upstreams with nothing in flight."""
        for upstream_id, health in list(self._health.items()):
            if upstream_id not in self._view.upstreams and not health.in_flight:
                del self._health[upstream_id]
        self._cold_requests.retain(self._view.upstreams)
        self._cold_shares.retain(self._view.upstreams)
        self._rejections.retain(self._view.upstreams)
        self._rate_limits.retain(
            cached.entry for cached in self._view.upstreams.values()
        )
        self._work.retain(self._view.upstreams)
        self._paces.retain(
            {
                (cached.entry.service, cached.entry.version)
                for cached in self._view.upstreams.values()
            }
        )

    def in_flight_off_target(self, service: str, target: str) -> int:
        """Counts this daemon's in-flight requests on non-target versions."""
        return sum(
            self.health(upstream_id).in_flight
            for upstream_id, cached in self._view.upstreams.items()
            if cached.entry.service == service
            and cached.entry.version != target
        )

    def mean_saturation(self, service: str) -> float:
        """Returns the mean saturation of a service's upstreams.

        Returns:
            1.0 where the load is expected to double the latency.
        """
        levels = [
            saturation(self.load(upstream_id), cached.entry.slots)
            for upstream_id, cached in self._view.upstreams.items()
            if cached.entry.service == service
        ]
        return sum(levels) / max(1, len(levels))

    def stop_rollout(self, service: str, order_revision: int) -> bool:
        """Stops sending requests to the target of a roll-out order.

        Holds for as long as the order, whatever happens to the evidence and
        whether or not the store can be reached.

        Returns:
            Whether it was not stopped before.
        """
        is_new = self._stopped_orders.get(service) != order_revision
        self._stopped_orders[service] = order_revision
        return is_new

    def is_stopped(self, service: str, order_revision: int) -> bool:
        """Returns whether `stop_rollout` was called for an order."""
        return self._stopped_orders.get(service) == order_revision

    def record_evidence(
        self, entry: UpstreamEntry, quality: ResponseQuality, route: str = ""
    ) -> None:
        """Records a response of a service that has a roll-out order.

        A slow one of a cold upstream says nothing about its version.
        """
        rollout = self._view.rollouts.get(entry.service)
        if rollout is None:
            return
        if quality is ResponseQuality.SLOW and self.is_cold(entry.upstream_id):
            return
        load = self.load(entry.upstream_id) / max(1, entry.slots)
        self._strata.record(
            entry.service,
            rollout.revision,
            entry.version,
            stratum(route, load),
            quality.evidence,
        )
        if self._evidence_orders.get(entry.service) != rollout.revision:
            self._evidence_orders[entry.service] = rollout.revision
            self._evidence[entry.service] = {}
        versions = self._evidence[entry.service]
        previous = versions.get(entry.version, VersionEvidence())
        versions[entry.version] = previous.merge(quality.evidence)

    def record_pace(
        self, entry: UpstreamEntry, started_ms: int, measured: MeasuredPace
    ) -> None:
        """Records the pace of a stream; a cold upstream's is no evidence.

        Args:
            entry: The upstream.
            started_ms: Monotonic time when the request was sent.
            measured: The pace.
        """
        cached = self._view.upstreams.get(entry.upstream_id)
        if cached is None or self._is_cold(cached, started_ms):
            return
        self._begin_order(entry.service)
        self._paces.record(
            entry.service,
            entry.version,
            measured,
            on_target=self._is_target(entry),
        )

    def own_paces(
        self, service: str, target: str
    ) -> tuple[PaceCounts, PaceCounts]:
        """Returns this daemon's paces of a target and of other versions."""
        self._begin_order(service)
        return self._paces.split(service, target)

    def _is_target(self, entry: UpstreamEntry) -> bool:
        """Returns whether a roll-out in progress has this target."""
        rollout = self._view.rollouts.get(entry.service)
        if rollout is None or rollout.order.target != entry.version:
            return False
        record = self._view.records.get(entry.service)
        phase, _ = current_phase(rollout, record)
        return phase is None or not phase.final

    def _begin_order(self, service: str) -> None:
        rollout = self._view.rollouts.get(service)
        if rollout is not None:
            self._paces.begin_order(
                service, rollout.order.target, rollout.revision
            )

    def record_announcements(
        self, entry: UpstreamEntry, response: UpstreamResponse
    ) -> None:
        """Records what a response says of its upstream."""
        self.record_notices(
            entry, leaving=response.leaving, pause_ms=response.pause_ms
        )
        rejection_limit = response.rejection_limit
        if rejection_limit is not None or response.is_from_upstream:
            self._rejections.announce(
                entry.service, entry.upstream_id, rejection_limit
            )
        rate_limit_per_s = response.rate_limit_per_s
        if rate_limit_per_s is not None or response.is_from_upstream:
            self._rate_limits.announce(entry, rate_limit_per_s)

    def record_notices(
        self, entry: UpstreamEntry, *, leaving: bool, pause_ms: int
    ) -> None:
        """Records for how long an upstream wants no requests.

        Args:
            entry: The upstream.
            leaving: Whether it is leaving.
            pause_ms: How long it wants no requests; 0 for no pause.
        """
        if leaving and self._notices.record_leaving(entry):
            log_event("upstream_leaving", upstream=entry.upstream_id)
        if pause_ms > 0:
            until_ms = self._clock.now_ms() + pause_ms
            self._notices.record_pause(entry, until_ms)
            log_event(
                "upstream_paused",
                upstream=entry.upstream_id,
                pause_ms=pause_ms,
            )

    def record_load(self, entry: UpstreamEntry, report: LoadReport) -> None:
        """Records the load that an upstream reports in a response."""
        self.health(entry.upstream_id).record_report(
            report, self._clock.now_ms()
        )
        if report.duration_percent is not None:
            self._work.record_duration(
                entry.upstream_id, report.duration_percent
            )
        self._rejections.record_report(
            entry.upstream_id,
            running=report.running,
            waiting=report.waiting,
            slots=report.slots,
        )

    def record_rejection(self, entry: UpstreamEntry) -> None:
        """Records that an upstream had no room for a request."""
        self._rejections.record_rejection(
            entry.service, entry.upstream_id, len(self._members())
        )

    def is_leaving(self, entry: UpstreamEntry) -> bool:
        """Returns whether an upstream is known to end soon."""
        cached = self._view.upstreams.get(entry.upstream_id)
        draining = (
            cached is not None and cached.entry.state is UpstreamState.DRAINING
        )
        return draining or self._notices.is_leaving(entry)

    def may_send(self, entry: UpstreamEntry) -> bool:
        """Returns whether a chosen upstream may still get its request.

        Connecting takes time, in which the upstream or an operator may have
        taken it out of service.
        """
        cached = self._view.upstreams.get(entry.upstream_id)
        return (
            cached is not None
            and self._is_eligible(cached, None)
            and self._notices.paused_until_ms(entry) <= self._clock.now_ms()
        )

    def pick_service(self, route: Route) -> str:
        """Picks one of a route's services at random, by weight."""
        weights = [share.weight for share in route.services]
        names = [share.service for share in route.services]
        if len(names) == 1 or not any(weights):
            return names[0]
        return self._rng.choices(names, weights)[0]

    def choose(
        self,
        request: CallerRequest,
        service: str,
        *,
        model: str | None,
        excluded: Collection[str],
        unusable: Collection[str] = (),
        route: str = "",
    ) -> UpstreamEntry | NoUpstream:
        """Chooses an upstream and, if it is cold, uses one unit of its quota.

        Args:
            request: The request to route.
            service: The service whose upstreams are considered.
            model: The model that the upstream must serve; None for any.
            excluded: Upstreams that were already attempted; chosen again only
                if there is no other.
            unusable: Upstreams that are not chosen.
            route: Name of the request's route.
        """
        ready = [
            cached
            for cached in self._view.upstreams.values()
            if cached.entry.service == service
            and cached.entry.upstream_id not in unusable
            and self._is_eligible(cached, model)
        ]
        if not ready:
            return NoUpstream(
                reason="no upstream in service", available_in_ms=None
            )
        allowed = self._allowed_by_rollout(request, service, ready)
        if not allowed:
            return NoUpstream(
                reason="no upstream runs the version that the roll-out selects",
                available_in_ms=None,
            )
        groups = [allowed]
        if excluded:
            groups.insert(
                0, [k for k in allowed if k.entry.upstream_id not in excluded]
            )
        if request.session is None:
            # Without a session a request may run on the previous version if
            # the target's upstreams are not available.
            groups.append(self._on_previous_version(service, ready))
        cost = self._work.cost(request, service, route, model)
        for group in groups:
            entry = self._choose_from(request, group, model, cost)
            if entry is not None:
                return entry
        now_ms = self._clock.now_ms()
        available_ms = min(
            self._obstacles.available_ms(k.entry, now_ms) for k in allowed
        )
        return NoUpstream(
            reason=self._describe_obstacles(allowed, now_ms, cost),
            available_in_ms=max(0, available_ms - now_ms),
        )

    def _describe_obstacles(
        self, cached: list[CachedUpstream], now_ms: int, cost: RequestCost
    ) -> str:
        """Counts the obstacles of upstreams and how many peers share them."""
        obstacles = Counter(self._obstacles.of(k, now_ms, cost) for k in cached)
        counts = [
            f"{count} {obstacle.value}"
            for obstacle, count in obstacles.items()
            if obstacle is not None
        ]
        others = max(0, len(self._members()) - 1)
        unreachable = self._peers_unreachable()
        reached = sum(
            unreachable.get(upstream_digest(k.entry.upstream_id), 0) < others
            for k in cached
        )
        return (
            f"no upstream is available: {', '.join(counts) or '0'};"
            f" {reached} of {len(cached)} not reported unreachable by all peers"
        )

    def _is_eligible(self, cached: CachedUpstream, model: str | None) -> bool:
        entry = cached.entry
        return (
            entry.state is UpstreamState.READY
            and not self._notices.is_leaving(entry)
            and entry.failure_domain not in self._view.evacuated
            and (model is None or not entry.models or model in entry.models)
        )

    def _allowed_by_rollout(
        self,
        request: CallerRequest,
        service: str,
        ready: list[CachedUpstream],
    ) -> list[CachedUpstream]:
        """Keeps the upstreams whose version a roll-out allows for a request."""
        rollout = self._view.rollouts.get(service)
        record = self._view.records.get(service)
        phase: RolloutPhase | None
        if rollout is None:
            if record is None:
                return ready
            phase, target, percent = (
                record.record.phase,
                record.record.target,
                0,
            )
        else:
            phase, percent = current_phase(rollout, record)
            target = rollout.order.target
            ended = phase is not None and phase.final
            if not ended and (
                self.is_stopped(service, rollout.revision)
                or self._own_evidence_is_bad(service, target)
            ):
                phase = RolloutPhase.ROLLED_BACK
        on_target = [k for k in ready if k.entry.version == target]
        others = [k for k in ready if k.entry.version != target]
        if phase is RolloutPhase.ROLLED_BACK:
            return others
        if runs_on_target(phase, percent, request.session, request.request_id):
            return on_target or others
        if others or phase is None or phase is RolloutPhase.CANARY:
            return others
        return on_target

    def _on_previous_version(
        self, service: str, ready: list[CachedUpstream]
    ) -> list[CachedUpstream]:
        """Returns the upstreams that a running roll-out moves away from."""
        rollout = self._view.rollouts.get(service)
        if rollout is None:
            return []
        phase, _ = current_phase(rollout, self._view.records.get(service))
        if phase is not None and phase.final:
            return []
        target = rollout.order.target
        return [k for k in ready if k.entry.version != target]

    def _own_evidence_is_bad(self, service: str, target: str) -> bool:
        return fails_more(*split_evidence(self.own_evidence(service), target))

    def _choose_from(
        self,
        request: CallerRequest,
        group: list[CachedUpstream],
        model: str | None,
        cost: RequestCost,
    ) -> UpstreamEntry | None:
        now_ms = self._clock.now_ms()
        prefix_key = _prefix_key(request, model)
        inspection = _Inspection(self._inspect, cost, now_ms)
        local, remote, relayed, unproven = self._split(group)
        sample = self._draw(local, LOCAL_CHOICES, inspection)
        others = remote_choices(sample, costs_known=cost.known)
        sample += self._draw(remote, others, inspection)
        sample += self._draw(relayed, RELAYED_CHOICES, inspection)
        chosen: Candidate | None
        if sample:
            homes: list[Candidate] = []
            if prefix_key is not None:
                homes = self._find_homes(prefix_key, group, inspection)
            chosen = choose_from(
                sample,
                homes,
                self._rng,
                relative_cost=cost.relative,
                home_saving=cost.home_saving,
                reads_long=cost.reads_long,
            )
        else:
            # Nothing is left but upstreams that are hardly reachable.
            suspected = inspection.suspected()
            if not suspected:
                for cached in unproven:
                    inspection.trusted(cached)
                suspected = inspection.all()
            chosen = choose(suspected, self._rng, relative_cost=cost.relative)
        if chosen is None:
            return None
        if prefix_key is not None:
            self._prefix_traffic.record(prefix_key, now_ms)
        cached = self._view.upstreams[chosen.upstream_id]
        if self._is_cold(cached, now_ms):
            self._cold_requests.record(chosen.upstream_id, now_ms)
        self._rate_limits.record_sent(cached.entry)
        return cached.entry

    def _draw(
        self,
        group: list[CachedUpstream],
        count: int,
        inspection: _Inspection,
    ) -> list[Candidate]:
        return draw(group, count, inspection.trusted, self._rng)

    def _split(
        self, group: list[CachedUpstream]
    ) -> tuple[
        list[CachedUpstream],
        list[CachedUpstream],
        list[CachedUpstream],
        list[CachedUpstream],
    ]:
        """Returns the local, remote, relayed and unproven upstreams."""
        local: list[CachedUpstream] = []
        remote: list[CachedUpstream] = []
        relayed: list[CachedUpstream] = []
        unproven: list[CachedUpstream] = []
        for cached in group:
            entry = cached.entry
            if self._is_relayed(entry):
                proven = self._is_relay_proven(entry)
                (relayed if proven else unproven).append(cached)
            elif entry.failure_domain == self._failure_domain:
                local.append(cached)
            else:
                remote.append(cached)
        return local, remote, relayed, unproven

    def _inspect(
        self, cached: CachedUpstream, cost: RequestCost, now_ms: int
    ) -> Candidate | None:
        """Returns an upstream as a candidate; None if it has an obstacle."""
        if self._obstacles.of(cached, now_ms, cost) is not None:
            return None
        entry = cached.entry
        health = self.health(entry.upstream_id)
        load = self.load(entry.upstream_id)
        work = self._work.describe(entry, load)
        digest = upstream_digest(entry.upstream_id)
        return Candidate(
            upstream_id=entry.upstream_id,
            load=load,
            slots=entry.slots,
            failure_rate=health.failure_rate(now_ms),
            latency_ratio=health.recent_latency_ratio(now_ms),
            local=entry.failure_domain == self._failure_domain,
            suspected=self._peers_unreachable().get(digest, 0)
            >= _MIN_UNREACHABLE_REPORTS,
            relayed=self._is_relayed(entry),
            work_load=work.load,
            duration=work.duration,
            slowdown=work.slowdown,
            pause=work.pause,
        )

    def _find_homes(
        self,
        prefix_key: str,
        group: list[CachedUpstream],
        inspection: _Inspection,
    ) -> list[Candidate]:
        """Returns the upstreams that should have a prefix cached."""
        by_id = {cached.entry.upstream_id: cached for cached in group}
        loads = {upstream_id: self.load(upstream_id) for upstream_id in by_id}
        work = self._work.total_load(group[0].entry.service, loads)
        terms = home_terms(
            load=sum(loads.values()) if work is None else work,
            slots=sum(cached.entry.slots for cached in group),
            upstreams=len(group),
            prefix_share=self._prefix_traffic.share(
                prefix_key, inspection.now_ms
            ),
        )
        ranked = (
            inspection.trusted(by_id[upstream_id])
            for upstream_id in _ranked(prefix_key, tuple(by_id))
        )
        return find_homes((c for c in ranked if c is not None), terms)

    def _is_relayed(self, entry: UpstreamEntry) -> bool:
        return self._relays is not None and self._relays.is_needed(entry)

    def _is_relay_proven(self, entry: UpstreamEntry) -> bool:
        return self._relays is not None and self._relays.is_proven(entry)

    def is_cold(self, upstream_id: str) -> bool:
        """Returns whether an upstream is cold by its entry or a restart."""
        cached = self._view.upstreams.get(upstream_id)
        return cached is not None and self._is_cold(
            cached, self._clock.now_ms()
        )

    def _is_cold(self, cached: CachedUpstream, now_ms: int) -> bool:
        return now_ms < cached.cold_until_ms or self._has_restarted_cold(
            cached.entry
        )

    def _has_quota(self, cached: CachedUpstream, now_ms: int) -> bool:
        """Returns whether an upstream is warm or may get another request."""
        if not self._is_cold(cached, now_ms):
            return True
        entry = cached.entry
        configuration = self._view.configuration
        if configuration is None:
            return False
        service = configuration.services.get(entry.service)
        if service is None or service.cold_rate_per_s <= 0:
            return True
        settled = self._cold_shares.settled(
            entry.upstream_id,
            service.cold_rate_per_s,
            self._members(),
            self._demands.of_service(entry.service),
            now_ms,
        )
        return self._cold_requests.used(entry.upstream_id, now_ms) < settled


def _prefix_key(request: CallerRequest, model: str | None) -> str | None:
    """Identifies the prompt's shared prefix; None if it has none."""
    shared = request.prefix[:-1]
    if not shared:
        return None
    return f"{model or request.model}/{shared[-1].part_id}"


@functools.lru_cache(maxsize=_CACHED_RANKS)
def _ranked(key: str, upstream_ids: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(rank(key, upstream_ids))


class _Inspection:
    """The upstreams that were inspected for one choice, each once.

    Args:
        inspect: Returns an upstream as a candidate; None if it has an obstacle.
        cost: Expected cost of the request.
        now_ms: The monotonic time.
    """

    def __init__(
        self,
        inspect: Callable[[CachedUpstream, RequestCost, int], Candidate | None],
        cost: RequestCost,
        now_ms: int,
    ) -> None:
        self._inspect = inspect
        self._cost = cost
        self._found: dict[str, Candidate | None] = {}
        self.now_ms = now_ms

    def trusted(self, cached: CachedUpstream) -> Candidate | None:
        """Returns a candidate; None if other daemons cannot reach it.

        Upstreams that have just crashed look idle and would attract all
        requests.
        """
        upstream_id = cached.entry.upstream_id
        if upstream_id not in self._found:
            self._found[upstream_id] = self._inspect(
                cached, self._cost, self.now_ms
            )
        candidate = self._found[upstream_id]
        if candidate is not None and candidate.suspected:
            return None
        return candidate

    def all(self) -> list[Candidate]:
        """Returns the candidates that were inspected."""
        return [c for c in self._found.values() if c is not None]

    def suspected(self) -> list[Candidate]:
        """Returns those of them that other daemons cannot reach."""
        return [candidate for candidate in self.all() if candidate.suspected]

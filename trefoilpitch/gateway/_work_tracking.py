"""Work that is left at upstreams, and their speeds, as known to this daemon.

Load pattern: requests differ tenfold in their work, and upstreams fourfold in
their speed, so that a count of requests says little about the time until an
upstream can run another one.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Collection, Mapping

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._messages import CallerRequest
from trefoilpitch.gateway._peer_work import PeerWork
from trefoilpitch.gateway._upstream_digest import upstream_digest
from trefoilpitch.gateway._upstream_speeds import UpstreamSpeeds
from trefoilpitch.metrics import Label, Metrics
from trefoilpitch.workload import (
    DecayingMaximum,
    MeasuredWork,
    RemainingWork,
    RequestSize,
    WorkEstimate,
    WorkEstimator,
    WorkKind,
    WorkTicket,
)

# Work that is left on average of a request in flight, as a fraction of it.
_MEAN_LEFT = 0.5
# Limit of what a cached prefix saves, as a fraction of the cost.
_MAX_SAVING = 0.75
# Prompts are read in chunks between the tokens of other requests, at some 70
# tokens a millisecond: this many delay a stream noticeably.
_LONG_PROMPT_TOKENS = 4_096
_MS_PER_TENTH = 100
# Larger amounts are hardly correct, and would enlarge the heartbeat.
_MAX_TENTHS = 60_000
_KILO = 1_000
# Upper bounds of the classes of measured to expected time in the metrics.
_RATIO_BOUNDS = (0.25, 0.5, 0.8, 1.25, 2.0, 4.0)
_NO_PEER_WORK = PeerWork()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestCost:
    """Expected cost of a request that is to be placed."""

    kind: WorkKind
    size: RequestSize
    # Cost relative to the mean of its service; 1 if that is unknown.
    relative: float = 1.0
    # What of it is saved where the shared part of its prompt is cached.
    home_saving: float = 0.0
    # Whether the cost is known.
    known: bool = False

    @property
    def reads_long(self) -> bool:
        """Whether its prompt delays the events of streams beside it."""
        return self.size.prompt_tokens >= _LONG_PROMPT_TOKENS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamWork:
    """What is known of the work at an upstream."""

    # Work left, in requests of the mean remaining work; None if the costs of
    # requests are unknown.
    load: float | None = None
    # How long work takes there, relative to the usual time; None if it has
    # never reported that.
    duration: float | None = None
    # By how much longer requests take if all of its slots are in use; None
    # together with `load`.
    slowdown: float | None = None
    # Longest recent pause of a stream of this daemon there, relative to the
    # permitted one.
    pause: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class TrackedAttempt:
    """An attempt whose work counts as left at its upstream."""

    ticket: WorkTicket
    cost: RequestCost
    entry: UpstreamEntry
    started_ms: int
    # Requests at the upstream when it was sent.
    load: int
    # Monotonic time of the first part of the response; None until then.
    first_ms: int | None = None


class WorkTracker:
    """Estimates costs, remaining work and speeds for the choice of upstreams.

    Args:
        clock: Provides monotonic time.
        peers_work: Returns the other daemons' work by upstream digest.
        metrics: Counts the errors of the estimates; None for no metrics.
    """

    def __init__(
        self,
        clock: Clock,
        peers_work: Callable[[], Mapping[int, PeerWork]] = dict,
        metrics: Metrics | None = None,
    ) -> None:
        self._clock = clock
        self._peers_work = peers_work
        self._metrics = metrics
        self._estimator = WorkEstimator()
        self._remaining = RemainingWork()
        self._speeds = UpstreamSpeeds()
        # Services that have served requests for a model; others are balanced by
        # counts, as their work is short beside the age of heartbeats.
        self._model_services: set[str] = set()
        # Pauses of streams relative to the permitted ones, by upstream.
        self._pauses: dict[str, DecayingMaximum] = {}

    def identify(
        self,
        request: CallerRequest,
        service: str,
        route: str,
        model: str | None,
    ) -> RequestCost:
        """Returns what the cost of a request depends on, without the cost."""
        kind = WorkKind(
            service=service, route=route, model=model or request.model
        )
        size = RequestSize(
            prompt_tokens=max(0, request.prompt_tokens),
            output_tokens=max(
                0, request.expected_output_tokens or request.max_output_tokens
            ),
            body_bytes=len(request.http.body),
        )
        return RequestCost(kind=kind, size=size)

    def cost(
        self,
        request: CallerRequest,
        service: str,
        route: str,
        model: str | None,
    ) -> RequestCost:
        """Returns the expected cost of a request, for its placement."""
        unknown = self.identify(request, service, route, model)
        mean_ms = self._mean_ms(service)
        if mean_ms is None:
            return unknown
        kind, size = unknown.kind, unknown.size
        total_ms = self._estimator.estimate(kind, size).total_ms
        saving_ms = 0.0
        if len(request.prefix) > 1:
            shared = sum(max(0, part.tokens) for part in request.prefix[:-1])
            cached = dataclasses.replace(size, cached_tokens=shared)
            saving_ms = (
                total_ms - self._estimator.estimate(kind, cached).total_ms
            )
        # What is not read again also leaves the upstream to others.
        saving_ms = min(_MAX_SAVING * total_ms, max(0.0, 2.0 * saving_ms))
        return RequestCost(
            kind=kind,
            size=size,
            relative=total_ms / mean_ms,
            home_saving=saving_ms / mean_ms,
            known=True,
        )

    def describe(self, entry: UpstreamEntry, load: int) -> UpstreamWork:
        """Returns what is known of the work at an upstream.

        Args:
            entry: The upstream.
            load: Estimated number of requests there.
        """
        now_ms = self._clock.now_ms()
        upstream_id = entry.upstream_id
        self._speeds.note_service(upstream_id, entry.service)
        mean_ms = self._mean_ms(entry.service)
        slowdown = self._estimator.slowdown(entry.service)
        if mean_ms is None or slowdown is None:
            # Plain requests end within some 60 ms; the speed changes faster
            # than reports of it reach the daemons.
            return UpstreamWork()
        return UpstreamWork(
            load=self._load(upstream_id, load, mean_ms, now_ms),
            duration=self._speeds.duration(upstream_id, now_ms),
            slowdown=slowdown,
            pause=self._pause(upstream_id, now_ms),
        )

    def total_load(
        self, service: str, loads: Mapping[str, int]
    ) -> float | None:
        """Returns the work left at several upstreams of a service.

        Args:
            service: The service.
            loads: Estimated number of requests by upstream.

        Returns:
            In requests of the mean remaining work; None if the costs of
            requests are unknown.
        """
        mean_ms = self._mean_ms(service)
        if mean_ms is None:
            return None
        now_ms = self._clock.now_ms()
        return sum(
            self._load(upstream_id, load, mean_ms, now_ms)
            for upstream_id, load in loads.items()
        )

    def _load(
        self, upstream_id: str, load: int, mean_ms: float, now_ms: int
    ) -> float:
        """Returns the work left, in requests of the mean remaining work."""
        peers = self._peers_work().get(
            upstream_digest(upstream_id), _NO_PEER_WORK
        )
        left_ms = _MEAN_LEFT * mean_ms
        unknown = load - self._remaining.count(upstream_id) - peers.counted
        work_ms = (
            self._remaining.work_ms(upstream_id, now_ms)
            + peers.tenths * _MS_PER_TENTH
            + max(0, unknown) * left_ms
        )
        return work_ms / left_ms

    def record_pause(self, upstream_id: str, share: float) -> None:
        """Records a pause of a stream, relative to the permitted one."""
        pauses = self._pauses.setdefault(upstream_id, DecayingMaximum())
        pauses.record(share, self._clock.now_ms())

    def _pause(self, upstream_id: str, now_ms: int) -> float:
        pauses = self._pauses.get(upstream_id)
        return 0.0 if pauses is None else pauses.value(now_ms)

    def has_memory(
        self, entry: UpstreamEntry, cost: RequestCost, memory_tokens: int | None
    ) -> bool:
        """Returns whether a prompt and its response fit into the memory.

        An upstream without any known tokens in its memory has room for all.

        Args:
            entry: The upstream.
            cost: Expected cost of the request.
            memory_tokens: Tokens that fit; None if no limit is known.
        """
        if memory_tokens is None or not cost.size.prompt_tokens:
            return True
        upstream_id = entry.upstream_id
        peers = self._peers_work().get(
            upstream_digest(upstream_id), _NO_PEER_WORK
        )
        used = self._remaining.memory_tokens(upstream_id)
        used += _KILO * peers.kilotokens
        return not used or used + cost.size.memory_tokens <= memory_tokens

    def record_duration(self, upstream_id: str, duration_percent: int) -> None:
        """Records how long an upstream says that work takes on it."""
        self._speeds.record_report(
            upstream_id, duration_percent, self._clock.now_ms()
        )

    @property
    def speeds(self) -> UpstreamSpeeds:
        """Speeds that upstreams report."""
        return self._speeds

    def begin(
        self, entry: UpstreamEntry, cost: RequestCost, load: int
    ) -> TrackedAttempt:
        """Adds the work of an attempt to its upstream.

        Args:
            entry: The upstream.
            cost: Expected cost of the request.
            load: Estimated number of requests at the upstream.
        """
        now_ms = self._clock.now_ms()
        ticket = self._remaining.begin(
            entry.upstream_id,
            cost.size,
            self._estimate(cost),
            duration=self._duration(entry.upstream_id),
            now_ms=now_ms,
        )
        return TrackedAttempt(
            ticket=ticket, cost=cost, entry=entry, started_ms=now_ms, load=load
        )

    def responded(self, attempt: TrackedAttempt, load: int) -> None:
        """Records that the first part of a response has arrived.

        Args:
            attempt: The attempt.
            load: Estimated number of requests at the upstream.
        """
        if attempt.first_ms is None:
            attempt.first_ms = self._clock.now_ms()
            # The head of the response carries a load report.
            attempt.load = max(1, load)

    def end(self, attempt: TrackedAttempt) -> None:
        """Removes the work of an attempt, however it has ended."""
        self._remaining.end(attempt.ticket)

    def complete(self, attempt: TrackedAttempt, output_tokens: int) -> None:
        """Learns from an attempt whose response is complete.

        Args:
            attempt: The attempt.
            output_tokens: Length of the response; 0 if unknown.
        """
        self.end(attempt)
        now_ms = self._clock.now_ms()
        entry, cost = attempt.entry, attempt.cost
        total_ms = float(max(1, now_ms - attempt.started_ms))
        first_ms = total_ms
        if attempt.first_ms is not None:
            first_ms = float(max(1, attempt.first_ms - attempt.started_ms))
        measured = MeasuredWork(
            first_ms=first_ms,
            total_ms=total_ms,
            duration=self._duration(entry.upstream_id),
            utilization=attempt.load / max(1, entry.slots),
        )
        expected = self._estimator.expected_ms(cost.kind, cost.size, measured)
        ratio = total_ms / max(1.0, expected)
        if self._metrics is not None:
            self._metrics.count("work_estimates", _ratio_label(ratio))
        self._speeds.record_measured(
            entry.upstream_id, ratio * measured.duration
        )
        size = cost.size
        if output_tokens > 0:
            size = dataclasses.replace(size, output_tokens=output_tokens)
        if cost.kind.model is not None:
            self._model_services.add(entry.service)
        self._estimator.record(cost.kind, size, measured, now_ms)

    def work_ms(self, entry: UpstreamEntry) -> int:
        """Returns the known work left at an upstream, of all daemons."""
        peers = self._peers_work().get(
            upstream_digest(entry.upstream_id), _NO_PEER_WORK
        )
        own_ms = self._remaining.work_ms(
            entry.upstream_id, self._clock.now_ms()
        )
        return round(own_ms) + peers.tenths * _MS_PER_TENTH

    def own_work(self, upstream_ids: Collection[str]) -> tuple[int, ...]:
        """Returns the work left at upstreams, in tenths of a second."""
        now_ms = self._clock.now_ms()
        return tuple(
            min(
                _MAX_TENTHS,
                round(self._remaining.work_ms(name, now_ms) / _MS_PER_TENTH),
            )
            for name in upstream_ids
        )

    def own_kilotokens(self, upstream_ids: Collection[str]) -> tuple[int, ...]:
        """Returns the tokens in upstreams' memory, in thousands."""
        return tuple(
            min(_MAX_TENTHS, round(self._remaining.memory_tokens(n) / _KILO))
            for n in upstream_ids
        )

    def retain(self, upstream_ids: Collection[str]) -> None:
        """Drops the speeds and pauses of all other upstreams."""
        self._speeds.retain(upstream_ids)
        for upstream_id in self._pauses.keys() - set(upstream_ids):
            del self._pauses[upstream_id]

    def _mean_ms(self, service: str) -> float | None:
        """Returns the mean cost of a service's requests.

        Returns:
            None if it is unknown, if the service has no models, or if its
            upstreams do not report their speed: without it, times say little
            about the work.
        """
        if service not in self._model_services:
            return None
        if not self._speeds.are_reported(service, self._clock.now_ms()):
            return None
        return self._estimator.mean_ms(service)

    def _duration(self, upstream_id: str) -> float:
        duration = self._speeds.duration(upstream_id, self._clock.now_ms())
        return 1.0 if duration is None else duration

    def _estimate(self, cost: RequestCost) -> WorkEstimate:
        return self._estimator.estimate(cost.kind, cost.size)


def _ratio_label(ratio: float) -> Label:
    """Returns the class of a measured time relative to the expected one."""
    for bound in _RATIO_BOUNDS:
        if ratio <= bound:
            return Label(name="up_to", value=str(bound))
    return Label(name="up_to", value="more")

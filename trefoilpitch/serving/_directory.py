"""The upstreams that a node tracks: clients, load and in-flight requests."""

from __future__ import annotations

import contextlib
import dataclasses
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping
from types import TracebackType
from typing import Self

from trefoilpitch.bundle import Upstream, UpstreamKind
from trefoilpitch.clock import Clock
from trefoilpitch.coldstart import Admission, AdmissionKind, WorkOutcome
from trefoilpitch.retries import Execution
from trefoilpitch.routing import (
    Confirmed,
    Decision,
    Invalidated,
    InvalidationReason,
    LoadReport,
    RoutingTable,
    Target,
    UpstreamState,
    confirm_dispatch,
)
from trefoilpitch.serving._protocols import (
    ClientFactory,
    ColdStartGate,
    ConcurrencyGate,
)
from trefoilpitch.upstreams import (
    ClientStats,
    ConnectError,
    EngineClient,
    IncompleteReplyError,
    OverloadedError,
    RefusedError,
    ServiceClient,
    UpstreamError,
)
from trefoilpitch.upstreams import LoadReport as ReceivedReport

# An upstream whose load has not been queried for longer gets no new work: it
# may have reported that it leaves.
_MAX_POLL_AGE_MS = 3_000


@dataclasses.dataclass(frozen=True, slots=True)
class TrackedUpstream:
    """An upstream and whether it is an engine or a plain service."""

    upstream: Upstream
    kind: UpstreamKind


class _TrackedState:
    def __init__(
        self,
        spec: TrackedUpstream,
        engine: EngineClient | None,
        service: ServiceClient | None,
    ) -> None:
        self.spec = spec
        self.engine = engine
        self.service = service
        self.in_flight = 0
        self.in_flight_at_report = 0
        self.report: ReceivedReport | None = None
        self.report_ms = 0
        self.polled_ms: int | None = None
        self.unreachable_since_ms: int | None = None
        self.leaving = False
        self.is_removed = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _EndedRun:
    # The cold-start gate's admission of the run.
    admission: Admission
    outcome: WorkOutcome
    # Time to the first chunk; None if none was received.
    latency_ms: int | None
    # Whether the upstream may still be working on the run.
    may_run: bool
    target: Target
    # Duration of the run.
    run_ms: int


class Slot:
    """A unit of an upstream's concurrency limit, occupied by one run.

    A context manager that releases the slot. The run counts as failed unless
    its owner calls ``succeed``.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        tracked: _TrackedState,
        admission: Admission,
        target: Target,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._target = target
        self._tracked = tracked
        self._admission = admission
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._outcome = WorkOutcome.FAILED
        self._latency_ms: int | None = None
        # An upstream may continue a run for a while after its caller left.
        self._may_run = True
        self._is_open = True

    @property
    def upstream(self) -> Upstream:
        """The upstream that the run was dispatched to."""
        return self._tracked.spec.upstream

    @property
    def upstream_incarnation(self) -> str:
        """The chosen incarnation of the upstream; empty if unknown."""
        return self._admission.upstream_incarnation

    @property
    def engine(self) -> EngineClient:
        """The client of the engine.

        Raises:
            TypeError: If the upstream is not an engine.
        """
        if self._tracked.engine is None:
            raise TypeError(f"{self.upstream.name} is not an engine")
        return self._tracked.engine

    @property
    def service(self) -> ServiceClient:
        """The client of the plain service.

        Raises:
            TypeError: If the upstream is not a plain service.
        """
        if self._tracked.service is None:
            raise TypeError(f"{self.upstream.name} is not a plain service")
        return self._tracked.service

    def record_first_chunk(self) -> None:
        """Records the time to the first chunk of the response."""
        if self._latency_ms is None:
            self._latency_ms = self._clock.now_ms() - self._started_ms

    def succeed(self) -> None:
        """Records that the upstream sent a complete response."""
        self.record_first_chunk()
        self._outcome = WorkOutcome.SUCCEEDED
        self._may_run = False

    def fail(self, error: UpstreamError) -> None:
        """Records how the upstream failed."""
        self._may_run = error.execution is Execution.UNKNOWN
        if isinstance(error, RefusedError | OverloadedError):
            self._outcome = WorkOutcome.REFUSED
        elif isinstance(error, ConnectError | IncompleteReplyError):
            self._outcome = WorkOutcome.UNREACHABLE
        elif error.execution is Execution.NOT_RUN:
            self._outcome = WorkOutcome.NOT_RUN
        else:
            self._outcome = WorkOutcome.FAILED

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Releases the slot; further calls do nothing."""
        if not self._is_open:
            return
        self._is_open = False
        ended = _EndedRun(
            admission=self._admission,
            outcome=self._outcome,
            latency_ms=self._latency_ms,
            may_run=self._may_run,
            target=self._target,
            run_ms=self._clock.now_ms() - self._started_ms,
        )
        self._directory._release(self._tracked, ended)


# Called with a run's target and its duration in milliseconds.
ReleaseListener = Callable[[Target, int], None]


class UpstreamDirectory:
    """Keeps the upstreams' state that routing decisions depend on.

    Thread-safe.

    Args:
        clock: Used for the age of load reports and the duration of runs.
        clients: Creates the clients.
        cold_starts: Bounds the work on cold upstreams.
        concurrency: Adapts the upstreams' concurrency limits.
    """

    def __init__(
        self,
        clock: Clock,
        clients: ClientFactory,
        cold_starts: ColdStartGate,
        concurrency: ConcurrencyGate,
    ) -> None:
        self._clock = clock
        self._clients = clients
        self._cold_starts = cold_starts
        self._concurrency = concurrency
        self._lock = threading.Lock()
        self._tracked: dict[str, _TrackedState] = {}
        self._listeners: list[ReleaseListener] = []

    def add_release_listener(self, listener: ReleaseListener) -> None:
        """Registers a listener to be called whenever a slot is released."""
        self._listeners.append(listener)

    def apply(self, table: RoutingTable) -> None:
        """Tracks exactly the upstreams of a configuration."""
        configured = _configured_upstreams(table)
        with self._lock:
            for name in list(self._tracked):
                tracked = self._tracked[name]
                if configured.get(name) != tracked.spec:
                    self._remove(name)
            for name, spec in configured.items():
                if name not in self._tracked:
                    self._tracked[name] = self._track(spec)

    def tracked(self) -> tuple[TrackedUpstream, ...]:
        """Returns the upstreams that the node tracks."""
        with self._lock:
            return tuple(one.spec for one in self._tracked.values())

    def client(self, upstream: str) -> EngineClient | ServiceClient | None:
        """Returns an upstream's client; None if it is not tracked."""
        with self._lock:
            tracked = self._tracked.get(upstream)
        return (tracked.engine or tracked.service) if tracked else None

    def engine(self, upstream: str) -> EngineClient | None:
        """Returns an engine's client; None if it is not a tracked engine."""
        with self._lock:
            tracked = self._tracked.get(upstream)
        return tracked.engine if tracked else None

    def states(self) -> Mapping[str, UpstreamState]:
        """Returns the last known state of every tracked upstream by name."""
        now_ms = self._clock.now_ms()
        with self._lock:
            return {
                name: self._state(tracked, now_ms)
                for name, tracked in self._tracked.items()
            }

    def acquire(
        self, decision: Decision, newest: RoutingTable
    ) -> Slot | Invalidated:
        """Acquires a slot on the chosen upstream if the decision still holds.

        The check and the increment of the count are atomic, so that two
        requests cannot acquire the same slot.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            states = {}
            tracked = self._tracked.get(decision.upstream)
            if tracked is not None:
                states[decision.upstream] = self._state(tracked, now_ms)
            outcome = confirm_dispatch(decision, newest, states)
            if tracked is None or not isinstance(outcome, Confirmed):
                assert isinstance(outcome, Invalidated)
                return outcome
            admission = self._cold_starts.admit(decision.upstream)
            if admission.kind is AdmissionKind.WAIT:
                return Invalidated(
                    decision=decision, reason=InvalidationReason.UPSTREAM_FULL
                )
            tracked.in_flight += 1
        return Slot(self, tracked, admission, decision.target, self._clock)

    def record_report(self, upstream: str, report: ReceivedReport) -> None:
        """Records a load report of an upstream."""
        with self._lock:
            tracked = self._tracked.get(upstream)
            if tracked is None:
                return
            tracked.report = report
            tracked.report_ms = self._clock.now_ms()
            tracked.polled_ms = tracked.report_ms
            tracked.unreachable_since_ms = None
            tracked.in_flight_at_report = tracked.in_flight
            tracked.leaving = report.leaving

    def record_report_failure(
        self, upstream: str, *, unreachable: bool = False
    ) -> None:
        """Records that a query for an upstream's load failed.

        The last load report stays in use.

        Args:
            upstream: The upstream.
            unreachable: Whether the connection itself was refused.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            tracked = self._tracked.get(upstream)
            if tracked is None:
                return
            tracked.polled_ms = now_ms
            if not unreachable:
                tracked.unreachable_since_ms = None
            elif tracked.unreachable_since_ms is None:
                tracked.unreachable_since_ms = now_ms

    def record_leaving(self, upstreams: frozenset[str]) -> None:
        """Records which upstreams are leaving according to the VM list."""
        with self._lock:
            for name, tracked in self._tracked.items():
                reported_leaving = tracked.report and tracked.report.leaving
                tracked.leaving = name in upstreams or bool(reported_leaving)

    @contextlib.contextmanager
    def demand(self) -> Iterator[Callable[[tuple[str, ...]], None]]:
        """Registers a waiting request's demand for slots on cold upstreams.

        Yields:
            A function that takes the names of the upstreams that may serve the
            request. The demand is withdrawn at the end of the context.
        """
        registered: set[str] = set()

        def register_demand(upstreams: tuple[str, ...]) -> None:
            for name in upstreams:
                if name not in registered and self._is_cold(name):
                    registered.add(name)
                    self._cold_starts.demand(name, 1)

        try:
            yield register_demand
        finally:
            for name in registered:
                self._cold_starts.demand(name, -1)

    def request_warm_up(self, upstreams: Iterable[str]) -> None:
        """Requests work for cold upstreams although others have free slots."""
        for name in upstreams:
            self._cold_starts.request_warm_up(name)

    def client_stats(self) -> tuple[ClientStats, ...]:
        """Returns the statistics of each tracked upstream's client."""
        with self._lock:
            tracked = list(self._tracked.values())
        clients = (one.engine or one.service for one in tracked)
        return tuple(client.stats for client in clients if client is not None)

    def in_flight(self) -> int:
        """Returns the number of in-flight requests on all upstreams."""
        with self._lock:
            return sum(one.in_flight for one in self._tracked.values())

    def close(self) -> None:
        """Closes every client."""
        with self._lock:
            for name in list(self._tracked):
                self._remove(name)

    def _is_cold(self, upstream: str) -> bool:
        return self._cold_starts.allowance(upstream) is not None

    def _state(self, tracked: _TrackedState, now_ms: int) -> UpstreamState:
        name = tracked.spec.upstream.name
        allowance = self._cold_starts.allowance(name)
        report = tracked.report
        return UpstreamState(
            name=name,
            in_flight=tracked.in_flight,
            in_flight_change=tracked.in_flight - tracked.in_flight_at_report,
            report=_routing_report(report, now_ms - tracked.report_ms),
            cold=allowance is not None,
            allowance=allowance or 0,
            concurrency_limit=self._concurrency.limit(tracked.spec.upstream),
            leaving=tracked.leaving or _is_poll_overdue(tracked, now_ms),
            unreachable_since_ms=tracked.unreachable_since_ms,
            incarnation=report.incarnation if report else "",
            versions=report.versions if report else None,
        )

    def _track(self, spec: TrackedUpstream) -> _TrackedState:
        if spec.kind is UpstreamKind.ENGINE:
            return _TrackedState(
                spec,
                self._clients.engine(spec.upstream),
                None,
            )
        return _TrackedState(
            spec,
            None,
            self._clients.service(spec.upstream),
        )

    def _remove(self, name: str) -> None:
        tracked = self._tracked.pop(name)
        tracked.is_removed = True
        if tracked.in_flight == 0:
            _close(tracked)

    def _release(self, tracked: _TrackedState, ended: _EndedRun) -> None:
        upstream = tracked.spec.upstream
        with self._lock:
            self._concurrency.finished(
                upstream, ended.outcome, ended.latency_ms, tracked.in_flight
            )
            tracked.in_flight -= 1
            is_last = tracked.is_removed and tracked.in_flight == 0
        self._cold_starts.ended(
            ended.admission, ended.outcome, ended.latency_ms, ended.may_run
        )
        if is_last:
            _close(tracked)
        for listener in self._listeners:
            listener(ended.target, ended.run_ms)


def _is_poll_overdue(tracked: _TrackedState, now_ms: int) -> bool:
    """Returns whether an upstream may have reported unnoticed that it leaves.

    That is so when it has only just been tracked again, and after a pause of
    this process.
    """
    polled_ms = tracked.polled_ms
    return polled_ms is None or now_ms - polled_ms > _MAX_POLL_AGE_MS


def _close(tracked: _TrackedState) -> None:
    client = tracked.engine or tracked.service
    if client is not None:
        client.__exit__(None, None, None)


def _configured_upstreams(table: RoutingTable) -> dict[str, TrackedUpstream]:
    bundle = table.configuration.bundle
    kinds = {pool.name: pool.kind for pool in bundle.pools} if bundle else {}
    return {
        upstream.name: TrackedUpstream(upstream, kinds[pool])
        for pool, upstreams in table.pool_members.items()
        for upstream in upstreams
    }


def _routing_report(
    report: ReceivedReport | None, age_ms: int
) -> LoadReport | None:
    if report is None:
        return None
    return LoadReport(
        running=report.running,
        waiting=report.waiting,
        capacity=report.capacity,
        age_ms=age_ms,
    )

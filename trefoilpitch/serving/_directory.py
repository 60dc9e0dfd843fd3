"""The upstreams that a node follows: clients, load and running work."""

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
    LoadReport,
    Revised,
    RevisionReason,
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

# Without having asked an upstream for so long, it gets no new work.
_MAX_ASKED_AGE_MS = 3_000


@dataclasses.dataclass(frozen=True, slots=True)
class TrackedUpstream:
    """An upstream and what it runs."""

    # The upstream.
    upstream: Upstream
    # What it runs.
    kind: UpstreamKind


class _TrackedState:
    def __init__(
        self,
        node: TrackedUpstream,
        engine: EngineClient | None,
        service: ServiceClient | None,
    ) -> None:
        self.node = node
        self.engine = engine
        self.service = service
        self.in_flight = 0
        self.in_flight_at_report = 0
        self.report: ReceivedReport | None = None
        self.report_ms = 0
        self.asked_ms: int | None = None
        self.unreachable_since_ms: int | None = None
        self.leaving = False
        self.is_dropped = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Ended:
    # What the run was admitted with.
    admission: Admission
    # How it ended.
    outcome: WorkOutcome
    # Time to its first part; None if none came.
    latency_ms: int | None
    # Whether the upstream may go on with it.
    may_run: bool
    # What ran.
    target: Target
    # How long it ran.
    run_ms: int


class Slot:
    """One running request's place on an upstream.

    A context manager that gives the place back. A request counts as failed
    unless its owner said otherwise.
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
        # An upstream goes on for a while with what is left before its end.
        self._may_run = True
        self._is_open = True

    @property
    def upstream(self) -> Upstream:
        """The upstream."""
        return self._tracked.node.upstream

    @property
    def upstream_incarnation(self) -> str:
        """The upstream's incarnation that was chosen; empty if unknown."""
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
        """Records that the first part of the answer is there."""
        if self._latency_ms is None:
            self._latency_ms = self._clock.now_ms() - self._started_ms

    def succeed(self) -> None:
        """Records that the upstream gave a whole answer."""
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
        """Gives the place back; harmless when that was done before."""
        if not self._is_open:
            return
        self._is_open = False
        ended = _Ended(
            admission=self._admission,
            outcome=self._outcome,
            latency_ms=self._latency_ms,
            may_run=self._may_run,
            target=self._target,
            run_ms=self._clock.now_ms() - self._started_ms,
        )
        self._directory._release(self._tracked, ended)


# Takes what ran and for how many milliseconds.
ReleaseListener = Callable[[Target, int], None]


class UpstreamDirectory:
    """Keeps the state that choices rest on; safe for use by many threads.

    Args:
        clock: Tells the age of load reports.
        clients: Makes the clients.
        cold_starts: Bounds work on upstreams in a cold start.
        concurrency: Adapts the work that runs at once.
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

    def on_release(self, listener: ReleaseListener) -> None:
        """Calls a listener with what ran and how long, at each end."""
        self._listeners.append(listener)

    def apply(self, table: RoutingTable) -> None:
        """Follows the upstreams that a configuration names."""
        wanted = _members(table)
        with self._lock:
            for name in list(self._tracked):
                tracked = self._tracked[name]
                if wanted.get(name) != tracked.node:
                    self._drop(name)
            for name, node in wanted.items():
                if name not in self._tracked:
                    self._tracked[name] = self._follow(node)

    def tracked(self) -> tuple[TrackedUpstream, ...]:
        """Returns the upstreams that the node follows."""
        with self._lock:
            return tuple(one.node for one in self._tracked.values())

    def client(self, upstream: str) -> EngineClient | ServiceClient | None:
        """Returns what fetches an upstream's load; None if not followed."""
        with self._lock:
            tracked = self._tracked.get(upstream)
        return (tracked.engine or tracked.service) if tracked else None

    def engine(self, upstream: str) -> EngineClient | None:
        """Returns an engine's client; None where it is not followed."""
        with self._lock:
            tracked = self._tracked.get(upstream)
        return tracked.engine if tracked else None

    def states(self) -> Mapping[str, UpstreamState]:
        """Returns what is known of every followed upstream now."""
        now_ms = self._clock.now_ms()
        with self._lock:
            return {
                name: self._state(tracked, now_ms)
                for name, tracked in self._tracked.items()
            }

    def acquire(
        self, decision: Decision, newest: RoutingTable
    ) -> Slot | Revised:
        """Takes a place on the chosen upstream if the decision still holds.

        The check and the count are one step, so that two requests cannot
        take the same place.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            states = {}
            tracked = self._tracked.get(decision.upstream)
            if tracked is not None:
                states[decision.upstream] = self._state(tracked, now_ms)
            outcome = confirm_dispatch(decision, newest, states)
            if tracked is None or not isinstance(outcome, Confirmed):
                assert isinstance(outcome, Revised)
                return outcome
            admission = self._cold_starts.admit(decision.upstream)
            if admission.kind is AdmissionKind.WAIT:
                return Revised(
                    decision=decision, reason=RevisionReason.UPSTREAM_FULL
                )
            tracked.in_flight += 1
        return Slot(self, tracked, admission, decision.target, self._clock)

    def record_report(self, upstream: str, report: ReceivedReport) -> None:
        """Takes in a load report."""
        with self._lock:
            tracked = self._tracked.get(upstream)
            if tracked is None:
                return
            tracked.report = report
            tracked.report_ms = self._clock.now_ms()
            tracked.asked_ms = tracked.report_ms
            tracked.unreachable_since_ms = None
            tracked.in_flight_at_report = tracked.in_flight
            tracked.leaving = report.leaving

    def record_report_failure(
        self, upstream: str, *, unreachable: bool = False
    ) -> None:
        """Records that an upstream was asked for its load and is silent.

        What it said last still counts.

        Args:
            upstream: The upstream.
            unreachable: Whether it did not even accept a connection.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            tracked = self._tracked.get(upstream)
            if tracked is None:
                return
            tracked.asked_ms = now_ms
            if not unreachable:
                tracked.unreachable_since_ms = None
            elif tracked.unreachable_since_ms is None:
                tracked.unreachable_since_ms = now_ms

    def record_leaving(self, upstreams: frozenset[str]) -> None:
        """Takes in the names that the VM list says are leaving."""
        with self._lock:
            for name, tracked in self._tracked.items():
                said_so = tracked.report and tracked.report.leaving
                tracked.leaving = name in upstreams or bool(said_so)

    @contextlib.contextmanager
    def demand(self) -> Iterator[Callable[[tuple[str, ...]], None]]:
        """Lets a request that waits ask for places on cold upstreams.

        Yields:
            A function that takes the names of upstreams that would do; the
            demand ends with the context.
        """
        asked: set[str] = set()

        def ask(upstreams: tuple[str, ...]) -> None:
            for name in upstreams:
                if name not in asked and self._is_cold(name):
                    asked.add(name)
                    self._cold_starts.demand(name, 1)

        try:
            yield ask
        finally:
            for name in asked:
                self._cold_starts.demand(name, -1)

    def request_warm_up(self, upstreams: Iterable[str]) -> None:
        """Asks for work on cold upstreams although others have room."""
        for name in upstreams:
            self._cold_starts.request_warm_up(name)

    def client_stats(self) -> tuple[ClientStats, ...]:
        """Returns what the client of each followed upstream counts."""
        with self._lock:
            tracked = list(self._tracked.values())
        clients = (one.engine or one.service for one in tracked)
        return tuple(client.stats for client in clients if client is not None)

    def in_flight(self) -> int:
        """Returns the requests that are running on all upstreams."""
        with self._lock:
            return sum(one.in_flight for one in self._tracked.values())

    def close(self) -> None:
        """Closes every client."""
        with self._lock:
            for name in list(self._tracked):
                self._drop(name)

    def _is_cold(self, upstream: str) -> bool:
        return self._cold_starts.allowance(upstream) is not None

    def _state(self, tracked: _TrackedState, now_ms: int) -> UpstreamState:
        name = tracked.node.upstream.name
        allowance = self._cold_starts.allowance(name)
        report = tracked.report
        return UpstreamState(
            name=name,
            in_flight=tracked.in_flight,
            in_flight_change=tracked.in_flight - tracked.in_flight_at_report,
            report=_routing_report(report, now_ms - tracked.report_ms),
            cold=allowance is not None,
            allowance=allowance or 0,
            concurrency_limit=self._concurrency.limit(tracked.node.upstream),
            leaving=tracked.leaving or _is_unasked(tracked, now_ms),
            unreachable_since_ms=tracked.unreachable_since_ms,
            incarnation=report.incarnation if report else "",
            versions=report.versions if report else None,
        )

    def _follow(self, node: TrackedUpstream) -> _TrackedState:
        if node.kind is UpstreamKind.ENGINE:
            return _TrackedState(
                node, self._clients.engine(node.upstream), None
            )
        return _TrackedState(node, None, self._clients.service(node.upstream))

    def _drop(self, name: str) -> None:
        tracked = self._tracked.pop(name)
        tracked.is_dropped = True
        if tracked.in_flight == 0:
            _close(tracked)

    def _release(self, tracked: _TrackedState, ended: _Ended) -> None:
        upstream = tracked.node.upstream
        with self._lock:
            self._concurrency.finished(
                upstream, ended.outcome, ended.latency_ms, tracked.in_flight
            )
            tracked.in_flight -= 1
            is_last = tracked.is_dropped and tracked.in_flight == 0
        self._cold_starts.ended(
            ended.admission, ended.outcome, ended.latency_ms, ended.may_run
        )
        if is_last:
            _close(tracked)
        for listener in self._listeners:
            listener(ended.target, ended.run_ms)


def _is_unasked(tracked: _TrackedState, now_ms: int) -> bool:
    """Returns whether an upstream may have said that it leaves, unheard.

    That is so when it has just been followed again, and after a pause of this
    process.
    """
    asked_ms = tracked.asked_ms
    return asked_ms is None or now_ms - asked_ms > _MAX_ASKED_AGE_MS


def _close(tracked: _TrackedState) -> None:
    client = tracked.engine or tracked.service
    if client is not None:
        client.__exit__(None, None, None)


def _members(table: RoutingTable) -> dict[str, TrackedUpstream]:
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

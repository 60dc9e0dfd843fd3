"""Runs the cold start protocol: holds and grants credits for cold upstreams."""

from __future__ import annotations

import collections
import threading
from collections.abc import Callable

import pykka

from trefoilpitch.bundle import Upstream
from trefoilpitch.clock import Clock
from trefoilpitch.coldstart import (
    Admission,
    AdmissionKind,
    ColdStartHost,
    DemandChanged,
    FleetObserved,
    TimePassed,
    UpstreamReported,
    UpstreamsChanged,
    WorkEnded,
    WorkOutcome,
    is_cold,
    usable_credits,
)
from trefoilpitch.daemon._concurrency import LATENCY_FLOOR_MS
from trefoilpitch.membership import MembershipView
from trefoilpitch.peering import PeerTransport, ReceivedMessage
from trefoilpitch.supervision import Tick
from trefoilpitch.upstreams import LoadReport

COLD_START_TICK_MS = 250

# How long one warm-up request counts as demand for a cold upstream.
_WARM_UP_REQUEST_TTL_MS = 2_000


class ColdStarts:
    """Thread-safe access to the cold start protocol.

    Args:
        clock: The protocol's clock.
        transport: Sends messages to other nodes.
        on_change: Called when waiting requests may be admitted.
    """

    def __init__(
        self,
        clock: Clock,
        transport: PeerTransport,
        on_change: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._lock = threading.RLock()
        self._host = ColdStartHost(clock, transport, lambda name: on_change())
        self._waiting: collections.Counter[str] = collections.Counter()
        self._warm_up_requested_ms: dict[str, int] = {}

    def allowance(self, upstream: str) -> int | None:
        """Returns how many requests may start now; None if it is warm."""
        with self._lock:
            holder = self._host.holder
            now_ms = self._clock.now_ms()
            if not is_cold(holder, upstream, now_ms):
                return None
            return usable_credits(holder, upstream, now_ms)

    def admit(self, upstream: str) -> Admission:
        """Admits a request or makes it wait; admitted ones must be ended."""
        with self._lock:
            return self._host.admit(upstream)

    def ended(
        self,
        admission: Admission,
        outcome: WorkOutcome,
        latency_ms: int | None,
        may_run: bool,
    ) -> None:
        """Records the end of an admitted request."""
        if latency_ms is not None:
            latency_ms = max(latency_ms, LATENCY_FLOOR_MS)
        event = WorkEnded(
            admission=admission,
            outcome=outcome,
            latency_ms=latency_ms,
            may_run=may_run,
        )
        with self._lock:
            self._host.handle(event)

    def demand(self, upstream: str, change: int) -> None:
        """Adds to the number of requests that wait for an upstream."""
        with self._lock:
            self._waiting[upstream] += change
            self._update_demand(upstream)

    def request_warm_up(self, upstream: str) -> None:
        """Registers demand for a cold upstream although others have capacity.

        An upstream that gets no traffic would stay cold and could not take
        the load once it is needed.
        """
        with self._lock:
            self._warm_up_requested_ms[upstream] = self._clock.now_ms()

    def set_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Applies the upstreams of a new configuration."""
        with self._lock:
            self._host.observe(UpstreamsChanged(upstreams))

    def observe_fleet(self, view: MembershipView) -> None:
        """Applies a membership view and runs the protocol's timers."""
        with self._lock:
            self._host.observe(FleetObserved(view))
            for upstream in list(self._warm_up_requested_ms):
                self._update_demand(upstream)
            self._host.handle(TimePassed())

    def record_report(self, report: LoadReport, as_of_ms: int) -> None:
        """Records a load report that was requested at ``as_of_ms``."""
        event = UpstreamReported(
            upstream=report.upstream,
            incarnation=report.incarnation,
            running=report.running,
            reported_warm=report.warm,
            as_of_ms=as_of_ms,
        )
        with self._lock:
            self._host.observe(event)

    def record_unreachable(self, upstream: str) -> None:
        """Records that an upstream refuses connections; it may restart."""
        admission = Admission(upstream=upstream, kind=AdmissionKind.WARM)
        self.ended(admission, WorkOutcome.UNREACHABLE, None, False)

    def _update_demand(self, upstream: str) -> None:
        waiting = self._waiting[upstream]
        requested_ms = self._warm_up_requested_ms.get(upstream)
        if requested_ms is not None:
            if self._clock.now_ms() - requested_ms < _WARM_UP_REQUEST_TTL_MS:
                waiting += 1
            else:
                del self._warm_up_requested_ms[upstream]
        self._host.handle(DemandChanged(upstream, waiting))

    def receive(self, message: ReceivedMessage) -> None:
        """Handles a protocol message of another node."""
        with self._lock:
            self._host.receive(message)


class ColdStartActor(pykka.ThreadingActor):
    """Passes views and peers' messages to the protocol.

    Args:
        cold_starts: Runs the protocol; outlives the actor.
        view: Returns the latest membership view.
    """

    def __init__(
        self, cold_starts: ColdStarts, view: Callable[[], MembershipView]
    ) -> None:
        super().__init__()
        self._cold_starts = cold_starts
        self._view = view

    def on_receive(self, message: object) -> None:
        """Handles a tick or a peer's message."""
        if isinstance(message, Tick):
            self._cold_starts.observe_fleet(self._view())
        elif isinstance(message, ReceivedMessage):
            self._cold_starts.receive(message)

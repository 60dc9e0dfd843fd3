"""Runs the cold start protocol: this node's credits, and those it grants."""

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
from trefoilpitch.daemon._gates import LATENCY_FLOOR_MS
from trefoilpitch.membership import MembershipView
from trefoilpitch.peering import PeerTransport, ReceivedMessage
from trefoilpitch.supervision import Tick
from trefoilpitch.upstreams import LoadReport

COLD_START_TICK_MS = 250

# How long one request lets a cold upstream be asked for work.
_INVITATION_MS = 2_000


class ColdStarts:
    """Shares the protocol between threads.

    Args:
        clock: Tells the time.
        transport: Carries messages to other nodes.
        on_change: Called when work that waits should ask again.
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
        self._invited_ms: dict[str, int] = {}

    def allowance(self, upstream: str) -> int | None:
        """Returns the requests that may start now; None while warm."""
        with self._lock:
            holder = self._host.holder
            now_ms = self._clock.now_ms()
            if not is_cold(holder, upstream, now_ms):
                return None
            return usable_credits(holder, upstream, now_ms)

    def admit(self, upstream: str) -> Admission:
        """Asks for the start of one request, which must be ended."""
        with self._lock:
            return self._host.admit(upstream)

    def ended(
        self,
        admission: Admission,
        outcome: WorkOutcome,
        latency_ms: int | None,
        may_run: bool,
    ) -> None:
        """Records how a request that was admitted ended."""
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
        """Changes the number of requests that wait for an upstream."""
        with self._lock:
            self._waiting[upstream] += change
            self._tell_demand(upstream)

    def request_warm_up(self, upstream: str) -> None:
        """Asks for work on a cold upstream although others have room.

        An upstream that is never needed would stay cold, and fail to bear
        the load on the day when it is.
        """
        with self._lock:
            self._invited_ms[upstream] = self._clock.now_ms()

    def set_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Takes in the upstreams of a new configuration."""
        with self._lock:
            self._host.observe(UpstreamsChanged(upstreams))

    def observe_fleet(self, view: MembershipView) -> None:
        """Takes in a view, and lets time pass."""
        with self._lock:
            self._host.observe(FleetObserved(view))
            for upstream in list(self._invited_ms):
                self._tell_demand(upstream)
            self._host.handle(TimePassed())

    def note_report(self, report: LoadReport, as_of_ms: int) -> None:
        """Takes in a load report that was asked for at ``as_of_ms``."""
        event = UpstreamReported(
            upstream=report.upstream,
            incarnation=report.incarnation,
            running=report.running,
            reported_warm=report.warm,
            as_of_ms=as_of_ms,
        )
        with self._lock:
            self._host.observe(event)

    def note_unreachable(self, upstream: str) -> None:
        """Takes in that an upstream accepts no connection: it may restart."""
        admission = Admission(upstream=upstream, kind=AdmissionKind.WARM)
        self.ended(admission, WorkOutcome.UNREACHABLE, None, False)

    def _tell_demand(self, upstream: str) -> None:
        waiting = self._waiting[upstream]
        invited_ms = self._invited_ms.get(upstream)
        if invited_ms is not None:
            if self._clock.now_ms() - invited_ms < _INVITATION_MS:
                waiting += 1
            else:
                del self._invited_ms[upstream]
        self._host.handle(DemandChanged(upstream, waiting))

    def receive(self, message: ReceivedMessage) -> None:
        """Takes in a message of the protocol from another node."""
        with self._lock:
            self._host.receive(message)


class ColdStartActor(pykka.ThreadingActor):
    """Feeds views and peers' messages to the protocol.

    Args:
        cold_starts: The protocol; outlives the actor.
        view: Returns the newest view of the fleet.
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

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
    AdmissionChanged,
    DemandChanged,
    FleetObserved,
    GatekeeperEvent,
    GatekeeperMessage,
    GatekeeperSpoke,
    HolderAction,
    HolderEvent,
    HolderMessage,
    HolderSpoke,
    SendToGatekeeper,
    SendToHolder,
    TimePassed,
    UpstreamReported,
    UpstreamsChanged,
    WorkEnded,
    WorkOutcome,
    admit_work,
    create_gatekeeper,
    create_holder,
    is_cold,
    step_gatekeeper,
    step_holder,
    usable_credits,
)
from trefoilpitch.membership import MembershipView
from trefoilpitch.peering import PeerTransport, ReceivedMessage
from trefoilpitch.supervision import Tick

COLD_START_TICK_MS = 250

_Event = HolderEvent | GatekeeperEvent


class ColdStarts:
    """Feeds the protocol and carries out its actions; thread-safe.

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
        self._transport = transport
        self._on_change = on_change
        self._identity = transport.identity
        self._lock = threading.Lock()
        self._holder = create_holder()
        self._gatekeeper = create_gatekeeper(self._identity.incarnation)
        self._waiting: collections.Counter[str] = collections.Counter()

    def allowance(self, upstream: str) -> int | None:
        """Returns the requests that may start now; None while warm."""
        with self._lock:
            now_ms = self._clock.now_ms()
            if not is_cold(self._holder, upstream, now_ms):
                return None
            return usable_credits(self._holder, upstream, now_ms)

    def admit(self, upstream: str) -> Admission:
        """Asks for the start of one request, which must be ended."""
        with self._lock:
            self._holder, admission = admit_work(
                self._holder, upstream, self._clock.now_ms()
            )
            return admission

    def ended(
        self,
        admission: Admission,
        outcome: WorkOutcome,
        latency_ms: int | None,
    ) -> None:
        """Records how a request that was admitted ended."""
        event = WorkEnded(
            admission=admission, outcome=outcome, latency_ms=latency_ms
        )
        self._handle(event)

    def demand(self, upstream: str, change: int) -> None:
        """Changes the number of requests that wait for an upstream."""
        with self._lock:
            self._waiting[upstream] += change
            waiting = self._waiting[upstream]
        self._handle(DemandChanged(upstream, waiting))

    def set_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        """Takes in the upstreams of a new configuration."""
        self._handle(UpstreamsChanged(upstreams))

    def observe_fleet(self, view: MembershipView) -> None:
        """Takes in a view, and lets time pass."""
        self._handle(FleetObserved(view))
        self._handle(TimePassed())

    def note_report(
        self, upstream: str, incarnation: str, running: int, as_of_ms: int
    ) -> None:
        """Takes in a load report that was asked for at ``as_of_ms``."""
        event = UpstreamReported(
            upstream=upstream,
            incarnation=incarnation,
            running=running,
            as_of_ms=as_of_ms,
        )
        self._handle(event)

    def receive(self, message: ReceivedMessage) -> None:
        """Takes in a message of the protocol from another node."""
        payload = message.payload
        if isinstance(payload, HolderMessage):
            event: _Event = HolderSpoke(
                holder=message.incarnation,
                address=message.address,
                message=payload,
            )
        else:
            assert isinstance(payload, GatekeeperMessage)
            event = GatekeeperSpoke(
                gatekeeper=message.incarnation, message=payload
            )
        self._handle(event)

    def _handle(self, first: _Event) -> None:
        events = collections.deque([first])
        is_changed = False
        while events:
            for action in self._apply(events.popleft()):
                if isinstance(action, AdmissionChanged):
                    is_changed = True
                else:
                    events.extend(self._send(action))
        if is_changed:
            self._on_change()

    def _apply(self, event: _Event) -> tuple[HolderAction | SendToHolder, ...]:
        now_ms = self._clock.now_ms()
        actions: list[HolderAction | SendToHolder] = []
        with self._lock:
            if isinstance(event, GatekeeperEvent):
                self._gatekeeper, sends = step_gatekeeper(
                    self._gatekeeper, event, now_ms
                )
                actions.extend(sends)
            if isinstance(event, HolderEvent):
                self._holder, done = step_holder(self._holder, event, now_ms)
                actions.extend(done)
        return tuple(actions)

    def _send(
        self, action: SendToGatekeeper | SendToHolder
    ) -> tuple[_Event, ...]:
        """Sends a message; returns the event where it is to this node."""
        if action.address != self._identity.address:
            self._transport.send(action.address, action.message, urgent=True)
            return ()
        own = self._identity.incarnation
        if isinstance(action, SendToHolder):
            message = action.message
            return (GatekeeperSpoke(gatekeeper=own, message=message),)
        return (
            HolderSpoke(
                holder=own,
                address=action.address,
                message=action.message,
            ),
        )


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

"""Runs the gatekeeper and the holder of one daemon on a peer transport."""

from __future__ import annotations

from collections.abc import Callable
from typing import get_args

from trefoilpitch.clock import Clock
from trefoilpitch.coldstart._events import (
    Admission,
    AdmissionChanged,
    FleetObserved,
    GatekeeperEvent,
    GatekeeperMessageReceived,
    HandoverMessageReceived,
    HolderEvent,
    HolderMessageReceived,
    SendToGatekeeper,
    UpstreamReported,
    UpstreamsChanged,
)
from trefoilpitch.coldstart._gatekeeper import step_gatekeeper
from trefoilpitch.coldstart._gatekeeper_state import (
    GatekeeperState,
    create_gatekeeper,
)
from trefoilpitch.coldstart._holder import admit_work, step_holder
from trefoilpitch.coldstart._holder_state import HolderState, create_holder
from trefoilpitch.coldstart._messages import (
    GatekeeperMessage,
    HandoverMessage,
    HolderMessage,
)
from trefoilpitch.coldstart._settings import ColdStartSettings
from trefoilpitch.peering import PeerTransport, ReceivedMessage

_HOLDER_TYPES = get_args(HolderMessage)
_GATEKEEPER_TYPES = get_args(GatekeeperMessage)
_HANDOVER_TYPES = get_args(HandoverMessage)


class ColdStartHost:
    """Feeds events to both state machines and carries out their actions.

    Not thread-safe: use it from one actor or thread, or under a lock.

    Args:
        clock: Supplies the monotonic time of each event.
        transport: Carries the messages.
        on_admission_changed: Called with an upstream's name when work that
            waits for it should request admission again.
        settings: Intervals and limits.
    """

    def __init__(
        self,
        clock: Clock,
        transport: PeerTransport,
        on_admission_changed: Callable[[str], None],
        settings: ColdStartSettings | None = None,
    ) -> None:
        self._clock = clock
        self._transport = transport
        self._on_admission_changed = on_admission_changed
        incarnation = transport.identity.incarnation
        self._gatekeeper = create_gatekeeper(incarnation, settings)
        self._holder = create_holder(settings)
        self._send_failures = 0

    @property
    def gatekeeper(self) -> GatekeeperState:
        """An immutable snapshot of the gatekeeper's state."""
        return self._gatekeeper

    @property
    def holder(self) -> HolderState:
        """An immutable snapshot of the holder's state."""
        return self._holder

    @property
    def send_failures(self) -> int:
        """Number of messages that the transport refused to send."""
        return self._send_failures

    def observe(
        self, event: FleetObserved | UpstreamsChanged | UpstreamReported
    ) -> None:
        """Passes an event to both state machines."""
        self._step_gatekeeper(event)
        self.handle(event)

    def handle(self, event: HolderEvent) -> None:
        """Passes an event to the holder and carries out its actions."""
        self._holder, actions = step_holder(
            self._holder, event, self._clock.now_ms()
        )
        for action in actions:
            match action:
                case SendToGatekeeper(address=address, message=message):
                    self._send(address, message)
                case AdmissionChanged(upstream=upstream):
                    self._on_admission_changed(upstream)

    def admit(self, upstream: str) -> Admission:
        """Decides whether work may be sent now; see ``admit_work``."""
        self._holder, admission = admit_work(
            self._holder, upstream, self._clock.now_ms()
        )
        return admission

    def receive(self, message: ReceivedMessage) -> bool:
        """Handles a peer's message.

        Returns:
            Whether the message belongs to this protocol.
        """
        payload = message.payload
        if isinstance(payload, _HOLDER_TYPES):
            self._step_gatekeeper(
                HolderMessageReceived(
                    holder=message.incarnation,
                    address=message.address,
                    message=payload,
                )
            )
            return True
        if isinstance(payload, _GATEKEEPER_TYPES):
            self.handle(
                GatekeeperMessageReceived(
                    gatekeeper=message.incarnation, message=payload
                )
            )
            return True
        if isinstance(payload, _HANDOVER_TYPES):
            self._step_gatekeeper(
                HandoverMessageReceived(
                    sender=message.sender,
                    incarnation=message.incarnation,
                    address=message.address,
                    message=payload,
                )
            )
            return True
        return False

    def _step_gatekeeper(self, event: GatekeeperEvent) -> None:
        self._gatekeeper, sends = step_gatekeeper(
            self._gatekeeper, event, self._clock.now_ms()
        )
        for send in sends:
            self._send(send.address, send.message)

    def _send(
        self,
        address: str,
        message: HolderMessage | GatekeeperMessage | HandoverMessage,
    ) -> None:
        identity = self._transport.identity
        if address == identity.address:
            # This daemon is both sender and recipient.
            self.receive(
                ReceivedMessage(
                    sender=identity.name,
                    incarnation=identity.incarnation,
                    address=address,
                    payload=message,
                )
            )
            return
        sent = self._transport.send(address, message, urgent=True)
        self._send_failures += sent.map(lambda _: 0).value_or(1)

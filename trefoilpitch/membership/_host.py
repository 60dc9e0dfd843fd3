"""Runs the membership protocol on a peer transport."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from trefoilpitch.clock import Clock
from trefoilpitch.membership._events import (
    Disconnect,
    MembershipEvent,
    SendMessage,
    Superseded,
    ViewChanged,
)
from trefoilpitch.membership._nodes import MembershipView
from trefoilpitch.membership._state import MembershipState, create_view
from trefoilpitch.membership._step import step
from trefoilpitch.peering import PeerTransport

_LOG = logbook.Logger("membership")


class MembershipHost:
    """Feeds events to the protocol and carries out its actions.

    Belongs to one actor or thread; ``view`` may be read from any thread.

    Args:
        clock: Tells the time of each event.
        state: The state to begin with.
        transport: Carries the messages.
        on_superseded: Called once a later incarnation of this VM exists.
    """

    def __init__(
        self,
        clock: Clock,
        state: MembershipState,
        transport: PeerTransport,
        on_superseded: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._state = state
        self._transport = transport
        self._on_superseded = on_superseded
        self._view = create_view(state, clock.now_ms())
        self._send_failures = 0

    @property
    def state(self) -> MembershipState:
        """The protocol's state, for dumps."""
        return self._state

    @property
    def view(self) -> MembershipView:
        """The view taken after the latest event that changed it."""
        return self._view

    @property
    def send_failures(self) -> int:
        """Messages that the transport refused."""
        return self._send_failures

    def handle(self, event: MembershipEvent) -> bool:
        """Applies an event; returns whether a member changed its state."""
        now_ms = self._clock.now_ms()
        self._state, actions = step(self._state, event, now_ms)
        is_changed = False
        for action in actions:
            match action:
                case SendMessage():
                    self._send(action)
                case Disconnect(address=address):
                    self._transport.disconnect(address)
                case Superseded(incarnation=incarnation):
                    _LOG.error("superseded by incarnation {}", incarnation)
                    self._on_superseded(incarnation)
                case ViewChanged():
                    is_changed = True
        if is_changed:
            self.refresh_view()
        return is_changed

    def refresh_view(self) -> MembershipView:
        """Takes a new view, for instance once a second for the reports."""
        self._view = create_view(self._state, self._clock.now_ms())
        return self._view

    def _send(self, action: SendMessage) -> None:
        sent = self._transport.send(
            action.address, action.message, urgent=action.urgent
        )
        self._send_failures += sent.map(lambda _: 0).value_or(1)

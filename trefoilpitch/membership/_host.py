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
    Tick,
    ViewChanged,
)
from trefoilpitch.membership._nodes import MembershipView
from trefoilpitch.membership._state import MembershipState
from trefoilpitch.membership._step import step
from trefoilpitch.membership._view import ViewBuilder
from trefoilpitch.peering import PeerTransport

# Reports and the view's age change continuously, so the view is rebuilt at
# this interval even if no member changed its state.
_VIEW_INTERVAL_MS = 1_000
_LOG = logbook.Logger("membership")


class MembershipHost:
    """Feeds events to the protocol and performs its actions.

    Belongs to one actor or thread; ``view`` may be read from any thread.

    Args:
        clock: Monotonic time of each event.
        state: The initial state.
        transport: Sends the protocol's messages.
        on_superseded: Called with a later incarnation of this VM when one is
            observed.
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
        self._view_builder = ViewBuilder()
        self._view = self._view_builder.build(state, clock.now_ms())
        self._is_view_outdated = False
        self._send_failures = 0

    @property
    def state(self) -> MembershipState:
        """The protocol's state, for dumps."""
        return self._state

    @property
    def view(self) -> MembershipView:
        """The latest view, built at a tick."""
        return self._view

    @property
    def send_failures(self) -> int:
        """Number of messages that the transport did not accept."""
        return self._send_failures

    def handle(self, event: MembershipEvent) -> bool:
        """Applies an event; returns whether a new view was built.

        A tick builds one if a member changed its state or the last view is a
        second old.
        """
        now_ms = self._clock.now_ms()
        self._state, actions = step(self._state, event, now_ms)
        for action in actions:
            match action:
                case SendMessage():
                    self._send(action)
                case Disconnect(address=address):
                    self._transport.disconnect(address)
                case Superseded(incarnation=incarnation):
                    _LOG.error(
                        "superseded by later incarnation {} of this VM",
                        incarnation,
                    )
                    self._on_superseded(incarnation)
                case ViewChanged():
                    self._is_view_outdated = True
        if not isinstance(event, Tick) or not self._is_view_due(now_ms):
            return False
        self.refresh_view()
        return True

    def refresh_view(self) -> MembershipView:
        """Builds and returns a new view, regardless of the interval."""
        self._view = self._view_builder.build(self._state, self._clock.now_ms())
        self._is_view_outdated = False
        return self._view

    def _is_view_due(self, now_ms: int) -> bool:
        age_ms = now_ms - self._view.as_of_ms
        return self._is_view_outdated or age_ms >= _VIEW_INTERVAL_MS

    def _send(self, action: SendMessage) -> None:
        sent = self._transport.send(
            action.address, action.message, urgent=action.urgent
        )
        self._send_failures += sent.map(lambda _: 0).value_or(1)

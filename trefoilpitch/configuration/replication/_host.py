"""Runs a replica on a peer transport and a store."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import logbook

from trefoilpitch.clock import Clock
from trefoilpitch.configuration._nodes import Configuration
from trefoilpitch.configuration.replication._events import (
    PutInForce,
    ReadHead,
    ReadSnapshot,
    ReplicaAction,
    ReplicaEvent,
    SendMessage,
    StartWatch,
    StopWatch,
)
from trefoilpitch.configuration.replication._freshness import (
    Standing,
    is_confirmed,
    may_accept_changes,
    standing,
)
from trefoilpitch.configuration.replication._state import (
    ReplicaSettings,
    ReplicaState,
    create_replica,
)
from trefoilpitch.configuration.replication._status import (
    ReplicaStatus,
    describe_replica,
)
from trefoilpitch.configuration.replication._step import step
from trefoilpitch.peering import PeerTransport

_LOG = logbook.Logger("trefoilpitch.configuration")

StoreRequest: TypeAlias = ReadHead | ReadSnapshot | StartWatch | StopWatch


class ReplicaHost:
    """Feeds events to a replica and carries out its actions.

    ``handle`` belongs to one actor or thread; everything else may be called
    from any thread.

    Args:
        clock: Tells the time of each event.
        settings: How the replica keeps up.
        transport: Carries the messages.
        ask_store: Passes a request on to the actors that wait for the store.
        on_configuration: Called with each configuration put in force.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        settings: ReplicaSettings,
        transport: PeerTransport,
        ask_store: Callable[[StoreRequest], None],
        on_configuration: Callable[[Configuration], None],
    ) -> None:
        self._clock = clock
        self._state = create_replica(settings)
        self._transport = transport
        self._ask_store = ask_store
        self._on_configuration = on_configuration
        self._logged_standing = Standing.STARTING
        self._send_failures = 0

    @property
    def state(self) -> ReplicaState:
        """The replica's state, for dumps."""
        return self._state

    @property
    def send_failures(self) -> int:
        """Messages that the transport refused."""
        return self._send_failures

    def handle(self, event: ReplicaEvent) -> None:
        """Applies an event."""
        now_ms = self._clock.now_ms()
        self._state, actions = step(self._state, event, now_ms)
        for action in actions:
            self._carry_out(action)
        self._log_standing(now_ms)

    def standing(self) -> Standing:
        """Returns whether new work may be started now."""
        return standing(self._state, self._clock.now_ms())

    def may_accept_changes(self) -> bool:
        """Returns whether operators may change the configuration here."""
        return may_accept_changes(self._state, self._clock.now_ms())

    def is_confirmed(self, revision: int) -> bool:
        """Returns whether most failure domains have heard of a revision."""
        return is_confirmed(self._state, revision)

    def describe(self) -> ReplicaStatus:
        """Returns what operators see."""
        return describe_replica(self._state, self._clock.now_ms())

    def _carry_out(self, action: ReplicaAction) -> None:
        match action:
            case SendMessage():
                sent = self._transport.send(
                    action.address, action.message, urgent=action.is_urgent
                )
                self._send_failures += sent.map(lambda _: 0).value_or(1)
            case PutInForce():
                self._on_configuration(action.configuration)
            case _:
                self._ask_store(action)

    def _log_standing(self, now_ms: int) -> None:
        current = standing(self._state, now_ms)
        if current is not self._logged_standing:
            _LOG.info(
                "configuration {} at revision {}",
                current.value,
                self._state.revision,
            )
            self._logged_standing = current

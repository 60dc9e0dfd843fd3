"""Builds a replica's next state and actions while an event is handled."""

from __future__ import annotations

import enum
from typing import Any, TypeVar

from trefoilpitch.configuration.replication._events import (
    ReplicaAction,
    SendMessage,
)
from trefoilpitch.configuration.replication._freshness import standing
from trefoilpitch.configuration.replication._messages import (
    ReplicaMessage,
    RevisionProbe,
)
from trefoilpitch.configuration.replication._state import (
    OutstandingProbe,
    ReplicaState,
)

# Limits the memory for probes without a reply; the oldest are dropped.
_MAX_OUTSTANDING = 64
_NodeT = TypeVar("_NodeT")


def _replace_fields(node: _NodeT, fields: dict[str, Any]) -> _NodeT:
    """Faster ``dataclasses.replace`` for classes without slots.

    ``dataclasses.replace`` visits each of about thirty fields, which would
    take most of a step's time.
    """
    unknown = fields.keys() - node.__dict__.keys()
    if unknown:
        raise TypeError(f"unknown fields: {', '.join(sorted(unknown))}")
    copy = object.__new__(type(node))
    copy.__dict__.update(node.__dict__)
    copy.__dict__.update(fields)
    return copy


class Source(enum.Enum):
    """The source of a step's event; determines which peers to notify."""

    # This node's own read or write of the store: no other node may have it.
    READ = "read"
    # The watch: every relay with an open watch receives it as well.
    WATCH = "watch"
    # A peer, which notifies other failure domains itself.
    PEER = "peer"


class Transition:
    """Collects the state changes and the actions of one step.

    Args:
        state: The state before the step.
        now_ms: Monotonic time.
        source: The source of the step's event.
    """

    def __init__(
        self, state: ReplicaState, now_ms: int, source: Source
    ) -> None:
        self._initial = state
        self._state = state
        self._now_ms = now_ms
        self._source = source
        self._actions: list[ReplicaAction] = []

    @property
    def state(self) -> ReplicaState:
        """The state so far."""
        return self._state

    @property
    def now_ms(self) -> int:
        """Monotonic time."""
        return self._now_ms

    @property
    def source(self) -> Source:
        """The source of the step's event."""
        return self._source

    @property
    def actions(self) -> tuple[ReplicaAction, ...]:
        """The actions so far."""
        return tuple(self._actions)

    def update(self, **fields: Any) -> None:
        """Replaces fields of the state."""
        self._state = _replace_fields(self._state, fields)

    def count(self, **increments: int) -> None:
        """Increments counters, named by keyword."""
        counters = self._state.counters
        totals = {
            name: getattr(counters, name) + increment
            for name, increment in increments.items()
        }
        self.update(counters=_replace_fields(counters, totals))

    def add_action(self, action: ReplicaAction) -> None:
        """Adds an action for the caller of the step."""
        self._actions.append(action)

    def send(
        self, address: str, message: ReplicaMessage, *, is_urgent: bool = False
    ) -> None:
        """Adds the action to send a message."""
        self.add_action(
            SendMessage(address=address, message=message, is_urgent=is_urgent)
        )

    def probe(self, address: str, *, is_urgent: bool = False) -> None:
        """Sends a probe to a peer and tracks it until its reply."""
        state = self._state
        probe = OutstandingProbe(
            nonce=state.next_nonce, address=address, sent_ms=self._now_ms
        )
        outstanding = (*state.outstanding, probe)[-_MAX_OUTSTANDING:]
        self.update(next_nonce=probe.nonce + 1, outstanding=outstanding)
        self.count(probes_sent=1)
        message = RevisionProbe(nonce=probe.nonce, revision=state.revision)
        self.send(address, message, is_urgent=is_urgent)

    def record_head(self, revision: int, peer_ahead: str = "") -> None:
        """Records a committed revision if it is above the one in force.

        Args:
            revision: The revision.
            peer_ahead: Address of a peer that has it; empty if none is known.
        """
        state = self._state
        if revision <= state.revision:
            return
        if state.behind_since_ms is None:
            before = standing(self._initial, self._now_ms)
            self.update(
                behind_since_ms=self._now_ms,
                was_current_until_behind=before.admits_new_work,
            )
        if revision > state.head_revision:
            self.update(head_revision=revision)
        if peer_ahead:
            self.update(peer_ahead=peer_ahead)

    def record_proof(self, at_ms: int) -> None:
        """Records a time at which no higher revision was the head."""
        proven_ms = self._state.proven_ms
        if proven_ms is None or at_ms > proven_ms:
            self.update(proven_ms=at_ms)

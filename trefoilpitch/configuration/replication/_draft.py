"""A replica's next state while an event is being handled."""

from __future__ import annotations

import enum
from typing import Any, TypeVar

from trefoilpitch.configuration.replication._events import (
    ReplicaAction,
    SendMessage,
)
from trefoilpitch.configuration.replication._messages import (
    ReplicaMessage,
    RevisionProbe,
)
from trefoilpitch.configuration.replication._state import (
    OutstandingProbe,
    ReplicaState,
)

_MAX_OUTSTANDING = 64
_NodeT = TypeVar("_NodeT")


def _replace_fields(node: _NodeT, fields: dict[str, Any]) -> _NodeT:
    """Does what ``dataclasses.replace`` does, for classes without slots.

    Looking at each of some thirty fields, as that function does, would take
    most of a step's time.
    """
    unknown = fields.keys() - node.__dict__.keys()
    if unknown:
        raise TypeError(f"there is no field {', '.join(sorted(unknown))}")
    copy = object.__new__(type(node))
    copy.__dict__.update(node.__dict__)
    copy.__dict__.update(fields)
    return copy


class Source(enum.Enum):
    """Where the news of a step comes from; tells who may have it already."""

    # This node's own read or write of the store: nobody else may have it.
    READ = "read"
    # The watch: every relay with a watch has it.
    WATCH = "watch"
    # A peer, which tells other failure domains itself.
    PEER = "peer"


class Draft:
    """Collects the changes of state and the actions of one step.

    Args:
        state: The state before the step.
        now_ms: Monotonic time.
        source: Where the news of the step comes from.
    """

    def __init__(
        self, state: ReplicaState, now_ms: int, source: Source
    ) -> None:
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
        """Where the news of the step comes from."""
        return self._source

    @property
    def actions(self) -> tuple[ReplicaAction, ...]:
        """The actions so far."""
        return tuple(self._actions)

    def update(self, **fields: Any) -> None:
        """Replaces fields of the state."""
        self._state = _replace_fields(self._state, fields)

    def count(self, **increments: int) -> None:
        """Adds to counters."""
        counters = self._state.counters
        totals = {
            name: getattr(counters, name) + increment
            for name, increment in increments.items()
        }
        self.update(counters=_replace_fields(counters, totals))

    def act(self, action: ReplicaAction) -> None:
        """Asks for an action."""
        self._actions.append(action)

    def send(
        self, address: str, message: ReplicaMessage, *, is_urgent: bool = False
    ) -> None:
        """Asks for a message to be sent."""
        self.act(
            SendMessage(address=address, message=message, is_urgent=is_urgent)
        )

    def probe(self, address: str, *, is_urgent: bool = False) -> None:
        """Probes a peer."""
        state = self._state
        probe = OutstandingProbe(
            nonce=state.next_nonce, address=address, sent_ms=self._now_ms
        )
        outstanding = (*state.outstanding, probe)[-_MAX_OUTSTANDING:]
        self.update(next_nonce=probe.nonce + 1, outstanding=outstanding)
        self.count(probes_sent=1)
        message = RevisionProbe(nonce=probe.nonce, revision=state.revision)
        self.send(address, message, is_urgent=is_urgent)

    def note_head(self, revision: int, informant: str = "") -> None:
        """Takes note of a revision that exists.

        Args:
            revision: The revision.
            informant: A peer that has it, if any.
        """
        state = self._state
        if revision <= state.revision:
            return
        if state.behind_since_ms is None:
            self.update(behind_since_ms=self._now_ms)
        if revision > state.head_revision:
            self.update(head_revision=revision)
        if informant:
            self.update(informant=informant)

    def prove(self, at_ms: int) -> None:
        """Takes note that no higher revision was the head at a time."""
        proven_ms = self._state.proven_ms
        if proven_ms is None or at_ms > proven_ms:
            self.update(proven_ms=at_ms)

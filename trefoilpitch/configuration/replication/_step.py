"""The transition function of a replica."""

from __future__ import annotations

from typing import assert_never

from trefoilpitch.configuration.replication._events import (
    HeadRead,
    HeadReadFailed,
    HeadWatched,
    MessageReceived,
    PeersChanged,
    ReplicaAction,
    ReplicaEvent,
    SnapshotRead,
    SnapshotReadFailed,
    Tick,
    WatchEnded,
)
from trefoilpitch.configuration.replication._freshness import is_caught_up
from trefoilpitch.configuration.replication._peer_side import (
    on_message,
    on_peers_changed,
    tick_peers,
)
from trefoilpitch.configuration.replication._state import ReplicaState
from trefoilpitch.configuration.replication._store_side import (
    catch_up,
    on_head_read,
    on_head_read_failed,
    on_head_watched,
    on_snapshot_read,
    on_snapshot_read_failed,
    on_watch_ended,
    record_head_proof,
    tick_store,
)
from trefoilpitch.configuration.replication._transition import (
    Source,
    Transition,
)


def step(
    state: ReplicaState, event: ReplicaEvent, now_ms: int
) -> tuple[ReplicaState, tuple[ReplicaAction, ...]]:
    """Handles an event; returns the next state and the actions to perform.

    Args:
        state: The state before the event.
        event: The event.
        now_ms: Monotonic time, never less than in an earlier step.
    """
    transition = Transition(state, now_ms, _source_of(event))
    _dispatch(transition, event)
    record_head_proof(transition)
    catch_up(transition)
    if not transition.state.is_ready and is_caught_up(transition.state, now_ms):
        transition.update(is_ready=True)
    return transition.state, transition.actions


def _source_of(event: ReplicaEvent) -> Source:
    match event:
        case MessageReceived():
            return Source.PEER
        case HeadWatched():
            return Source.WATCH
        case _:
            return Source.READ


def _dispatch(transition: Transition, event: ReplicaEvent) -> None:
    match event:
        case Tick():
            tick_store(transition)
            tick_peers(transition)
        case PeersChanged():
            on_peers_changed(transition, event.peers)
        case MessageReceived():
            on_message(transition, event.address, event.message)
        case _:
            _dispatch_store_event(transition, event)


def _dispatch_store_event(
    transition: Transition,
    event: HeadRead
    | HeadReadFailed
    | HeadWatched
    | WatchEnded
    | SnapshotRead
    | SnapshotReadFailed,
) -> None:
    match event:
        case HeadRead():
            on_head_read(transition, event)
        case HeadReadFailed():
            on_head_read_failed(transition)
        case HeadWatched():
            on_head_watched(transition, event.value)
        case WatchEnded():
            on_watch_ended(transition)
        case SnapshotRead():
            on_snapshot_read(transition, event)
        case SnapshotReadFailed():
            on_snapshot_read_failed(transition)
        case _:
            assert_never(event)

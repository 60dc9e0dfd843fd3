"""The replica's one transition function."""

from __future__ import annotations

from typing import assert_never

from trefoilpitch.configuration.replication._draft import Draft, Source
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
    on_head_read,
    on_head_read_failed,
    on_head_watched,
    on_snapshot_read,
    on_snapshot_read_failed,
    on_watch_ended,
    prove_by_head,
    pursue,
    tick_store,
)


def step(
    state: ReplicaState, event: ReplicaEvent, now_ms: int
) -> tuple[ReplicaState, tuple[ReplicaAction, ...]]:
    """Returns the state after an event and what is to be done.

    Args:
        state: The state before.
        event: What happened.
        now_ms: Monotonic time, never less than in an earlier step.
    """
    draft = Draft(state, now_ms, _source_of(event))
    _handle(draft, event)
    prove_by_head(draft)
    pursue(draft)
    if not draft.state.is_ready and is_caught_up(draft.state, now_ms):
        draft.update(is_ready=True)
    return draft.state, draft.actions


def _source_of(event: ReplicaEvent) -> Source:
    match event:
        case MessageReceived():
            return Source.PEER
        case HeadWatched():
            return Source.WATCH
        case _:
            return Source.READ


def _handle(draft: Draft, event: ReplicaEvent) -> None:
    match event:
        case Tick():
            tick_store(draft)
            tick_peers(draft)
        case PeersChanged():
            on_peers_changed(draft, event.peers)
        case MessageReceived():
            on_message(draft, event.address, event.message)
        case _:
            _handle_store_event(draft, event)


def _handle_store_event(
    draft: Draft,
    event: HeadRead
    | HeadReadFailed
    | HeadWatched
    | WatchEnded
    | SnapshotRead
    | SnapshotReadFailed,
) -> None:
    match event:
        case HeadRead():
            on_head_read(draft, event)
        case HeadReadFailed():
            on_head_read_failed(draft)
        case HeadWatched():
            on_head_watched(draft, event.value)
        case WatchEnded():
            on_watch_ended(draft)
        case SnapshotRead():
            on_snapshot_read(draft, event)
        case SnapshotReadFailed():
            on_snapshot_read_failed(draft)
        case _:
            assert_never(event)

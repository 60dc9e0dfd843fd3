"""Synchronizes a replica with the store."""

from __future__ import annotations

from returns.result import Failure

from trefoilpitch.configuration._codec import decode_head
from trefoilpitch.configuration._head import HeadRecord
from trefoilpitch.configuration.replication._adopt import (
    adopt_head_deltas,
    adopt_snapshot,
    repair_from_snapshot,
)
from trefoilpitch.configuration.replication._events import (
    HeadRead,
    ReadHead,
    ReadSnapshot,
    SnapshotRead,
    StartWatch,
    StopWatch,
)
from trefoilpitch.configuration.replication._fetch import start_fetch
from trefoilpitch.configuration.replication._state import ReplicaState
from trefoilpitch.configuration.replication._transition import Transition

# Time between attempts to get a missing revision.
_CATCH_UP_INTERVAL_MS = 500


def on_head_read(transition: Transition, event: HeadRead) -> None:
    """Handles a completed read of the head."""
    state = transition.state
    if state.read_sent_ms is not None and event.sent_ms >= state.read_sent_ms:
        transition.update(read_sent_ms=None)
    transition.update(
        has_read=True,
        read_failures=0,
        next_read_ms=transition.now_ms + state.settings.read_interval_ms,
    )
    if event.value is None:
        _on_absent_head(transition, event.sent_ms)
        return
    head = _apply_head(transition, event.value)
    if head is None:
        return
    read_ms = transition.state.head_read_ms
    if read_ms is None or event.sent_ms > read_ms:
        transition.update(head_read_ms=event.sent_ms)
    if _has_diverged(transition, head):
        transition.count(divergences=1)
        _read_snapshot(transition)


def on_head_read_failed(transition: Transition) -> None:
    """Schedules the next read of the head with exponential back-off."""
    settings = transition.state.settings
    failures = transition.state.read_failures
    wait_ms = min(
        settings.read_interval_ms << min(failures, 8),
        settings.max_read_interval_ms,
    )
    transition.update(
        read_sent_ms=None,
        has_read=True,
        read_failures=failures + 1,
        next_read_ms=transition.now_ms + wait_ms,
    )
    transition.count(head_read_failures=1)


def on_head_watched(transition: Transition, value: bytes) -> None:
    """Handles a watched value.

    The value may be old, so it is no proof that its revision is the head.
    """
    _apply_head(transition, value)


def on_watch_ended(transition: Transition) -> None:
    """Schedules opening the watch again; regular reads bridge the gap."""
    interval_ms = transition.state.settings.read_interval_ms
    transition.update(
        is_watching=False, next_watch_ms=transition.now_ms + interval_ms
    )
    transition.count(watches_ended=1)


def on_snapshot_read(transition: Transition, event: SnapshotRead) -> None:
    """Handles a completed read of a snapshot."""
    transition.update(snapshot_read_sent_ms=None)
    head = transition.state.head
    if event.value is None:
        # A newer head has made the snapshot obsolete, and its writer has
        # deleted it: read the head again.
        transition.update(next_read_ms=transition.now_ms)
        return
    if head and _has_diverged(transition, head):
        repair_from_snapshot(transition, event.value, event.ref.digest)
    elif adopt_snapshot(transition, event.value, event.ref.digest):
        transition.count(store_snapshots=1)


def on_snapshot_read_failed(transition: Transition) -> None:
    """Clears the pending read; the next catch-up repeats it."""
    transition.update(snapshot_read_sent_ms=None)


def tick_store(transition: Transition) -> None:
    """Times out pending reads, and starts reads and watches that are due."""
    state, settings = transition.state, transition.state.settings
    timed_out_ms = transition.now_ms - settings.read_timeout_ms
    if state.read_sent_ms is not None and state.read_sent_ms <= timed_out_ms:
        on_head_read_failed(transition)
    sent_ms = state.snapshot_read_sent_ms
    if sent_ms is not None and sent_ms <= timed_out_ms:
        on_snapshot_read_failed(transition)
    _tick_watch(transition)
    if _is_read_due(transition):
        transition.update(read_sent_ms=transition.now_ms)
        transition.count(head_reads=1)
        transition.add_action(ReadHead())


def catch_up(transition: Transition) -> None:
    """Requests what is missing up to the highest known revision.

    Probes a peer that has the revision for deltas first, then fetches its
    snapshot, then reads the store's. If deltas are disabled, a relay uses
    only the store while it is available.
    """
    state = transition.state
    if not state.is_behind:
        return
    if _uses_only_store(state):
        _catch_up_from_store(transition)
        return
    if state.peer_ahead and state.probed_revision < state.head_revision:
        transition.update(probed_revision=state.head_revision)
        transition.probe(state.peer_ahead, is_urgent=True)
        return
    if transition.now_ms < state.next_catch_up_ms:
        return
    if state.fetch or state.snapshot_read_sent_ms is not None:
        return
    if state.outstanding and not _is_peer_wait_over(transition):
        return
    transition.update(
        next_catch_up_ms=transition.now_ms + _CATCH_UP_INTERVAL_MS
    )
    if state.peer_ahead:
        start_fetch(transition, state.peer_ahead)
    elif state.head and state.head.revision > state.revision:
        _read_snapshot(transition)
    elif state.read_failures == 0:
        transition.update(
            next_read_ms=min(state.next_read_ms, transition.now_ms)
        )


def _uses_only_store(state: ReplicaState) -> bool:
    keeps_deltas = state.settings.max_log_bytes > 0
    return state.links.is_relay and not keeps_deltas and not state.read_failures


def _catch_up_from_store(transition: Transition) -> None:
    state = transition.state
    if state.head is None or state.head.revision <= state.revision:
        transition.update(
            next_read_ms=min(state.next_read_ms, transition.now_ms)
        )
    elif transition.now_ms >= state.next_catch_up_ms:
        transition.update(
            next_catch_up_ms=transition.now_ms + _CATCH_UP_INTERVAL_MS
        )
        _read_snapshot(transition)


def record_head_proof(transition: Transition) -> None:
    """Records the last read of the head as proof if it matches the state."""
    state = transition.state
    if state.head is None or state.head_read_ms is None:
        return
    in_force = (state.revision, state.digest)
    if (state.head.revision, state.head.digest) == in_force:
        transition.record_proof(state.head_read_ms)


def _on_absent_head(transition: Transition, sent_ms: int) -> None:
    if transition.state.revision == 0:
        transition.record_proof(sent_ms)
    else:
        transition.count(stale_heads=1)


def _apply_head(transition: Transition, value: bytes) -> HeadRecord | None:
    """Applies a head; returns None if it is corrupted or stale."""
    decoded = decode_head(value)
    if isinstance(decoded, Failure):
        transition.count(damaged=1)
        return None
    head = decoded.unwrap()
    if head.revision < transition.state.revision:
        transition.count(stale_heads=1)
        return None
    current_head = transition.state.head
    if current_head is None or head.revision >= current_head.revision:
        transition.update(head=head)
    transition.record_head(head.revision)
    adopt_head_deltas(transition)
    return head


def _read_snapshot(transition: Transition) -> None:
    head = transition.state.head
    if head is None or head.snapshot is None:
        return
    if transition.state.snapshot_read_sent_ms is None:
        transition.update(snapshot_read_sent_ms=transition.now_ms)
        transition.add_action(ReadSnapshot(head.snapshot))


def _has_diverged(transition: Transition, head: HeadRecord) -> bool:
    state = transition.state
    return head.revision == state.revision and head.digest != state.digest


def _is_peer_wait_over(transition: Transition) -> bool:
    """Returns whether peers have had a probe's time-out to send deltas."""
    since_ms = transition.state.behind_since_ms
    if since_ms is None:
        return False
    return (
        transition.now_ms - since_ms
        >= transition.state.settings.probe_timeout_ms
    )


def _tick_watch(transition: Transition) -> None:
    state = transition.state
    if state.is_watching and not state.links.is_relay:
        transition.update(is_watching=False)
        transition.add_action(StopWatch())
    is_due = state.links.is_relay and transition.now_ms >= state.next_watch_ms
    if is_due and not state.is_watching:
        transition.update(is_watching=True)
        transition.add_action(StartWatch())


def _is_read_due(transition: Transition) -> bool:
    state = transition.state
    if state.read_sent_ms is not None or transition.now_ms < state.next_read_ms:
        return False
    if state.links.is_relay or not state.is_ready or state.proven_ms is None:
        return True
    if _is_peer_wait_over(transition):
        return True
    return transition.now_ms - state.proven_ms > state.settings.own_read_age_ms

"""How a replica learns from the store."""

from __future__ import annotations

from returns.result import Failure

from trefoilpitch.configuration._codec import decode_head
from trefoilpitch.configuration._head import HeadRecord
from trefoilpitch.configuration.replication._adopt import (
    adopt_head_deltas,
    adopt_snapshot,
    repair_from_snapshot,
)
from trefoilpitch.configuration.replication._draft import Draft
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

# Time before a snapshot that could not be had is asked for again.
_PURSUIT_INTERVAL_MS = 500


def on_head_read(draft: Draft, event: HeadRead) -> None:
    """Handles the store's answer to a read of the head."""
    state = draft.state
    if state.read_sent_ms is not None and event.sent_ms >= state.read_sent_ms:
        draft.update(read_sent_ms=None)
    draft.update(
        has_read=True,
        read_failures=0,
        next_read_ms=draft.now_ms + state.settings.read_interval_ms,
    )
    if event.value is None:
        _on_absent_head(draft, event.sent_ms)
        return
    head = _take_head(draft, event.value)
    if head is None:
        return
    read_ms = draft.state.head_read_ms
    if read_ms is None or event.sent_ms > read_ms:
        draft.update(head_read_ms=event.sent_ms)
    if _has_diverged(draft, head):
        draft.count(divergences=1)
        _read_snapshot(draft)


def on_head_read_failed(draft: Draft) -> None:
    """Waits longer before the next read of a store that does not answer."""
    settings = draft.state.settings
    failures = draft.state.read_failures
    wait_ms = min(
        settings.read_interval_ms << min(failures, 8),
        settings.max_read_interval_ms,
    )
    draft.update(
        read_sent_ms=None,
        has_read=True,
        read_failures=failures + 1,
        next_read_ms=draft.now_ms + wait_ms,
    )
    draft.count(head_read_failures=1)


def on_head_watched(draft: Draft, value: bytes) -> None:
    """Handles a value that the watch told; it proves nothing by itself."""
    _take_head(draft, value)


def on_watch_ended(draft: Draft) -> None:
    """Opens the watch again after a while, and reads what it missed."""
    interval_ms = draft.state.settings.read_interval_ms
    draft.update(is_watching=False, next_watch_ms=draft.now_ms + interval_ms)
    draft.count(watches_ended=1)


def on_snapshot_read(draft: Draft, event: SnapshotRead) -> None:
    """Handles the store's answer to a read of a snapshot."""
    draft.update(snapshot_read_sent_ms=None)
    head = draft.state.head
    if event.value is None:
        # A newer head has made the snapshot obsolete since.
        draft.update(next_read_ms=draft.now_ms)
        return
    if head and _has_diverged(draft, head):
        repair_from_snapshot(draft, event.value, event.ref.digest)
    elif adopt_snapshot(draft, event.value, event.ref.digest):
        draft.count(store_snapshots=1)


def on_snapshot_read_failed(draft: Draft) -> None:
    """Leaves the snapshot for a later attempt."""
    draft.update(snapshot_read_sent_ms=None)


def tick_store(draft: Draft) -> None:
    """Gives up on reads that were lost and starts those that are due."""
    state, settings = draft.state, draft.state.settings
    timed_out_ms = draft.now_ms - settings.read_timeout_ms
    if state.read_sent_ms is not None and state.read_sent_ms <= timed_out_ms:
        on_head_read_failed(draft)
    sent_ms = state.snapshot_read_sent_ms
    if sent_ms is not None and sent_ms <= timed_out_ms:
        on_snapshot_read_failed(draft)
    _tick_watch(draft)
    if _is_read_due(draft):
        draft.update(read_sent_ms=draft.now_ms)
        draft.count(head_reads=1)
        draft.act(ReadHead())


def pursue(draft: Draft) -> None:
    """Asks for what leads to the highest revision heard of.

    A peer that has the revision is asked for deltas, then for its snapshot,
    then the store for its own. Without deltas a relay goes to the store alone
    as long as that answers.
    """
    state = draft.state
    if not state.is_behind:
        return
    if _uses_store_alone(state):
        _pursue_at_store(draft)
        return
    if state.informant and state.probed_revision < state.head_revision:
        draft.update(probed_revision=state.head_revision)
        draft.probe(state.informant, is_urgent=True)
        return
    if draft.now_ms < state.next_pursuit_ms:
        return
    if state.fetch or state.snapshot_read_sent_ms is not None:
        return
    if state.outstanding and not _is_overdue(draft):
        return
    draft.update(next_pursuit_ms=draft.now_ms + _PURSUIT_INTERVAL_MS)
    if state.informant:
        start_fetch(draft, state.informant)
    elif state.head and state.head.revision > state.revision:
        _read_snapshot(draft)
    elif state.read_failures == 0:
        draft.update(next_read_ms=min(state.next_read_ms, draft.now_ms))


def _uses_store_alone(state: ReplicaState) -> bool:
    keeps_deltas = state.settings.max_log_bytes > 0
    return state.links.is_relay and not keeps_deltas and not state.read_failures


def _pursue_at_store(draft: Draft) -> None:
    state = draft.state
    if state.head is None or state.head.revision <= state.revision:
        draft.update(next_read_ms=min(state.next_read_ms, draft.now_ms))
    elif draft.now_ms >= state.next_pursuit_ms:
        draft.update(next_pursuit_ms=draft.now_ms + _PURSUIT_INTERVAL_MS)
        _read_snapshot(draft)


def prove_by_head(draft: Draft) -> None:
    """Takes the last read of the head as proof if it is what is in force."""
    state = draft.state
    if state.head is None or state.head_read_ms is None:
        return
    in_force = (state.revision, state.digest)
    if (state.head.revision, state.head.digest) == in_force:
        draft.prove(state.head_read_ms)


def _on_absent_head(draft: Draft, sent_ms: int) -> None:
    if draft.state.revision == 0:
        draft.prove(sent_ms)
    else:
        draft.count(stale_heads=1)


def _take_head(draft: Draft, value: bytes) -> HeadRecord | None:
    """Applies a head; returns it unless it is damaged or old."""
    decoded = decode_head(value)
    if isinstance(decoded, Failure):
        draft.count(damaged=1)
        return None
    head = decoded.unwrap()
    if head.revision < draft.state.revision:
        draft.count(stale_heads=1)
        return None
    known = draft.state.head
    if known is None or head.revision >= known.revision:
        draft.update(head=head)
    draft.note_head(head.revision)
    adopt_head_deltas(draft)
    return head


def _read_snapshot(draft: Draft) -> None:
    head = draft.state.head
    if head is None or head.snapshot is None:
        return
    if draft.state.snapshot_read_sent_ms is None:
        draft.update(snapshot_read_sent_ms=draft.now_ms)
        draft.act(ReadSnapshot(head.snapshot))


def _has_diverged(draft: Draft, head: HeadRecord) -> bool:
    state = draft.state
    return head.revision == state.revision and head.digest != state.digest


def _is_overdue(draft: Draft) -> bool:
    """Tells whether peers have had their time to help the replica on."""
    since_ms = draft.state.behind_since_ms
    if since_ms is None:
        return False
    return draft.now_ms - since_ms >= draft.state.settings.probe_timeout_ms


def _tick_watch(draft: Draft) -> None:
    state = draft.state
    if state.is_watching and not state.links.is_relay:
        draft.update(is_watching=False)
        draft.act(StopWatch())
    is_due = state.links.is_relay and draft.now_ms >= state.next_watch_ms
    if is_due and not state.is_watching:
        draft.update(is_watching=True)
        draft.act(StartWatch())


def _is_read_due(draft: Draft) -> bool:
    state = draft.state
    if state.read_sent_ms is not None or draft.now_ms < state.next_read_ms:
        return False
    if state.links.is_relay or not state.is_ready or state.proven_ms is None:
        return True
    if _is_overdue(draft):
        return True
    return draft.now_ms - state.proven_ms > state.settings.own_read_age_ms

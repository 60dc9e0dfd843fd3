"""What has to be written to commit a change; no input or output."""

from __future__ import annotations

import dataclasses

from returns.result import Failure, Result, Success

from trefoilpitch.configuration._apply import apply_change
from trefoilpitch.configuration._changes import Change
from trefoilpitch.configuration._codec import (
    digest_of,
    encode_delta,
    encode_snapshot,
)
from trefoilpitch.configuration._deltas import (
    Delta,
    ReplaceBundle,
    record_change,
)
from trefoilpitch.configuration._exceptions import ChangeError, Refusal
from trefoilpitch.configuration._head import HeadRecord, SnapshotRef
from trefoilpitch.configuration._nodes import Configuration

# The store holds values of up to a megabyte.
MAX_SNAPSHOT_BYTES = 990_000
# Every watcher gets the head on every change, and relays read it to prove
# that they are current, so it stays small.
MAX_HEAD_DELTA_BYTES = 4_096


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommitPlan:
    """The writes of one commit, snapshot first."""

    # The new head.
    head: HeadRecord
    # The snapshot that the new head refers to, None if it keeps its own.
    snapshot: bytes | None
    # The configuration that the new head stands for.
    after: Configuration
    # A snapshot that nothing refers to once the head is written.
    obsolete: SnapshotRef | None


def plan_commit(
    head: HeadRecord,
    before: Configuration,
    change: Change,
    max_delta_bytes: int = MAX_HEAD_DELTA_BYTES,
) -> Result[CommitPlan, ChangeError]:
    """Returns what to write, or why the change is refused.

    Args:
        head: The head that the commit follows.
        before: The configuration that the head stands for.
        change: The change.
        max_delta_bytes: Deltas kept in the head; at 0 every change takes a
            snapshot.
    """
    applied = apply_change(before, change)
    if isinstance(applied, Failure):
        return applied
    after = applied.unwrap()
    encoded = encode_snapshot(after)
    if len(encoded) > MAX_SNAPSHOT_BYTES:
        message = (
            f"the configuration would take {len(encoded)} bytes; at most "
            f"{MAX_SNAPSHOT_BYTES}"
        )
        return Failure(ChangeError(refusal=Refusal.TOO_LARGE, message=message))
    delta = Delta(revision=after.revision, change=record_change(before, change))
    return Success(_plan(head, after, encoded, delta, max_delta_bytes))


def trim_deltas(deltas: tuple[Delta, ...], max_bytes: int) -> tuple[Delta, ...]:
    """Returns the newest deltas that fit, always the last one."""
    kept: list[Delta] = []
    size = 0
    for delta in reversed(deltas):
        size += len(encode_delta(delta))
        if kept and size > max_bytes:
            break
        kept.append(delta)
    return tuple(reversed(kept))


def _plan(
    head: HeadRecord,
    after: Configuration,
    encoded: bytes,
    delta: Delta,
    max_delta_bytes: int,
) -> CommitPlan:
    deltas = (*head.deltas, delta)
    digest = digest_of(encoded)
    fits = len(trim_deltas(deltas, max_delta_bytes)) == len(deltas)
    if fits and not isinstance(delta.change, ReplaceBundle) and head.snapshot:
        new_head = dataclasses.replace(
            head, revision=after.revision, digest=digest, deltas=deltas
        )
        return CommitPlan(
            head=new_head, snapshot=None, after=after, obsolete=None
        )
    new_head = HeadRecord(
        revision=after.revision,
        digest=digest,
        snapshot=SnapshotRef(revision=after.revision, digest=digest),
        previous=head.snapshot,
        # Half, so that the next changes find room.
        deltas=trim_deltas(deltas, max_delta_bytes // 2),
    )
    return CommitPlan(
        head=new_head, snapshot=encoded, after=after, obsolete=head.previous
    )

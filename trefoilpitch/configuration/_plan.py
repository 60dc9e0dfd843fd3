"""Plans the store writes of a commit, without performing I/O."""

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

# Store values are limited to 1 MB.
MAX_SNAPSHOT_BYTES = 990_000
# Total size of the deltas in the head. The head is kept small because every
# watcher receives it on each change and relays read it every
# ``read_interval_ms`` to prove that their revision is the newest.
MAX_HEAD_DELTA_BYTES = 4_096


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommitPlan:
    """The writes of one commit; the snapshot is written before the head."""

    # The new head.
    head: HeadRecord
    # The encoded snapshot that the new head refers to; None if the head keeps
    # the snapshot it has.
    snapshot: bytes | None
    # The configuration at the new head's revision.
    after: Configuration
    # A snapshot to delete once the head is written; None if there is none.
    obsolete: SnapshotRef | None


def plan_commit(
    head: HeadRecord,
    before: Configuration,
    change: Change,
    max_delta_bytes: int = MAX_HEAD_DELTA_BYTES,
) -> Result[CommitPlan, ChangeError]:
    """Returns what to write, or why the change is refused.

    Args:
        head: The head that the commit replaces.
        before: The configuration at the head's revision.
        change: The requested change.
        max_delta_bytes: Size limit of the deltas in the head; 0 writes a
            snapshot for every change.
    """
    applied = apply_change(before, change)
    if isinstance(applied, Failure):
        return applied
    after = applied.unwrap()
    encoded = encode_snapshot(after)
    if len(encoded) > MAX_SNAPSHOT_BYTES:
        message = (
            f"the configuration would take {len(encoded)} bytes; the limit is "
            f"{MAX_SNAPSHOT_BYTES}"
        )
        return Failure(ChangeError(refusal=Refusal.TOO_LARGE, message=message))
    delta = Delta(revision=after.revision, change=record_change(before, change))
    return Success(_plan(head, after, encoded, delta, max_delta_bytes))


def trim_deltas(deltas: tuple[Delta, ...], max_bytes: int) -> tuple[Delta, ...]:
    """Returns the newest deltas that fit, at least the last one."""
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
        # Half, so that the next changes fit without a new snapshot.
        deltas=trim_deltas(deltas, max_delta_bytes // 2),
    )
    return CommitPlan(
        head=new_head, snapshot=encoded, after=after, obsolete=head.previous
    )

"""Commits changes to the store, each at most once."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from returns.result import Failure, Result, Success

from trefoilpitch.bundle import check_bundle
from trefoilpitch.configuration._changes import Change, SignOffBundle
from trefoilpitch.configuration._codec import (
    encode_head,
)
from trefoilpitch.configuration._commit_errors import (
    change_id_reused,
    change_refused,
    conflict,
    conflict_not_visible,
    outcome_unknown,
)
from trefoilpitch.configuration._deltas import records_change
from trefoilpitch.configuration._exceptions import (
    ChangeError,
    CommitError,
    Refusal,
    StaleStoreError,
)
from trefoilpitch.configuration._head import HEAD_KEY, HeadRecord, SnapshotRef
from trefoilpitch.configuration._head_reader import (
    HeadReader,
    HeadStore,
    StoredHead,
    unavailable,
)
from trefoilpitch.configuration._nodes import Configuration
from trefoilpitch.configuration._plan import (
    MAX_HEAD_DELTA_BYTES,
    CommitPlan,
    plan_commit,
)
from trefoilpitch.store import (
    ABSENT,
    ConflictError,
    NotAppliedError,
)

# Attempts to write the head, and to read it after a conflict, before the
# outcome of a commit is reported as unknown.
_MAX_RESOLVE_ATTEMPTS = 4
# Attempts to write a snapshot; the response to any of them may be lost.
_MAX_SNAPSHOT_ATTEMPTS = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """A committed change."""

    # The revision that it created.
    revision: int
    # The encoded head, with which this node updates its own replica.
    head_value: bytes
    # Whether an earlier call with the same change id committed it.
    is_repeated: bool = False


_Outcome: TypeAlias = Result[Committed, CommitError]


class ConfigurationWriter:
    """Commits changes by compare-and-swap on the head key.

    Calls block on the store. Not thread-safe.

    Args:
        store: The platform's key-value service.
        max_delta_bytes: Size limit of the deltas in the head; 0 writes a
            snapshot for every change.
    """

    def __init__(self, store: HeadStore, max_delta_bytes: int) -> None:
        self._store = store
        self._max_delta_bytes = max_delta_bytes
        self._reader = HeadReader(store)

    def commit(
        self,
        change: Change,
        *,
        expected_revision: int | None = None,
        known_revision: int = 0,
    ) -> Result[Committed, CommitError]:
        """Commits a change, or returns why it was not or may not be committed.

        Idempotent by change id as long as the head still lists the change: a
        repeated call returns the first commit.

        Args:
            change: The requested change.
            expected_revision: The revision that the operator based the change
                on; any other current revision is a conflict. None accepts
                any.
            known_revision: The revision in force on this node. A store that
                returns a lower one is stale.
        """
        faults = _find_bundle_faults(change)
        if faults is not None:
            return faults
        read = self._reader.read()
        if isinstance(read, Failure):
            return read
        base = read.unwrap()
        if base.head.find_change(change.change_id):
            return _resolve_recorded(base, change, is_repeated=True)
        stale = _check_base(base.head, expected_revision, known_revision)
        if stale is not None:
            return stale
        return self._reader.materialize(base.head).bind(
            lambda before: self._commit_on(base, before, change)
        )

    def _commit_on(
        self, base: StoredHead, before: Configuration, change: Change
    ) -> _Outcome:
        planned = plan_commit(base.head, before, change, self._max_delta_bytes)
        if isinstance(planned, Failure):
            return change_refused(planned.failure())
        plan = planned.unwrap()
        unwritten = self._write_snapshot(plan)
        if unwritten is not None:
            return unwritten
        outcome = self._write_head(base, change, plan)
        if isinstance(outcome, Success) and plan.obsolete:
            self._delete_snapshot(plan.obsolete)
        return outcome

    def _write_snapshot(self, plan: CommitPlan) -> _Outcome | None:
        """Writes the snapshot, if there is one; returns None on success."""
        if plan.snapshot is None or plan.head.snapshot is None:
            return None
        key = plan.head.snapshot.key
        for _ in range(_MAX_SNAPSHOT_ATTEMPTS):
            written = self._store.put_if(key, plan.snapshot, ABSENT)
            if isinstance(written, Success):
                return None
            error = written.failure()
            # The key contains the digest, so the existing value is the same.
            if isinstance(error, ConflictError):
                return None
        return unavailable(error)

    def _write_head(
        self, base: StoredHead, change: Change, plan: CommitPlan
    ) -> _Outcome:
        """Writes the head.

        Retries a write whose outcome is unknown. Every attempt expects the
        same base revision, so at most one of them succeeds.
        """
        value = encode_head(plan.head)
        may_be_applied = False
        for _ in range(_MAX_RESOLVE_ATTEMPTS):
            written = self._store.put_if(HEAD_KEY, value, base.store_revision)
            if isinstance(written, Success):
                self._reader.cache(plan.after)
                return Success(
                    Committed(revision=plan.after.revision, head_value=value)
                )
            error = written.failure()
            if isinstance(error, ConflictError):
                return self._resolve_conflict(base, change, may_be_applied)
            if isinstance(error, NotAppliedError) and not may_be_applied:
                return unavailable(error)
            may_be_applied = True
            resolved = self._resolve_unknown(base, change)
            if resolved is not None:
                return resolved
        return outcome_unknown(change)

    def _resolve_unknown(
        self, base: StoredHead, change: Change
    ) -> _Outcome | None:
        """Returns the outcome read from the head; None to retry."""
        read = self._reader.read()
        if isinstance(read, Failure):
            return None
        now = read.unwrap()
        if now.head.find_change(change.change_id):
            return _resolve_recorded(now, change, is_repeated=False)
        if now.store_revision > base.store_revision:
            return _resolve_superseded(base, now, change)
        return None

    def _resolve_conflict(
        self, base: StoredHead, change: Change, may_be_applied: bool
    ) -> _Outcome:
        """Reads until the store returns a newer head than the base.

        The conflict proves that there is one, but reads may be stale.
        """
        for _ in range(_MAX_RESOLVE_ATTEMPTS):
            resolved = self._resolve_unknown(base, change)
            if resolved is not None:
                return resolved
        if may_be_applied:
            return outcome_unknown(change)
        return conflict_not_visible(base.head)

    def _delete_snapshot(self, ref: SnapshotRef) -> None:
        """Deletes a snapshot; errors are ignored, as a leftover is harmless."""
        entry = self._store.get(ref.key).value_or(None)
        if entry is not None:
            self._store.delete_if(ref.key, entry.revision)


def configuration_writer(
    store: HeadStore, *, max_delta_bytes: int = MAX_HEAD_DELTA_BYTES
) -> ConfigurationWriter:
    """Creates a writer.

    Args:
        store: The platform's key-value service.
        max_delta_bytes: Size limit of the deltas in the head, capped at the
            default; 0 writes a snapshot for every change.
    """
    return ConfigurationWriter(
        store, min(max_delta_bytes, MAX_HEAD_DELTA_BYTES)
    )


def _find_bundle_faults(change: Change) -> _Outcome | None:
    if not isinstance(change, SignOffBundle):
        return None
    faults = check_bundle(change.bundle)
    if not faults:
        return None
    message = "\n".join(str(fault) for fault in faults)
    error = ChangeError(refusal=Refusal.FAULTY_BUNDLE, message=message)
    return change_refused(error)


def _check_base(
    head: HeadRecord, expected_revision: int | None, known_revision: int
) -> _Outcome | None:
    if head.revision < known_revision:
        message = (
            f"the store returned revision {head.revision}, but revision "
            f"{known_revision} is in force on this node; nothing was changed"
        )
        return Failure(StaleStoreError(message=message))
    if expected_revision is not None and head.revision != expected_revision:
        return conflict(head, expected_revision)
    return None


def _resolve_recorded(
    now: StoredHead, change: Change, *, is_repeated: bool
) -> _Outcome:
    """Returns the outcome for a change id that the head lists."""
    delta = now.head.find_change(change.change_id)
    if delta is None or not records_change(delta.change, change):
        return change_id_reused(change)
    return Success(
        Committed(
            revision=delta.revision,
            head_value=now.value,
            is_repeated=is_repeated,
        )
    )


def _resolve_superseded(
    base: StoredHead, now: StoredHead, change: Change
) -> _Outcome:
    """Returns the outcome when a newer head does not list the change."""
    if not now.head.covers(base.head.revision):
        return outcome_unknown(change)
    return conflict(now.head, base.head.revision)

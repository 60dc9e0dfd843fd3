"""Commits changes to the store, each exactly once."""

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
    conflict,
    conflict_unseen,
    refused,
    reused,
    unknown,
)
from trefoilpitch.configuration._deltas import is_record_of
from trefoilpitch.configuration._exceptions import (
    ChangeError,
    CommitError,
    Refusal,
    StoreBehindError,
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

_MAX_SETTLE_ATTEMPTS = 4
# Tries of a write whose reply is lost, as the reply of a try may be again.
_MAX_SNAPSHOT_ATTEMPTS = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """A change that is part of the configuration for good."""

    # The revision that it made.
    revision: int
    # The head as the store holds it, for the own replica.
    head_value: bytes
    # Whether it was committed by an earlier call with the same change id.
    is_repeated: bool = False


_Outcome: TypeAlias = Result[Committed, CommitError]


class ConfigurationWriter:
    """Commits changes by compare-and-swap on the head key.

    Calls block on the store; use it from one thread at a time.

    Args:
        store: The platform's key-value service.
        max_delta_bytes: Deltas kept in the head; at 0 every change writes a
            snapshot.
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
        """Commits a change, or says why nothing or perhaps nothing was done.

        Committing again with the same change id changes nothing and returns
        the first commit, as long as the head still lists it.

        Args:
            change: The change.
            expected_revision: The revision that the operator looked at; any
                later one is then a conflict.
            known_revision: The revision in force at this node; the store may
                not show less.
        """
        faults = _find_bundle_faults(change)
        if faults is not None:
            return faults
        read = self._reader.read()
        if isinstance(read, Failure):
            return read
        base = read.unwrap()
        if base.head.find_change(change.change_id):
            return _settle_found(base, change, is_repeated=True)
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
            return refused(planned.failure())
        plan = planned.unwrap()
        unwritten = self._write_snapshot(plan)
        if unwritten is not None:
            return unwritten
        outcome = self._write_head(base, change, plan)
        if isinstance(outcome, Success) and plan.obsolete:
            self._delete_snapshot(plan.obsolete)
        return outcome

    def _write_snapshot(self, plan: CommitPlan) -> _Outcome | None:
        """Writes the snapshot; returns only a failure to do so."""
        if plan.snapshot is None or plan.head.snapshot is None:
            return None
        key = plan.head.snapshot.key
        for _ in range(_MAX_SNAPSHOT_ATTEMPTS):
            written = self._store.put_if(key, plan.snapshot, ABSENT)
            if isinstance(written, Success):
                return None
            error = written.failure()
            # The key names its content, so whoever wrote it wrote the same.
            if isinstance(error, ConflictError):
                return None
        return unavailable(error)

    def _write_head(
        self, base: StoredHead, change: Change, plan: CommitPlan
    ) -> _Outcome:
        """Writes the head.

        A write whose outcome is unknown is tried again: every try compares
        with the same base, so that at most one of them succeeds.
        """
        value = encode_head(plan.head)
        is_doubtful = False
        for _ in range(_MAX_SETTLE_ATTEMPTS):
            written = self._store.put_if(HEAD_KEY, value, base.store_revision)
            if isinstance(written, Success):
                self._reader.remember(plan.after)
                return Success(
                    Committed(revision=plan.after.revision, head_value=value)
                )
            error = written.failure()
            if isinstance(error, ConflictError):
                return self._settle_conflict(base, change, is_doubtful)
            if isinstance(error, NotAppliedError) and not is_doubtful:
                return unavailable(error)
            is_doubtful = True
            settled = self._settle_doubt(base, change)
            if settled is not None:
                return settled
        return unknown(change)

    def _settle_doubt(
        self, base: StoredHead, change: Change
    ) -> _Outcome | None:
        """Returns what became of a write, None if it may be tried again."""
        read = self._reader.read()
        if isinstance(read, Failure):
            return None
        now = read.unwrap()
        if now.head.find_change(change.change_id):
            return _settle_found(now, change, is_repeated=False)
        if now.store_revision > base.store_revision:
            return _settle_moved(base, now, change)
        return None

    def _settle_conflict(
        self, base: StoredHead, change: Change, is_doubtful: bool
    ) -> _Outcome:
        """Reads past the base, which the store has certainly left."""
        for _ in range(_MAX_SETTLE_ATTEMPTS):
            settled = self._settle_doubt(base, change)
            if settled is not None:
                return settled
        if is_doubtful:
            return unknown(change)
        return conflict_unseen(base.head)

    def _delete_snapshot(self, ref: SnapshotRef) -> None:
        """Deletes a snapshot; one that stays behind does no harm."""
        entry = self._store.get(ref.key).value_or(None)
        if entry is not None:
            self._store.delete_if(ref.key, entry.revision)


def configuration_writer(
    store: HeadStore, *, max_delta_bytes: int = MAX_HEAD_DELTA_BYTES
) -> ConfigurationWriter:
    """Creates a writer.

    Args:
        store: The platform's key-value service.
        max_delta_bytes: Deltas kept in the head, at most the default; at 0
            every change writes a snapshot.
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
    return refused(error)


def _check_base(
    head: HeadRecord, expected_revision: int | None, known_revision: int
) -> _Outcome | None:
    if head.revision < known_revision:
        message = (
            f"the store shows revision {head.revision}, but "
            f"{known_revision} is in force here; nothing was changed"
        )
        return Failure(StoreBehindError(message=message))
    if expected_revision is not None and head.revision != expected_revision:
        return conflict(head, expected_revision)
    return None


def _settle_found(
    now: StoredHead, change: Change, *, is_repeated: bool
) -> _Outcome:
    """The head lists the change id."""
    delta = now.head.find_change(change.change_id)
    if delta is None or not is_record_of(delta.change, change):
        return reused(change)
    return Success(
        Committed(
            revision=delta.revision,
            head_value=now.value,
            is_repeated=is_repeated,
        )
    )


def _settle_moved(
    base: StoredHead, now: StoredHead, change: Change
) -> _Outcome:
    """The head moved on without listing the change."""
    if not now.head.covers(base.head.revision):
        return unknown(change)
    return conflict(now.head, base.head.revision)

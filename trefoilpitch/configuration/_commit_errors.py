"""Builds the errors of commits, with what operators are told."""

from __future__ import annotations

from returns.result import Failure

from trefoilpitch.configuration._changes import Change
from trefoilpitch.configuration._describe import describe_delta
from trefoilpitch.configuration._exceptions import (
    ChangeError,
    ChangeRefusedError,
    CommitError,
    CommitUnknownError,
    Refusal,
    RevisionConflictError,
)
from trefoilpitch.configuration._head import HeadRecord


def conflict(head: HeadRecord, since: int) -> Failure[CommitError]:
    """Others made the revisions above the one that a change is based on."""
    lines = tuple(describe_delta(delta) for delta in head.deltas_since(since))
    summary = (
        f"the configuration is at revision {head.revision}, not {since}; "
        "nothing was changed"
    )
    return Failure(
        RevisionConflictError(
            message="\n".join((summary, *lines)),
            current_revision=head.revision,
            changed_since=lines,
        )
    )


def conflict_unseen(base: HeadRecord) -> Failure[CommitError]:
    """The head was changed, but reads do not show it yet."""
    message = (
        f"the configuration has changed since revision {base.revision}, and "
        "the store does not show how yet; nothing was changed"
    )
    return Failure(
        RevisionConflictError(
            message=message,
            current_revision=base.revision + 1,
            changed_since=(),
        )
    )


def refused(error: ChangeError) -> Failure[CommitError]:
    """The rules of the configuration refuse the change."""
    return Failure(
        ChangeRefusedError(message=error.message, refusal=error.refusal)
    )


def reused(change: Change) -> Failure[CommitError]:
    """The change id stands for another change."""
    message = f"change id {change.change_id!r} was used for another change"
    return Failure(
        ChangeRefusedError(message=message, refusal=Refusal.CHANGE_ID_REUSED)
    )


def unknown(change: Change) -> Failure[CommitError]:
    """The write may have taken effect, and the store cannot be asked."""
    message = (
        f"it is not known whether change {change.change_id!r} was committed; "
        "ask again with the same change id"
    )
    return Failure(CommitUnknownError(message=message))

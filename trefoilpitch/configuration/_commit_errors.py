"""Builds commit errors with their messages for operators."""

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
    """Returns the conflict with the changes after the base revision.

    Args:
        head: The newest head.
        since: The revision that the change was based on.
    """
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


def conflict_not_visible(base: HeadRecord) -> Failure[CommitError]:
    """Returns the conflict with a newer head that stale reads do not show."""
    message = (
        f"the configuration has changed since revision {base.revision}, but "
        "the store's reads do not show the change yet; nothing was changed"
    )
    return Failure(
        RevisionConflictError(
            message=message,
            current_revision=base.revision + 1,
            changed_since=(),
        )
    )


def change_refused(error: ChangeError) -> Failure[CommitError]:
    """Returns the error of a change that the configuration rules refuse."""
    return Failure(
        ChangeRefusedError(message=error.message, refusal=error.refusal)
    )


def change_id_reused(change: Change) -> Failure[CommitError]:
    """Returns the error of a change id that belongs to another change."""
    message = f"change id {change.change_id!r} was used for another change"
    return Failure(
        ChangeRefusedError(message=message, refusal=Refusal.CHANGE_ID_REUSED)
    )


def outcome_unknown(change: Change) -> Failure[CommitError]:
    """Returns the error of a write whose outcome could not be determined."""
    message = (
        f"it is not known whether change {change.change_id!r} was committed; "
        "retry with the same change id"
    )
    return Failure(CommitUnknownError(message=message))

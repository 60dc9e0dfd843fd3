"""Problem documents for requests of operators that failed."""

from __future__ import annotations

from trefoilpitch.configuration import (
    ChangeRefusedError,
    CommitError,
    CommitUnknownError,
    Refusal,
    RevisionConflictError,
)
from trefoilpitch.web import Problem

_STORE_RETRY_MS = 2_000
_BUSY_RETRY_MS = 1_000


def commit_problem(error: CommitError) -> Problem:
    """Returns the problem for a commit that failed or may have failed."""
    if isinstance(error, ChangeRefusedError):
        return refusal_problem(error.refusal, str(error))
    if isinstance(error, RevisionConflictError):
        return conflict_problem(str(error))
    if isinstance(error, CommitUnknownError):
        return Problem(
            status=504,
            code="outcome-unknown",
            title=str(error),
            detail="Send the change again with the same change_id.",
        )
    return store_problem(str(error))


def refusal_problem(refusal: Refusal, message: str) -> Problem:
    """Returns the problem for a change that a validation rule refuses."""
    return Problem(
        status=422,
        code=refusal.value.replace("_", "-"),
        title=message,
        detail="Nothing was changed.",
    )


def unknown_vm_problem(message: str) -> Problem:
    """Returns the problem for a VM name that the node does not know."""
    return Problem(
        status=422,
        code="unknown-vm",
        title=message,
        detail="Nothing was changed.",
    )


def conflict_problem(message: str) -> Problem:
    """Returns the problem for a change based on an outdated revision."""
    return Problem(
        status=409,
        code="conflict",
        title=message,
        detail="Look at the changes, retry.",
    )


def store_problem(detail: str) -> Problem:
    """Returns the problem for a store that is unavailable."""
    return Problem(
        status=503,
        code="store-unavailable",
        title="the store cannot be used now",
        detail=detail,
        retry_after_ms=_STORE_RETRY_MS,
    )


def busy_problem() -> Problem:
    """Returns the problem for a request over the store request limit."""
    return Problem(
        status=503,
        code="busy",
        title="other requests are waiting for the store; nothing was changed",
        retry_after_ms=_BUSY_RETRY_MS,
    )

"""The problems that are reported to callers of failed requests."""

from __future__ import annotations

from trefoilpitch.retries import Execution, FailureKind
from trefoilpitch.routing import (
    NoEligibleUpstreamError,
    PinnedVersionWithdrawnError,
    RoutingError,
    TargetNotAllowedError,
    UpstreamsFullError,
)
from trefoilpitch.upstreams import (
    CancelledError,
    ConnectError,
    DeadlineExceededError,
    ErrorReplyError,
    IncompleteReplyError,
    MismatchedReplyError,
    OverloadedError,
    PoolExhaustedError,
    RefusedError,
    UpstreamError,
)
from trefoilpitch.web import Outcome, Problem

SHORT_RETRY_AFTER_MS = 1_000
LONG_RETRY_AFTER_MS = 5_000
CALLER_GONE = "caller-gone"
_SERVER_ERROR = 500

_OUTCOMES = {
    Execution.NOT_RUN: Outcome.NOT_RUN,
    Execution.UNKNOWN: Outcome.UNKNOWN,
    Execution.RAN: Outcome.FAILED,
}
_STATUSES = {
    Execution.NOT_RUN: 503,
    Execution.UNKNOWN: 504,
    Execution.RAN: 502,
}


def routing_problem(error: RoutingError, request_id: str) -> Problem:
    """Returns the refusal of a request for which routing found no upstream."""
    if isinstance(error, PinnedVersionWithdrawnError):
        return Problem(
            status=409,
            code="session-version-withdrawn",
            title=str(error),
            detail="Begin a new session: send the request without Session.",
            outcome=Outcome.NOT_RUN,
            request_id=request_id,
        )
    if isinstance(error, TargetNotAllowedError):
        return Problem(
            status=403,
            code="not-allowed",
            title=str(error),
            outcome=Outcome.NOT_RUN,
            request_id=request_id,
        )
    is_full = isinstance(error, UpstreamsFullError)
    return Problem(
        status=503,
        code="busy" if is_full else "no-upstream",
        title=str(error),
        detail="Retry after the time that Retry-After gives.",
        outcome=Outcome.NOT_RUN,
        retry_after_ms=SHORT_RETRY_AFTER_MS if is_full else LONG_RETRY_AFTER_MS,
        request_id=request_id,
    )


def is_transient(error: RoutingError) -> bool:
    """Returns whether a slot may become available if the request waits."""
    return isinstance(error, NoEligibleUpstreamError | UpstreamsFullError)


def outage_problem(request_id: str, retry_after_ms: int) -> Problem:
    """Returns the refusal of a request while no upstream is reachable."""
    return Problem(
        status=503,
        code="no-upstream",
        title="no upstream can be reached",
        detail="Retry after the time that Retry-After gives.",
        outcome=Outcome.NOT_RUN,
        retry_after_ms=retry_after_ms,
        request_id=request_id,
    )


def failure_problem(
    error: UpstreamError, execution: Execution, request_id: str
) -> Problem:
    """Returns the problem of a request whose attempts have failed.

    Args:
        error: The last failure.
        execution: What all attempts together prove about the execution.
        request_id: Identifier of the request.
    """
    is_safe = execution is Execution.NOT_RUN
    retry_after_ms = error.retry_after_ms or SHORT_RETRY_AFTER_MS
    return Problem(
        status=_STATUSES[execution],
        code="upstream-failed",
        title=_FAILURE_TITLES[failure_kind(error)],
        detail="" if is_safe else "The request may have had its effect.",
        outcome=_OUTCOMES[execution],
        retry_after_ms=retry_after_ms if is_safe else None,
        request_id=request_id,
    )


def caller_gone_problem(request_id: str, outcome: Outcome) -> Problem:
    """Returns the problem of a request whose caller disconnected.

    It appears in metrics only, because nobody receives the response.
    """
    return Problem(
        status=503,
        code=CALLER_GONE,
        title="the caller has gone",
        outcome=outcome,
        request_id=request_id,
    )


def failure_kind(error: UpstreamError) -> FailureKind:
    """Returns the kind of a failure for the retry policy."""
    if isinstance(error, ErrorReplyError):
        is_server_error = error.status >= _SERVER_ERROR
        if is_server_error:
            return FailureKind.SERVER_ERROR
        return FailureKind.INVALID_REQUEST
    if isinstance(error, CancelledError):
        is_unsent = error.execution is Execution.NOT_RUN
        return FailureKind.NOT_SENT if is_unsent else _CANCELLED_KIND
    for error_type, kind in _FAILURE_KINDS.items():
        if isinstance(error, error_type):
            return kind
    return FailureKind.CONNECTION_LOST


# A request is cancelled by closing its connection.
_CANCELLED_KIND = FailureKind.CONNECTION_LOST
_FAILURE_KINDS: dict[type[UpstreamError], FailureKind] = {
    ConnectError: FailureKind.CONNECT_REFUSED,
    PoolExhaustedError: FailureKind.NOT_SENT,
    RefusedError: FailureKind.REFUSED_NOT_RUN,
    OverloadedError: FailureKind.OVERLOADED,
    DeadlineExceededError: FailureKind.RESPONSE_TIMEOUT,
    IncompleteReplyError: FailureKind.CONNECTION_LOST,
    # The response belongs to another request and proves nothing about this one.
    MismatchedReplyError: FailureKind.CONNECTION_LOST,
}

# Titles for callers. Only the log has the upstream's name and the details.
_FAILURE_TITLES = {
    FailureKind.CONNECT_REFUSED: "the upstream accepted no connection",
    FailureKind.NOT_SENT: "the request could not be sent to an upstream",
    FailureKind.REFUSED_NOT_RUN: "the upstream refused the request",
    FailureKind.MISDIRECTED: "another process responded for the upstream",
    FailureKind.OVERLOADED: "the upstream is overloaded",
    FailureKind.RESPONSE_TIMEOUT: "the upstream did not answer in time",
    FailureKind.CONNECTION_LOST: "the connection to the upstream was lost",
    FailureKind.SERVER_ERROR: "the upstream failed",
    FailureKind.INVALID_REQUEST: "the upstream rejected the request",
}

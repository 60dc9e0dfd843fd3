"""Classifies failed attempts by whether the upstream ran the request."""

from __future__ import annotations

import enum


class Execution(enum.Enum):
    """Whether an upstream is known to have run a request."""

    # The upstream has not run the request and will not do so later.
    NOT_RUN = "not_run"
    # The upstream may have run it, may be running it or may still do so.
    UNKNOWN = "unknown"
    # The upstream ran the request, at least in part.
    RAN = "ran"


class FailureKind(enum.Enum):
    """How an attempt failed."""

    # Abandoned before a connection was requested.
    NOT_SENT = "not_sent"
    # The connection was refused.
    CONNECT_REFUSED = "connect_refused"
    # The connection was not established in time.
    CONNECT_TIMEOUT = "connect_timeout"
    # The upstream responded that it did not run the request.
    REFUSED_NOT_RUN = "refused_not_run"
    # Another process responded at the upstream's address.
    MISDIRECTED = "misdirected"
    # The connection was lost while the request was being sent.
    SEND_FAILED = "send_failed"
    # The connection was lost before the first byte of the response.
    CONNECTION_LOST = "connection_lost"
    # No response arrived in time.
    RESPONSE_TIMEOUT = "answer_timeout"
    # The upstream is overloaded and did not say whether it ran the request.
    OVERLOADED = "overloaded"
    # The upstream responded with a server error.
    SERVER_ERROR = "server_error"
    # The upstream rejected the request as invalid.
    INVALID_REQUEST = "invalid_request"
    # The response was malformed.
    MALFORMED_RESPONSE = "malformed_answer"
    # The response ended early, after its first byte.
    RESPONSE_TRUNCATED = "answer_cut"


_EXECUTIONS = {
    FailureKind.NOT_SENT: Execution.NOT_RUN,
    FailureKind.CONNECT_REFUSED: Execution.NOT_RUN,
    FailureKind.CONNECT_TIMEOUT: Execution.NOT_RUN,
    FailureKind.REFUSED_NOT_RUN: Execution.NOT_RUN,
    FailureKind.MISDIRECTED: Execution.NOT_RUN,
    FailureKind.SEND_FAILED: Execution.UNKNOWN,
    FailureKind.CONNECTION_LOST: Execution.UNKNOWN,
    FailureKind.RESPONSE_TIMEOUT: Execution.UNKNOWN,
    FailureKind.OVERLOADED: Execution.UNKNOWN,
    FailureKind.SERVER_ERROR: Execution.UNKNOWN,
    FailureKind.INVALID_REQUEST: Execution.UNKNOWN,
    FailureKind.MALFORMED_RESPONSE: Execution.RAN,
    FailureKind.RESPONSE_TRUNCATED: Execution.RAN,
}

# Failures that a retry would repeat.
_NOT_RETRYABLE = frozenset({FailureKind.INVALID_REQUEST})


def classify_failure(kind: FailureKind) -> Execution:
    """Returns whether the upstream ran the request of a failed attempt.

    ``NOT_RUN`` is returned only for failures in which the upstream cannot
    have processed a byte of the request.
    """
    return _EXECUTIONS[kind]


def may_retry(kind: FailureKind, *, idempotent: bool) -> bool:
    """Returns whether a retry is safe and may succeed.

    Args:
        kind: How the last attempt failed.
        idempotent: Whether running the request twice is harmless.
    """
    if kind in _NOT_RETRYABLE:
        return False
    return idempotent or classify_failure(kind) is Execution.NOT_RUN


def combined_execution(attempts: tuple[Execution, ...]) -> Execution:
    """Returns whether any attempt of a request ran.

    A single attempt that may have run makes the result at least ``UNKNOWN``.
    """
    if Execution.RAN in attempts:
        return Execution.RAN
    if Execution.UNKNOWN in attempts:
        return Execution.UNKNOWN
    return Execution.NOT_RUN

"""What a failed try says about whether the request ran."""

from __future__ import annotations

import enum


class Execution(enum.Enum):
    """What is proven about whether an upstream ran a request."""

    # The upstream has not run the request and will not run it.
    NOT_RUN = "not_run"
    # The upstream may have run it, may be running it or may run it later.
    UNKNOWN = "unknown"
    # The upstream ran the request, at least in part.
    RAN = "ran"


class FailureKind(enum.Enum):
    """How a try of a request failed."""

    # Given up before a connection was asked for.
    NOT_SENT = "not_sent"
    # The connection was refused.
    CONNECT_REFUSED = "connect_refused"
    # The connection was not made in time.
    CONNECT_TIMEOUT = "connect_timeout"
    # The upstream answered that it did not run the request.
    REFUSED_NOT_RUN = "refused_not_run"
    # The connection broke while the request was being sent.
    SEND_FAILED = "send_failed"
    # The connection broke before the first byte of the answer.
    CONNECTION_LOST = "connection_lost"
    # No answer came in time.
    RESPONSE_TIMEOUT = "answer_timeout"
    # The upstream is overloaded and did not say whether it ran the request.
    OVERLOADED = "overloaded"
    # The upstream answered with a server error.
    SERVER_ERROR = "server_error"
    # The upstream rejected the request as invalid.
    INVALID_REQUEST = "invalid_request"
    # The answer was malformed.
    MALFORMED_RESPONSE = "malformed_answer"
    # The answer broke off after its first byte.
    RESPONSE_TRUNCATED = "answer_cut"


_EXECUTIONS = {
    FailureKind.NOT_SENT: Execution.NOT_RUN,
    FailureKind.CONNECT_REFUSED: Execution.NOT_RUN,
    FailureKind.CONNECT_TIMEOUT: Execution.NOT_RUN,
    FailureKind.REFUSED_NOT_RUN: Execution.NOT_RUN,
    FailureKind.SEND_FAILED: Execution.UNKNOWN,
    FailureKind.CONNECTION_LOST: Execution.UNKNOWN,
    FailureKind.RESPONSE_TIMEOUT: Execution.UNKNOWN,
    FailureKind.OVERLOADED: Execution.UNKNOWN,
    FailureKind.SERVER_ERROR: Execution.UNKNOWN,
    FailureKind.INVALID_REQUEST: Execution.UNKNOWN,
    FailureKind.MALFORMED_RESPONSE: Execution.RAN,
    FailureKind.RESPONSE_TRUNCATED: Execution.RAN,
}

# Failures that another try cannot mend.
_FINAL = frozenset({FailureKind.INVALID_REQUEST})


def classify_failure(kind: FailureKind) -> Execution:
    """Returns what a failed try proves about the run.

    Only what cannot have processed a byte of the request is ``NOT_RUN``.
    """
    return _EXECUTIONS[kind]


def may_run_again(kind: FailureKind, *, idempotent: bool) -> bool:
    """Returns whether another try is safe and can help.

    Args:
        kind: How the last try failed.
        idempotent: Whether running the request twice is harmless.
    """
    if kind in _FINAL:
        return False
    return idempotent or classify_failure(kind) is Execution.NOT_RUN


def combined_execution(tries: tuple[Execution, ...]) -> Execution:
    """Returns what is known of a request after all its tries.

    One try that may have run makes the whole request one that may have run.
    """
    if Execution.RAN in tries:
        return Execution.RAN
    if Execution.UNKNOWN in tries:
        return Execution.UNKNOWN
    return Execution.NOT_RUN

"""Retry policy: whether and when a failed request is sent again."""

from trefoilpitch.retries._budget import RetryBudget
from trefoilpitch.retries._outcome import (
    Execution,
    FailureKind,
    classify_failure,
    combined_execution,
    may_retry,
)
from trefoilpitch.retries._policy import (
    NoRetry,
    Request,
    Retry,
    RetryDecision,
    RetrySettings,
    StopReason,
    decide_hedge,
    decide_retry,
)
from trefoilpitch.retries._window import WindowedRetryBudget

__all__ = [
    "Execution",
    "FailureKind",
    "NoRetry",
    "Request",
    "Retry",
    "RetryBudget",
    "RetryDecision",
    "RetrySettings",
    "StopReason",
    "WindowedRetryBudget",
    "classify_failure",
    "combined_execution",
    "decide_hedge",
    "decide_retry",
    "may_retry",
]

"""Decides whether a failed request is tried again, and when."""

from __future__ import annotations

import dataclasses
import enum
import random
from typing import TypeAlias

from trefoilpitch.retries._budget import RetryBudget
from trefoilpitch.retries._outcome import (
    Execution,
    FailureKind,
    classify_failure,
    combined_execution,
    may_run_again,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings:
    """Bounds on the tries of one request."""

    # The most tries, the first included.
    max_tries: int = 3
    # Upper bound of the first wait, in milliseconds; doubles with each try.
    base_backoff_ms: int = 50
    # Upper bound of any wait, in milliseconds.
    max_backoff_ms: int = 2_000
    # Time that must remain for a try to make sense, in milliseconds.
    min_remaining_ms: int = 20
    # Budget that hedges leave for retries.
    hedge_reserve: float = 2.0


DEFAULT_SETTINGS = RetrySettings()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """What the retry rules need to know of a request."""

    # Whether running it twice is harmless.
    idempotent: bool
    # When its answer is due, on the monotonic clock.
    deadline_ms: int
    # How each try so far failed, oldest first.
    failures: tuple[FailureKind, ...] = ()

    @property
    def execution(self) -> Execution:
        """What the failed tries prove together."""
        executions = tuple(classify_failure(kind) for kind in self.failures)
        return combined_execution(executions)


class StopReason(enum.Enum):
    """Why there is no further try."""

    UNSAFE = "unsafe"
    TRIES = "tries"
    DEADLINE = "deadline"
    BUDGET = "budget"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """Another try, paid for from the budget."""

    # When to start it, on the monotonic clock.
    at_ms: int
    # The request's own deadline, unchanged.
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoRetry:
    """No further try; answer the caller now."""

    # What is known of the run.
    execution: Execution
    # Why.
    reason: StopReason


RetryDecision: TypeAlias = Retry | NoRetry


def decide_retry(
    request: Request,
    budget: RetryBudget,
    now_ms: int,
    rng: random.Random,
    settings: RetrySettings = DEFAULT_SETTINGS,
) -> RetryDecision:
    """Decides what follows the last failure of a request.

    The wait is drawn evenly between zero and a bound that doubles with each
    try. Nothing is held back until near the deadline: when no try fits, the
    request is given up at once.

    Args:
        request: The request with at least one failure.
        budget: Pays for the try when there is one.
        now_ms: The monotonic time.
        rng: Source of random numbers.
        settings: Bounds on the tries.
    """
    reason = _objection(request, settings)
    if reason is not None:
        return NoRetry(execution=request.execution, reason=reason)
    at_ms = now_ms + _backoff_ms(len(request.failures), rng, settings)
    if at_ms + settings.min_remaining_ms > request.deadline_ms:
        reason = StopReason.DEADLINE
    elif not budget.affords():
        reason = StopReason.BUDGET
    if reason is not None:
        return NoRetry(execution=request.execution, reason=reason)
    budget.spend()
    return Retry(at_ms=at_ms, deadline_ms=request.deadline_ms)


def decide_hedge(
    request: Request,
    budget: RetryBudget,
    now_ms: int,
    settings: RetrySettings = DEFAULT_SETTINGS,
) -> bool:
    """Decides whether to start a second try beside a slow first one.

    Only idempotent requests are hedged, once, and only from budget that
    retries can spare. A hedge that is granted is paid for.
    """
    if not request.idempotent or request.failures:
        return False
    if request.deadline_ms - now_ms < settings.min_remaining_ms:
        return False
    if not budget.affords(settings.hedge_reserve):
        return False
    budget.spend()
    return True


def _objection(request: Request, settings: RetrySettings) -> StopReason | None:
    safe = may_run_again(request.failures[-1], idempotent=request.idempotent)
    proven = request.execution is Execution.NOT_RUN
    if not safe or not (request.idempotent or proven):
        return StopReason.UNSAFE
    if len(request.failures) >= settings.max_tries:
        return StopReason.TRIES
    return None


def _backoff_ms(
    failures: int, rng: random.Random, settings: RetrySettings
) -> int:
    bound = settings.base_backoff_ms * 2 ** (failures - 1)
    return rng.randint(0, min(bound, settings.max_backoff_ms))

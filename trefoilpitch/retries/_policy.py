"""Decides whether and when a failed request is retried."""

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
    may_retry,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetrySettings:
    """Limits on the attempts of one request."""

    # Maximum number of attempts, counting the first.
    max_attempts: int = 3
    # Upper bound of the first backoff; doubles with each retry.
    base_backoff_ms: int = 50
    # Upper bound of every backoff.
    max_backoff_ms: int = 2_000
    # Least time until the deadline at which an attempt is still started.
    min_remaining_ms: int = 20
    # Credit that hedges must leave in the budget for retries.
    hedge_reserve: float = 2.0


DEFAULT_SETTINGS = RetrySettings()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """The properties of a request that decide about retries."""

    # Whether running it twice is harmless.
    idempotent: bool
    # Monotonic time at which its response is due.
    deadline_ms: int
    # How each attempt so far failed, oldest first.
    failures: tuple[FailureKind, ...] = ()

    @property
    def execution(self) -> Execution:
        """Whether any of the failed attempts ran."""
        executions = tuple(classify_failure(kind) for kind in self.failures)
        return combined_execution(executions)


class StopReason(enum.Enum):
    """Why a request is not retried."""

    UNSAFE = "unsafe"
    ATTEMPTS = "tries"
    # Too many upstreams refused it or were gone.
    REFUSALS = "refusals"
    DEADLINE = "deadline"
    BUDGET = "budget"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """A retry, already charged to the budget."""

    # Monotonic time at which to start it.
    at_ms: int
    # The request's own deadline, unchanged.
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoRetry:
    """No retry; the caller gets its response now."""

    # Whether any of the attempts ran.
    execution: Execution
    reason: StopReason


RetryDecision: TypeAlias = Retry | NoRetry


def decide_retry(
    request: Request,
    budget: RetryBudget,
    now_ms: int,
    rng: random.Random,
    settings: RetrySettings = DEFAULT_SETTINGS,
) -> RetryDecision:
    """Decides whether a request is retried after its last failure.

    The backoff is uniformly random between zero and a bound that doubles with
    each retry. A request whose next attempt would start too close to its
    deadline is abandoned at once rather than at the deadline.

    Args:
        request: The request with at least one failure.
        budget: Charged if there is a retry.
        now_ms: The monotonic time.
        rng: Draws the backoff.
        settings: Limits on the attempts.
    """
    reason = _stop_reason(request, settings)
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
    """Decides whether to hedge a slow first attempt with a second one.

    Only idempotent requests without failures are hedged, at most once, and only
    while the budget keeps a reserve for retries. A granted hedge is charged to
    the budget.
    """
    if not request.idempotent or request.failures:
        return False
    if request.deadline_ms - now_ms < settings.min_remaining_ms:
        return False
    if not budget.affords(settings.hedge_reserve):
        return False
    budget.spend()
    return True


def _stop_reason(
    request: Request, settings: RetrySettings
) -> StopReason | None:
    safe = may_retry(request.failures[-1], idempotent=request.idempotent)
    proven = request.execution is Execution.NOT_RUN
    if not safe or not (request.idempotent or proven):
        return StopReason.UNSAFE
    if len(request.failures) >= settings.max_attempts:
        return StopReason.ATTEMPTS
    return None


def _backoff_ms(
    failures: int, rng: random.Random, settings: RetrySettings
) -> int:
    bound = settings.base_backoff_ms * 2 ** (failures - 1)
    return rng.randint(0, min(bound, settings.max_backoff_ms))

"""Attempts for each request in outages, with and without the retry budget."""

from __future__ import annotations

import dataclasses
import random

from trefoilpitch.retries import (
    FailureKind,
    NoRetry,
    Request,
    Retry,
    RetryBudget,
    decide_retry,
)

_REQUESTS = 20_000
_MAX_ATTEMPTS = 3
_KINDS = (
    FailureKind.CONNECT_REFUSED,
    FailureKind.OVERLOADED,
    FailureKind.RESPONSE_TIMEOUT,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutageFigures:
    """Retry amplification in an outage."""

    # Share of the attempts that fail, from 0 to 1.
    failing: float
    # The limit on retries: a fixed count for each request, or the shared
    # budget.
    bound: str
    # Mean number of attempts for each request.
    amplification: float
    # Share of requests that succeeded, from 0 to 1.
    answered: float
    # Retries of non-idempotent requests that may have been executed.
    unsafe_retries: int


def measure(seed: int) -> list[OutageFigures]:
    """Simulates outages with a retry count and with a retry budget."""
    figures = []
    for failing in (0.05, 0.5, 1.0):
        for bound in ("count", "budget"):
            figures.append(_run(seed, failing, bound))
    return figures


def _run(seed: int, failing: float, bound: str) -> OutageFigures:
    rng = random.Random(f"{seed}/{failing}")
    budget = RetryBudget()
    attempts = answered = unsafe = 0
    for _ in range(_REQUESTS):
        idempotent = rng.random() < 0.8
        failures: tuple[FailureKind, ...] = ()
        if bound == "count":
            budget = RetryBudget(burst=float(_MAX_ATTEMPTS))
        budget.record_first_attempt()
        while True:
            attempts += 1
            if rng.random() >= failing:
                answered += 1
                break
            failures = (*failures, rng.choice(_KINDS))
            request = Request(
                idempotent=idempotent, deadline_ms=60_000, failures=failures
            )
            decision = decide_retry(request, budget, 0, rng)
            if isinstance(decision, NoRetry):
                break
            unsafe += _is_unsafe(request, decision)
    return OutageFigures(
        failing=failing,
        bound=bound,
        amplification=round(attempts / _REQUESTS, 3),
        answered=round(answered / _REQUESTS, 3),
        unsafe_retries=unsafe,
    )


def _is_unsafe(request: Request, decision: Retry) -> bool:
    del decision
    refused = FailureKind.CONNECT_REFUSED
    return not request.idempotent and any(
        kind is not refused for kind in request.failures
    )

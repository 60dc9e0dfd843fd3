"""Tries for each request in outages, with and without the retry budget."""

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
_MAX_TRIES = 3
_KINDS = (
    FailureKind.CONNECT_REFUSED,
    FailureKind.OVERLOADED,
    FailureKind.RESPONSE_TIMEOUT,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutageFigures:
    """How much an outage multiplies the traffic."""

    # Share of the tries that fail, from 0 to 1.
    failing: float
    # What bounds the retries.
    bound: str
    # Tries for each request.
    amplification: float
    # Share of requests that were answered, from 0 to 1.
    answered: float
    # Non-idempotent requests that were tried again though they may have run.
    unsafe_retries: int


def measure(seed: int) -> list[OutageFigures]:
    """Lets a share of the tries fail, under a budget and under a count."""
    figures = []
    for failing in (0.05, 0.5, 1.0):
        for bound in ("count", "budget"):
            figures.append(_run(seed, failing, bound))
    return figures


def _run(seed: int, failing: float, bound: str) -> OutageFigures:
    rng = random.Random(f"{seed}/{failing}")
    budget = RetryBudget()
    tries = answered = unsafe = 0
    for _ in range(_REQUESTS):
        idempotent = rng.random() < 0.8
        failures: tuple[FailureKind, ...] = ()
        if bound == "count":
            budget = RetryBudget(burst=float(_MAX_TRIES))
        budget.record_first_attempt()
        while True:
            tries += 1
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
        amplification=round(tries / _REQUESTS, 3),
        answered=round(answered / _REQUESTS, 3),
        unsafe_retries=unsafe,
    )


def _is_unsafe(request: Request, decision: Retry) -> bool:
    del decision
    refused = FailureKind.CONNECT_REFUSED
    return not request.idempotent and any(
        kind is not refused for kind in request.failures
    )

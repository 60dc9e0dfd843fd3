from __future__ import annotations

import random

import pytest

from trefoilpitch.retries import (
    Execution,
    FailureKind,
    NoRetry,
    Request,
    Retry,
    RetryBudget,
    StopReason,
    combined_execution,
    decide_hedge,
    decide_retry,
)


def _decide(
    *failures: FailureKind,
    idempotent: bool,
    deadline_ms: int = 60_000,
    budget: RetryBudget | None = None,
) -> Retry | NoRetry:
    request = Request(
        idempotent=idempotent, deadline_ms=deadline_ms, failures=failures
    )
    return decide_retry(
        request, budget or RetryBudget(), 1_000, random.Random(3)
    )


@pytest.mark.parametrize("kind", list(FailureKind))
def test_non_idempotent_request_is_retried_only_if_it_cannot_have_run(
    kind: FailureKind,
) -> None:
    safe = {
        FailureKind.NOT_SENT,
        FailureKind.CONNECT_REFUSED,
        FailureKind.CONNECT_TIMEOUT,
        FailureKind.REFUSED_NOT_RUN,
        FailureKind.MISDIRECTED,
    }
    decision = _decide(kind, idempotent=False)
    assert isinstance(decision, Retry) is (kind in safe)
    if isinstance(decision, NoRetry):
        assert decision.execution is not Execution.NOT_RUN


def test_attempt_that_may_have_run_rules_out_a_later_retry() -> None:
    decision = _decide(
        FailureKind.CONNECTION_LOST,
        FailureKind.CONNECT_REFUSED,
        idempotent=False,
    )
    assert decision == NoRetry(
        execution=Execution.UNKNOWN, reason=StopReason.UNSAFE
    )


@pytest.mark.parametrize(
    ("attempts", "expected"),
    [
        ((), Execution.NOT_RUN),
        ((Execution.NOT_RUN, Execution.UNKNOWN), Execution.UNKNOWN),
        ((Execution.RAN, Execution.NOT_RUN), Execution.RAN),
    ],
)
def test_request_counts_as_not_run_only_if_no_attempt_can_have_run(
    attempts: tuple[Execution, ...], expected: Execution
) -> None:
    assert combined_execution(attempts) is expected


def test_deadline_is_kept_across_retries_and_not_waited_out() -> None:
    kept = _decide(FailureKind.SERVER_ERROR, idempotent=True)
    assert isinstance(kept, Retry)
    assert kept.deadline_ms == 60_000
    late = _decide(FailureKind.SERVER_ERROR, idempotent=True, deadline_ms=1_010)
    assert isinstance(late, NoRetry)
    assert late.reason is StopReason.DEADLINE


def test_retries_in_an_outage_add_at_most_a_tenth_to_the_traffic() -> None:
    budget = RetryBudget()
    requests, attempts = 5_000, 0
    for _ in range(requests):
        budget.record_first_attempt()
        failures: tuple[FailureKind, ...] = ()
        while True:
            attempts += 1
            failures = (*failures, FailureKind.CONNECT_REFUSED)
            decision = _decide(*failures, idempotent=True, budget=budget)
            if isinstance(decision, NoRetry):
                break
    assert attempts / requests <= 1.1


def test_hedges_are_idempotent_and_leave_budget_for_retries() -> None:
    budget = RetryBudget(burst=3.0)
    slow = Request(idempotent=True, deadline_ms=60_000)
    booking = Request(idempotent=False, deadline_ms=60_000)
    assert not decide_hedge(booking, budget, 0)
    assert decide_hedge(slow, budget, 0)
    assert not decide_hedge(slow, budget, 0)
    assert budget.affords()

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
def test_non_idempotent_call_is_repeated_only_when_it_cannot_have_run(
    kind: FailureKind,
) -> None:
    safe = {
        FailureKind.NOT_SENT,
        FailureKind.CONNECT_REFUSED,
        FailureKind.CONNECT_TIMEOUT,
        FailureKind.REFUSED_NOT_RUN,
    }
    decision = _decide(kind, idempotent=False)
    assert isinstance(decision, Retry) is (kind in safe)
    if isinstance(decision, NoRetry):
        assert decision.execution is not Execution.NOT_RUN


def test_an_earlier_unknown_try_forbids_a_later_one() -> None:
    decision = _decide(
        FailureKind.CONNECTION_LOST,
        FailureKind.CONNECT_REFUSED,
        idempotent=False,
    )
    assert decision == NoRetry(
        execution=Execution.UNKNOWN, reason=StopReason.UNSAFE
    )


@pytest.mark.parametrize(
    ("tries", "expected"),
    [
        ((), Execution.NOT_RUN),
        ((Execution.NOT_RUN, Execution.UNKNOWN), Execution.UNKNOWN),
        ((Execution.RAN, Execution.NOT_RUN), Execution.RAN),
    ],
)
def test_refusal_is_called_not_run_only_if_no_try_can_have_run(
    tries: tuple[Execution, ...], expected: Execution
) -> None:
    assert combined_execution(tries) is expected


def test_deadline_is_kept_across_tries_and_not_waited_out() -> None:
    kept = _decide(FailureKind.SERVER_ERROR, idempotent=True)
    assert isinstance(kept, Retry)
    assert kept.deadline_ms == 60_000
    late = _decide(FailureKind.SERVER_ERROR, idempotent=True, deadline_ms=1_010)
    assert isinstance(late, NoRetry)
    assert late.reason is StopReason.DEADLINE


def test_outage_amplifies_the_traffic_by_at_most_a_tenth() -> None:
    budget = RetryBudget()
    requests, tries = 5_000, 0
    for _ in range(requests):
        budget.record_first_attempt()
        failures: tuple[FailureKind, ...] = ()
        while True:
            tries += 1
            failures = (*failures, FailureKind.CONNECT_REFUSED)
            decision = _decide(*failures, idempotent=True, budget=budget)
            if isinstance(decision, NoRetry):
                break
    assert tries / requests <= 1.1


def test_hedges_are_idempotent_and_leave_budget_for_retries() -> None:
    budget = RetryBudget(burst=3.0)
    slow = Request(idempotent=True, deadline_ms=60_000)
    booking = Request(idempotent=False, deadline_ms=60_000)
    assert not decide_hedge(booking, budget, 0)
    assert decide_hedge(slow, budget, 0)
    assert not decide_hedge(slow, budget, 0)
    assert budget.affords()

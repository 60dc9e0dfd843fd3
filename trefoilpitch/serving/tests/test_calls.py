import pytest
from returns.result import Failure, Success

from trefoilpitch.serving.tests.harness import ServingHarness
from trefoilpitch.upstreams import (
    ConnectError,
    DeadlineExceededError,
    ErrorReplyError,
    IncompleteReplyError,
    OverloadedError,
    RefusedError,
    ServiceResponse,
    UpstreamError,
)
from trefoilpitch.web import Outcome

_DONE = Success(ServiceResponse(status=200, body=b"done", headers=()))


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (IncompleteReplyError("w", "short body"), Outcome.UNKNOWN),
        (DeadlineExceededError("w", "no reply"), Outcome.UNKNOWN),
        (OverloadedError("w", "503"), Outcome.UNKNOWN),
        (ErrorReplyError("w", "500", status=500), Outcome.FAILED),
    ],
)
def test_call_that_may_have_run_is_never_retried(
    error: UpstreamError, outcome: Outcome
) -> None:
    harness = ServingHarness()
    harness.call_results = [Failure(error), _DONE]
    assert harness.call("create-loan", "POST").failure().outcome is outcome
    assert len(harness.calls) == 1
    assert not harness.bills


@pytest.mark.parametrize(
    "error", [ConnectError("worker-a", "refused"), RefusedError("worker-a", "")]
)
def test_call_proven_not_to_have_run_is_retried_on_another_worker(
    error: UpstreamError,
) -> None:
    harness = ServingHarness()
    harness.call_results = [Failure(error), _DONE]
    assert harness.call("create-loan", "POST").unwrap().body == b"done"
    called = [call.split()[0] for call in harness.calls]
    assert len(set(called)) == 2
    assert harness.called_incarnations == [f"{name}-1" for name in called]
    assert [bill.cost_nano for bill in harness.bills] == [7]


def test_idempotent_call_is_retried_after_a_lost_response() -> None:
    harness = ServingHarness()
    lost = IncompleteReplyError("worker-a", "lost")
    harness.call_results = [Failure(lost), _DONE]
    assert harness.call("look-up", "GET").unwrap().body == b"done"
    assert len(harness.bills) == 1


def test_client_error_of_a_service_is_delivered() -> None:
    harness = ServingHarness()
    harness.call_results = [
        Failure(ErrorReplyError("w", "409", status=409, body=b"lent out"))
    ]
    response = harness.call("create-loan", "POST").unwrap()
    assert (response.status, response.body) == (409, b"lent out")


@pytest.mark.parametrize(
    ("operation", "method", "status"),
    [("no-such", "POST", 404), ("create-loan", "GET", 405)],
)
def test_unknown_operations_and_methods_are_refused(
    operation: str, method: str, status: int
) -> None:
    harness = ServingHarness()
    problem = harness.call(operation, method).failure()
    assert (problem.status, problem.outcome) == (status, Outcome.NOT_RUN)
    assert not harness.calls

from collections.abc import Callable

import pytest
from returns.result import Result, Success

from trefoilpitch.bundle import VersionRef
from trefoilpitch.routing import RoutingTable
from trefoilpitch.serving import Delta, Truncated
from trefoilpitch.serving.tests.harness import ServingHarness, completion_items
from trefoilpitch.upstreams import (
    Cancellation,
    CompletionRequest,
    FakeEngineClient,
    IncompleteReplyError,
    ResponseStream,
    ServiceResponse,
    UpstreamError,
)
from trefoilpitch.web import Outcome

_DONE = Success(ServiceResponse(status=200, body=b"done", headers=()))


class _Engine(FakeEngineClient):
    """Calls a function after each start and before each resumption."""

    def __init__(
        self, on_start: Callable[[], None], on_resume: Callable[[], None]
    ) -> None:
        super().__init__()
        self._on_start = on_start
        self._on_resume = on_resume

    def start(
        self,
        request: CompletionRequest,
        cancellation: Cancellation | None = None,
    ) -> Result[ResponseStream, UpstreamError]:
        opened = super().start(request, cancellation)
        self._on_start()
        return opened

    def resume(
        self,
        request_id: str,
        version: VersionRef,
        *,
        after_index: int,
        deadline_ms: int,
        cancellation: Cancellation | None = None,
    ) -> Result[ResponseStream, UpstreamError]:
        self._on_resume()
        return super().resume(
            request_id,
            version,
            after_index=after_index,
            deadline_ms=deadline_ms,
            cancellation=cancellation,
        )


def _do_nothing() -> None:
    pass


def _create_harness(
    on_start: Callable[[], None], on_resume: Callable[[], None] = _do_nothing
) -> ServingHarness:
    """Creates a harness whose engines call functions on start and resume."""
    harness = ServingHarness()
    for name in harness.engines:
        harness.engines[name] = _Engine(on_start, on_resume)
    harness.directory.close()
    harness.directory.apply(harness.table())
    harness.mark_upstreams_polled()
    return harness


def _script_engines(harness: ServingHarness, *items: object) -> None:
    for engine in harness.engines.values():
        engine.script(*items)  # type: ignore[arg-type]


def _count_starts(harness: ServingHarness) -> int:
    return sum(len(engine.requests) for engine in harness.engines.values())


def _assert_nothing_in_flight(harness: ServingHarness) -> None:
    assert harness.directory.in_flight() == 0
    assert harness.queue.waiting == 0


def test_queued_request_is_cancelled_when_its_caller_disconnects() -> None:
    harness, cancellation = ServingHarness(), Cancellation()
    harness.gates.cold = {"engine-a", "engine-b"}
    _script_engines(harness, *completion_items("text"))
    disconnected_ms: list[int] = []

    def disconnect() -> None:
        cancellation.cancel()
        disconnected_ms.append(harness.clock.now_ms())

    harness.waiter.wait_actions = [disconnect]
    problem = harness.send_chat(cancellation).failure()
    assert (problem.code, problem.outcome) == ("caller-gone", Outcome.NOT_RUN)
    assert harness.clock.now_ms() == disconnected_ms[0]
    assert not _count_starts(harness)
    assert not harness.bills
    _assert_nothing_in_flight(harness)


def test_cancelled_request_is_not_sent_or_billed() -> None:
    harness, cancellation = ServingHarness(), Cancellation()
    cancellation.cancel()
    _script_engines(harness, *completion_items("text"))
    problem = harness.send_chat(cancellation).failure()
    assert problem.outcome is Outcome.NOT_RUN
    assert not _count_starts(harness)
    assert not harness.bills


def test_disconnect_before_the_first_chunk_is_billed_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cancellation = Cancellation()
    harness = _create_harness(cancellation.cancel)
    _script_engines(harness, *completion_items("text"))
    recorded_failures: list[bool] = []

    def record_result(
        table: RoutingTable, version: VersionRef, *, failed: bool
    ) -> None:
        recorded_failures.append(failed)

    monkeypatch.setattr(harness.version_monitor, "record_result", record_result)
    sent_ms = harness.clock.now_ms()
    problem = harness.send_chat(cancellation).failure()
    assert (problem.code, problem.outcome) == ("caller-gone", Outcome.UNKNOWN)
    # The request is not retried, and the version's failure is not recorded.
    assert _count_starts(harness) == 1
    assert harness.clock.now_ms() == sent_ms
    assert not recorded_failures
    (bill,) = harness.bills
    assert (bill.is_whole, bill.cost_nano) == (False, 0)
    _assert_nothing_in_flight(harness)


def test_disconnect_at_the_second_step_bills_both_steps() -> None:
    cancellation = Cancellation()

    def disconnect_at_second_step() -> None:
        if _count_starts(harness) == 2:
            cancellation.cancel()

    harness = _create_harness(disconnect_at_second_step)
    _script_engines(
        harness, *completion_items("cheap ", "guess", confidence=0.1)
    )
    _script_engines(harness, *completion_items("expensive"))
    problem = harness.send_chat(cancellation).failure()
    assert problem.outcome is Outcome.UNKNOWN
    (bill,) = harness.bills
    assert [line.item for line in bill.lines] == ["cheap@1", "expensive@1"]
    assert (bill.is_whole, bill.cost_nano) == (False, 10 * 1 + 2 * 2)


def test_disconnect_while_streaming_bills_the_received_chunks() -> None:
    cancellation, resumed = Cancellation(), list[str]()
    harness = _create_harness(_do_nothing, lambda: resumed.append("resumed"))
    _script_engines(harness, *completion_items("", confidence=0.0))
    _script_engines(harness, *completion_items("one ", "two ", "three"))
    for engine in harness.engines.values():
        engine.hold("r1:1", *completion_items("one ", "two ", "three"))
    response = harness.send_chat(cancellation).unwrap()
    events = iter(response)
    assert isinstance(next(events), Delta)
    cancellation.cancel()
    # The response is not resumed, although the engine has it stored.
    last = next(events)
    assert isinstance(last, Truncated)
    assert last.problem.code == "caller-gone"
    assert not resumed
    response.close()
    (bill,) = harness.bills
    assert not bill.is_whole
    assert bill.lines[-1].output_tokens == 1
    _assert_nothing_in_flight(harness)


def test_resumed_response_can_still_be_cancelled() -> None:
    harness, cancellation = ServingHarness(), Cancellation()
    full_items = completion_items("one ", "two ", "three ", "four")
    _script_engines(harness, *completion_items("", confidence=0.0))
    _script_engines(
        harness, *full_items[:1], IncompleteReplyError("engine", "cut")
    )
    for engine in harness.engines.values():
        engine.hold("r1:1", *full_items)
    response = harness.send_chat(cancellation).unwrap()
    events = iter(response)
    for _ in range(2):
        assert isinstance(next(events), Delta)
    cancellation.cancel()
    assert isinstance(next(events), Truncated)
    response.close()


@pytest.mark.parametrize(
    ("operation", "method"), [("create-loan", "POST"), ("look-up", "GET")]
)
def test_waiting_call_is_cancelled(operation: str, method: str) -> None:
    harness, cancellation = ServingHarness(), Cancellation()
    harness.gates.cold = {"worker-a", "worker-b"}
    harness.waiter.wait_actions = [cancellation.cancel]
    problem = harness.call(operation, method, cancellation).failure()
    assert (problem.code, problem.outcome) == ("caller-gone", Outcome.NOT_RUN)
    assert not harness.calls
    assert not harness.bills
    _assert_nothing_in_flight(harness)


def test_sent_non_idempotent_call_is_not_cancelled() -> None:
    harness, cancellation = ServingHarness(), Cancellation()
    harness.call_results = [_DONE]
    harness.on_call = cancellation.cancel
    result = harness.call("create-loan", "POST", cancellation)
    assert result.unwrap().body == b"done"
    assert [bill.is_whole for bill in harness.bills] == [True]


def test_in_flight_idempotent_call_is_cancelled_and_billed_once() -> None:
    harness, cancellation = ServingHarness(), Cancellation()
    harness.call_results = [_DONE, _DONE]
    harness.on_call = cancellation.cancel
    problem = harness.call("look-up", "GET", cancellation).failure()
    assert (problem.code, problem.outcome) == ("caller-gone", Outcome.UNKNOWN)
    assert len(harness.calls) == 1
    assert [bill.is_whole for bill in harness.bills] == [False]
    _assert_nothing_in_flight(harness)

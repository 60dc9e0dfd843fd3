from collections.abc import Callable

import pytest
from returns.result import Result, Success

from trefoilpitch.bundle import VersionRef
from trefoilpitch.routing import RoutingTable
from trefoilpitch.serving import Delta, Truncated
from trefoilpitch.serving.tests.harness import ServingHarness, answer
from trefoilpitch.upstreams import (
    AnswerStream,
    Cancellation,
    CompletionRequest,
    FakeEngineClient,
    IncompleteReplyError,
    ServiceReply,
    UpstreamError,
)
from trefoilpitch.web import Outcome

_DONE = Success(ServiceReply(status=200, body=b"done", headers=()))


class _Engine(FakeEngineClient):
    """Does something as soon as it has been asked for an answer."""

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
    ) -> Result[AnswerStream, UpstreamError]:
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
    ) -> Result[AnswerStream, UpstreamError]:
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


def _world(
    on_start: Callable[[], None], on_resume: Callable[[], None] = _do_nothing
) -> ServingHarness:
    """Returns a world all of whose engines do something when asked."""
    harness = ServingHarness()
    for name in harness.engines:
        harness.engines[name] = _Engine(on_start, on_resume)
    harness.directory.close()
    harness.directory.apply(harness.table())
    harness.hear_upstreams()
    return harness


def _script(harness: ServingHarness, *items: object) -> None:
    for engine in harness.engines.values():
        engine.script(*items)  # type: ignore[arg-type]


def _starts(harness: ServingHarness) -> int:
    return sum(len(engine.requests) for engine in harness.engines.values())


def _assert_nothing_is_held(harness: ServingHarness) -> None:
    assert harness.directory.in_flight() == 0
    assert harness.queue.waiting == 0


def test_a_request_whose_caller_leaves_the_queue_is_dropped_at_once() -> None:
    harness, cancellation = ServingHarness(), Cancellation()
    harness.gates.cold = {"engine-a", "engine-b"}
    _script(harness, *answer("text"))
    left_ms: list[int] = []

    def leave() -> None:
        cancellation.cancel()
        left_ms.append(harness.clock.now_ms())

    harness.waiter.wait_actions = [leave]
    problem = harness.ask(cancellation).failure()
    assert (problem.code, problem.outcome) == ("caller-gone", Outcome.NOT_RUN)
    assert harness.clock.now_ms() == left_ms[0]
    assert not _starts(harness)
    assert not harness.bills
    _assert_nothing_is_held(harness)


def test_a_caller_that_had_left_before_its_request_costs_nothing() -> None:
    harness, cancellation = ServingHarness(), Cancellation()
    cancellation.cancel()
    _script(harness, *answer("text"))
    problem = harness.ask(cancellation).failure()
    assert problem.outcome is Outcome.NOT_RUN
    assert not _starts(harness)
    assert not harness.bills


def test_leaving_before_the_first_part_ends_the_run_and_is_billed_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cancellation = Cancellation()
    harness = _world(cancellation.cancel)
    _script(harness, *answer("text"))
    noted: list[bool] = []

    def record_result(
        table: RoutingTable, version: VersionRef, *, failed: bool
    ) -> None:
        noted.append(failed)

    monkeypatch.setattr(harness.version_monitor, "record_result", record_result)
    asked_ms = harness.clock.now_ms()
    problem = harness.ask(cancellation).failure()
    assert (problem.code, problem.outcome) == ("caller-gone", Outcome.UNKNOWN)
    # It is neither tried again nor held against the version.
    assert _starts(harness) == 1
    assert harness.clock.now_ms() == asked_ms
    assert not noted
    (bill,) = harness.bills
    assert (bill.is_whole, bill.cost_nano) == (False, 0)
    _assert_nothing_is_held(harness)


def test_leaving_at_the_second_step_is_billed_with_the_first() -> None:
    cancellation = Cancellation()

    def leave_at_the_second() -> None:
        if _starts(harness) == 2:
            cancellation.cancel()

    harness = _world(leave_at_the_second)
    _script(harness, *answer("cheap ", "guess", confidence=0.1))
    _script(harness, *answer("dear"))
    problem = harness.ask(cancellation).failure()
    assert problem.outcome is Outcome.UNKNOWN
    (bill,) = harness.bills
    assert [line.item for line in bill.lines] == ["cheap@1", "dear@1"]
    assert (bill.is_whole, bill.cost_nano) == (False, 10 * 1 + 2 * 2)


def test_leaving_an_answer_that_has_begun_bills_what_had_come() -> None:
    cancellation, resumed = Cancellation(), list[str]()
    harness = _world(_do_nothing, lambda: resumed.append("resumed"))
    _script(harness, *answer("", confidence=0.0))
    _script(harness, *answer("one ", "two ", "three"))
    for engine in harness.engines.values():
        engine.hold("r1:1", *answer("one ", "two ", "three"))
    given = harness.ask(cancellation).unwrap()
    events = iter(given)
    assert isinstance(next(events), Delta)
    cancellation.cancel()
    # It is not taken up again, although the engine holds it.
    last = next(events)
    assert isinstance(last, Truncated)
    assert last.problem.code == "caller-gone"
    assert not resumed
    given.close()
    (bill,) = harness.bills
    assert not bill.is_whole
    assert bill.lines[-1].output_tokens == 1
    _assert_nothing_is_held(harness)


def test_an_answer_that_is_taken_up_again_can_still_be_cancelled() -> None:
    harness, cancellation = ServingHarness(), Cancellation()
    whole = answer("one ", "two ", "three ", "four")
    _script(harness, *answer("", confidence=0.0))
    _script(harness, *whole[:1], IncompleteReplyError("engine", "cut"))
    for engine in harness.engines.values():
        engine.hold("r1:1", *whole)
    given = harness.ask(cancellation).unwrap()
    events = iter(given)
    for _ in range(2):
        assert isinstance(next(events), Delta)
    cancellation.cancel()
    assert isinstance(next(events), Truncated)
    given.close()


@pytest.mark.parametrize(
    ("operation", "method"), [("create-loan", "POST"), ("look-up", "GET")]
)
def test_a_call_that_waits_is_dropped(operation: str, method: str) -> None:
    harness, cancellation = ServingHarness(), Cancellation()
    harness.gates.cold = {"worker-a", "worker-b"}
    harness.waiter.wait_actions = [cancellation.cancel]
    problem = harness.call(operation, method, cancellation).failure()
    assert (problem.code, problem.outcome) == ("caller-gone", Outcome.NOT_RUN)
    assert not harness.calls
    assert not harness.bills
    _assert_nothing_is_held(harness)


def test_a_call_that_may_have_its_effect_runs_to_its_known_end() -> None:
    harness, cancellation = ServingHarness(), Cancellation()
    harness.call_results = [_DONE]
    harness.on_call = cancellation.cancel
    result = harness.call("create-loan", "POST", cancellation)
    assert result.unwrap().body == b"done"
    assert [bill.is_whole for bill in harness.bills] == [True]


def test_an_idempotent_call_under_way_is_given_up_and_billed_once() -> None:
    harness, cancellation = ServingHarness(), Cancellation()
    harness.call_results = [_DONE, _DONE]
    harness.on_call = cancellation.cancel
    problem = harness.call("look-up", "GET", cancellation).failure()
    assert (problem.code, problem.outcome) == ("caller-gone", Outcome.UNKNOWN)
    assert len(harness.calls) == 1
    assert [bill.is_whole for bill in harness.bills] == [False]
    _assert_nothing_is_held(harness)

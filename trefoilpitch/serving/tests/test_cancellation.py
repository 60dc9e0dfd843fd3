from collections.abc import Callable

import pytest
from returns.result import Result, Success

from trefoilpitch.bundle import VersionRef
from trefoilpitch.routing import RoutingTable
from trefoilpitch.serving import Broken, Delta
from trefoilpitch.serving.tests.world import World, answer
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
) -> World:
    """Returns a world all of whose engines do something when asked."""
    world = World()
    for name in world.engines:
        world.engines[name] = _Engine(on_start, on_resume)
    world.directory.close()
    world.directory.apply(world.table())
    world.hear_upstreams()
    return world


def _script(world: World, *items: object) -> None:
    for engine in world.engines.values():
        engine.script(*items)  # type: ignore[arg-type]


def _starts(world: World) -> int:
    return sum(len(engine.requests) for engine in world.engines.values())


def _assert_nothing_is_held(world: World) -> None:
    assert world.directory.in_flight() == 0
    assert world.queue.waiting == 0


def test_a_request_whose_caller_leaves_the_queue_is_dropped_at_once() -> None:
    world, cancellation = World(), Cancellation()
    world.gates.cold = {"engine-a", "engine-b"}
    _script(world, *answer("text"))
    left_ms: list[int] = []

    def leave() -> None:
        cancellation.cancel()
        left_ms.append(world.clock.now_ms())

    world.parking.meanwhile = [leave]
    problem = world.ask(cancellation).failure()
    assert (problem.code, problem.outcome) == ("caller-gone", Outcome.NOT_RUN)
    assert world.clock.now_ms() == left_ms[0]
    assert not _starts(world)
    assert not world.bills
    _assert_nothing_is_held(world)


def test_a_caller_that_had_left_before_its_request_costs_nothing() -> None:
    world, cancellation = World(), Cancellation()
    cancellation.cancel()
    _script(world, *answer("text"))
    problem = world.ask(cancellation).failure()
    assert problem.outcome is Outcome.NOT_RUN
    assert not _starts(world)
    assert not world.bills


def test_leaving_before_the_first_part_ends_the_run_and_is_billed_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cancellation = Cancellation()
    world = _world(cancellation.cancel)
    _script(world, *answer("text"))
    noted: list[bool] = []

    def answered(
        table: RoutingTable, version: VersionRef, *, failed: bool
    ) -> None:
        noted.append(failed)

    monkeypatch.setattr(world.learner, "answered", answered)
    asked_ms = world.clock.now_ms()
    problem = world.ask(cancellation).failure()
    assert (problem.code, problem.outcome) == ("caller-gone", Outcome.UNKNOWN)
    # It is neither tried again nor held against the version.
    assert _starts(world) == 1
    assert world.clock.now_ms() == asked_ms
    assert not noted
    (bill,) = world.bills
    assert (bill.is_whole, bill.cost_nano) == (False, 0)
    _assert_nothing_is_held(world)


def test_leaving_at_the_second_step_is_billed_with_the_first() -> None:
    cancellation = Cancellation()

    def leave_at_the_second() -> None:
        if _starts(world) == 2:
            cancellation.cancel()

    world = _world(leave_at_the_second)
    _script(world, *answer("cheap ", "guess", confidence=0.1))
    _script(world, *answer("dear"))
    problem = world.ask(cancellation).failure()
    assert problem.outcome is Outcome.UNKNOWN
    (bill,) = world.bills
    assert [line.item for line in bill.lines] == ["cheap@1", "dear@1"]
    assert (bill.is_whole, bill.cost_nano) == (False, 10 * 1 + 2 * 2)


def test_leaving_an_answer_that_has_begun_bills_what_had_come() -> None:
    cancellation, resumed = Cancellation(), list[str]()
    world = _world(_do_nothing, lambda: resumed.append("resumed"))
    _script(world, *answer("", confidence=0.0))
    _script(world, *answer("one ", "two ", "three"))
    for engine in world.engines.values():
        engine.hold("r1:1", *answer("one ", "two ", "three"))
    given = world.ask(cancellation).unwrap()
    events = iter(given)
    assert isinstance(next(events), Delta)
    cancellation.cancel()
    # It is not taken up again, although the engine holds it.
    last = next(events)
    assert isinstance(last, Broken)
    assert last.problem.code == "caller-gone"
    assert not resumed
    given.close()
    (bill,) = world.bills
    assert not bill.is_whole
    assert bill.lines[-1].output_tokens == 1
    _assert_nothing_is_held(world)


def test_an_answer_that_is_taken_up_again_can_still_be_cancelled() -> None:
    world, cancellation = World(), Cancellation()
    whole = answer("one ", "two ", "three ", "four")
    _script(world, *answer("", confidence=0.0))
    _script(world, *whole[:1], IncompleteReplyError("engine", "cut"))
    for engine in world.engines.values():
        engine.hold("r1:1", *whole)
    given = world.ask(cancellation).unwrap()
    events = iter(given)
    for _ in range(2):
        assert isinstance(next(events), Delta)
    cancellation.cancel()
    assert isinstance(next(events), Broken)
    given.close()


@pytest.mark.parametrize(
    ("operation", "method"), [("create-loan", "POST"), ("look-up", "GET")]
)
def test_a_call_that_waits_is_dropped(operation: str, method: str) -> None:
    world, cancellation = World(), Cancellation()
    world.gates.cold = {"worker-a", "worker-b"}
    world.parking.meanwhile = [cancellation.cancel]
    problem = world.call(operation, method, cancellation).failure()
    assert (problem.code, problem.outcome) == ("caller-gone", Outcome.NOT_RUN)
    assert not world.calls
    assert not world.bills
    _assert_nothing_is_held(world)


def test_a_call_that_may_have_its_effect_runs_to_its_known_end() -> None:
    world, cancellation = World(), Cancellation()
    world.call_results = [_DONE]
    world.on_call = cancellation.cancel
    result = world.call("create-loan", "POST", cancellation)
    assert result.unwrap().body == b"done"
    assert [bill.is_whole for bill in world.bills] == [True]


def test_an_idempotent_call_under_way_is_given_up_and_billed_once() -> None:
    world, cancellation = World(), Cancellation()
    world.call_results = [_DONE, _DONE]
    world.on_call = cancellation.cancel
    problem = world.call("look-up", "GET", cancellation).failure()
    assert (problem.code, problem.outcome) == ("caller-gone", Outcome.UNKNOWN)
    assert len(world.calls) == 1
    assert [bill.is_whole for bill in world.bills] == [False]
    _assert_nothing_is_held(world)

import dataclasses

import pytest

from trefoilpitch.coldstart import WorkOutcome
from trefoilpitch.serving import ChatResponse, Completed, Delta, Truncated
from trefoilpitch.serving.tests.harness import (
    CHEAP,
    DEAR,
    ServingHarness,
    answer,
)
from trefoilpitch.upstreams import (
    Chunk,
    ConnectError,
    IncompleteReplyError,
    OverloadedError,
    RefusedError,
    UpstreamError,
)
from trefoilpitch.web import Outcome


def _script(harness: ServingHarness, *items: object) -> None:
    for engine in harness.engines.values():
        engine.script(*items)  # type: ignore[arg-type]


def _text(given: ChatResponse) -> str:
    events = list(given)
    given.close()
    assert isinstance(events[-1], Completed)
    return "".join(one.text for one in events if isinstance(one, Delta))


def test_nothing_of_a_rejected_answer_leaks_and_both_runs_are_billed() -> None:
    harness = ServingHarness()
    _script(harness, *answer("cheap ", "guess", confidence=0.1))
    _script(harness, *answer("dear ", "answer"))
    given = harness.ask().unwrap()
    assert given.info.version == DEAR
    text = _text(given)
    assert "cheap" not in text
    (bill,) = harness.bills
    assert [line.item for line in bill.lines] == ["cheap@1", "dear@1"]
    assert bill.cost_nano == 2 * (10 * 1 + 2 * 2)


def test_a_confident_cheap_answer_is_delivered() -> None:
    harness = ServingHarness()
    _script(harness, *answer("cheap ", "answer"))
    given = harness.ask().unwrap()
    assert given.info.version == CHEAP
    assert _text(given) == "cheap answer"


def test_a_version_withdrawn_between_choice_and_dispatch_gets_no_work() -> None:
    harness = ServingHarness()
    _script(harness, *answer("text"))

    def withdraw() -> None:
        harness.configuration = dataclasses.replace(
            harness.configuration, revision=2, withdrawn=frozenset({CHEAP})
        )

    harness.on_table = withdraw
    problem = harness.ask().failure()
    assert problem.outcome is Outcome.NOT_RUN
    assert all(not engine.requests for engine in harness.engines.values())


def test_a_failure_domain_taken_out_gets_no_work() -> None:
    harness = ServingHarness()
    _script(harness, *answer("text"))
    harness.configuration = dataclasses.replace(
        harness.configuration, revision=2, failure_domains_out=frozenset({"a"})
    )
    assert _text(harness.ask().unwrap()) == "text"
    assert not harness.engines["engine-a"].requests


def test_a_run_names_the_incarnation_that_it_was_admitted_to() -> None:
    harness = ServingHarness()
    _script(harness, *answer("text"))
    assert _text(harness.ask().unwrap()) == "text"
    named = {
        name: [one.upstream_incarnation for one in engine.requests]
        for name, engine in harness.engines.items()
    }
    assert [f"{name}-1" for name in named if named[name]] == [
        one for requests in named.values() for one in requests
    ]


def test_a_broken_stream_is_resumed_without_repeats() -> None:
    harness = ServingHarness()
    whole = answer("one ", "two ", "three")
    _script(harness, *answer("", confidence=0.0))
    broken = IncompleteReplyError("engine", "cut")
    _script(harness, *whole[:2], broken)
    for engine in harness.engines.values():
        engine.hold("r1:1", *whole)
    assert _text(harness.ask().unwrap()) == "one two three"


def test_a_stream_that_is_held_nowhere_ends_with_a_clear_error() -> None:
    harness = ServingHarness()
    _script(harness, *answer("", confidence=0.0))
    cut = IncompleteReplyError("engine", "cut")
    _script(harness, Chunk(index=0, text="one", tokens=1), cut)
    given = harness.ask().unwrap()
    events = list(given)
    given.close()
    assert isinstance(events[-1], Truncated)
    assert events[-1].problem.outcome is Outcome.FAILED
    # The partial bill gives way to a whole one, should the caller resume.
    assert [bill.is_whole for bill in harness.bills] == [False]


@pytest.mark.parametrize("error", [ConnectError, RefusedError])
def test_a_request_that_no_engine_ran_is_refused_as_not_run(
    error: type[ConnectError] | type[RefusedError],
) -> None:
    harness = ServingHarness()
    for _ in range(4):
        _script(harness, error("engine", "no"))
    problem = harness.ask().failure()
    assert problem.outcome is Outcome.NOT_RUN
    assert problem.retry_after_ms is not None
    assert harness.directory.in_flight() == 0


def test_a_caller_that_leaves_frees_the_place() -> None:
    harness = ServingHarness()
    _script(harness, *answer("", confidence=0.0))
    _script(harness, *answer("one", "two"))
    given = harness.ask().unwrap()
    next(iter(given))
    given.close()
    assert harness.directory.in_flight() == 0


def test_an_answer_that_its_caller_left_may_run_on() -> None:
    harness = ServingHarness()
    _script(harness, *answer("", confidence=0.0))
    _script(harness, *answer("one", "two"))
    given = harness.ask().unwrap()
    next(iter(given))
    given.close()
    assert harness.gates.may_run == [False, True]


@pytest.mark.parametrize(
    ("error", "may_run"),
    [
        (ConnectError, False),
        (RefusedError, False),
        (IncompleteReplyError, True),
        (OverloadedError, True),
    ],
)
def test_only_work_that_is_known_to_have_ended_makes_room(
    error: type[UpstreamError], may_run: bool
) -> None:
    harness = ServingHarness()
    for _ in range(4):
        _script(harness, error("engine", "no"))
    harness.ask().failure()
    assert set(harness.gates.may_run) == {may_run}


@pytest.mark.parametrize("is_last", [False, True])
def test_an_engine_that_breaks_off_in_an_answer_is_suspected(
    is_last: bool,
) -> None:
    harness = ServingHarness()
    if is_last:
        _script(harness, *answer("", confidence=0.0))
    cut = IncompleteReplyError("engine", "cut")
    _script(harness, *answer("one ", "two")[:1], cut)
    given = harness.ask()
    if is_last:
        list(given.unwrap())
        given.unwrap().close()
    assert harness.gates.outcomes[int(is_last)] is WorkOutcome.UNREACHABLE


def test_a_cold_engine_gets_no_work_without_credit() -> None:
    harness = ServingHarness()
    harness.gates.cold = {"engine-a", "engine-b"}
    _script(harness, *answer("text"))
    harness.waiter.wait_actions = [harness.gates.cold.clear]
    assert _text(harness.ask().unwrap()) == "text"
    assert set(harness.gates.demanded) == {"engine-a", "engine-b"}


def test_an_engine_that_lacks_the_version_gets_no_work() -> None:
    harness = ServingHarness()
    _script(harness, *answer("text"))
    harness.hear_versions("engine-a")
    harness.hear_versions("engine-b", CHEAP, DEAR)
    assert _text(harness.ask().unwrap()) == "text"
    assert not harness.engines["engine-a"].requests


def test_waiting_ends_as_soon_as_no_start_can_be_in_time() -> None:
    harness = ServingHarness()
    harness.gates.cold = {"engine-a", "engine-b"}
    started_ms = harness.clock.now_ms()
    problem = harness.ask().failure()
    assert problem.outcome is Outcome.NOT_RUN
    # The task's deadline is 60 s.
    assert harness.clock.now_ms() - started_ms < 60_000
    assert harness.queue.waiting == 0


def test_an_upstream_that_was_not_heard_lately_gets_no_work() -> None:
    harness = ServingHarness()
    _script(harness, *answer("text"))
    harness.clock.advance(5_000)
    harness.waiter.on_advance = lambda: None
    harness.waiter.wait_actions = [lambda: None, harness.hear_upstreams]
    started_ms = harness.clock.now_ms()
    assert _text(harness.ask().unwrap()) == "text"
    assert harness.clock.now_ms() > started_ms


def test_a_place_that_gets_free_before_the_wait_is_not_waited_for() -> None:
    harness = ServingHarness()
    harness.gates.cold = {"engine-a", "engine-b"}
    _script(harness, *answer("text"))
    demand = harness.gates.demand

    def grant_at_once(upstream: str, change: int) -> None:
        demand(upstream, change)
        harness.gates.cold.clear()
        harness.queue.notify()

    harness.gates.demand = grant_at_once  # type: ignore[method-assign]
    started_ms = harness.clock.now_ms()
    assert _text(harness.ask().unwrap()) == "text"
    assert harness.clock.now_ms() == started_ms


def test_a_cold_engine_is_asked_for_work_while_others_have_room() -> None:
    harness = ServingHarness()
    harness.gates.cold = {"engine-b"}
    _script(harness, *answer("text"))
    assert _text(harness.ask().unwrap()) == "text"
    assert harness.gates.invited == {"engine-b"}

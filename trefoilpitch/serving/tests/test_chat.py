import dataclasses

import pytest

from trefoilpitch.coldstart import WorkOutcome
from trefoilpitch.serving import ChatResponse, Completed, Delta, Truncated
from trefoilpitch.serving.tests.harness import (
    CHEAP,
    EXPENSIVE,
    ServingHarness,
    completion_items,
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


def _script_engines(harness: ServingHarness, *items: object) -> None:
    for engine in harness.engines.values():
        engine.script(*items)  # type: ignore[arg-type]


def _text(response: ChatResponse) -> str:
    events = list(response)
    response.close()
    assert isinstance(events[-1], Completed)
    return "".join(one.text for one in events if isinstance(one, Delta))


def test_rejected_response_is_billed_but_not_delivered() -> None:
    harness = ServingHarness()
    _script_engines(
        harness, *completion_items("cheap ", "guess", confidence=0.1)
    )
    _script_engines(harness, *completion_items("expensive ", "answer"))
    response = harness.send_chat().unwrap()
    assert response.info.version == EXPENSIVE
    text = _text(response)
    assert "cheap" not in text
    (bill,) = harness.bills
    assert [line.item for line in bill.lines] == ["cheap@1", "expensive@1"]
    assert bill.cost_nano == 2 * (10 * 1 + 2 * 2)


def test_confident_response_of_the_cheap_model_is_delivered() -> None:
    harness = ServingHarness()
    _script_engines(harness, *completion_items("cheap ", "answer"))
    response = harness.send_chat().unwrap()
    assert response.info.version == CHEAP
    assert _text(response) == "cheap answer"


def test_version_withdrawn_between_choice_and_dispatch_gets_no_work() -> None:
    harness = ServingHarness()
    _script_engines(harness, *completion_items("text"))

    def withdraw() -> None:
        harness.configuration = dataclasses.replace(
            harness.configuration, revision=2, withdrawn=frozenset({CHEAP})
        )

    harness.on_table = withdraw
    problem = harness.send_chat().failure()
    assert problem.outcome is Outcome.NOT_RUN
    assert all(not engine.requests for engine in harness.engines.values())


def test_failure_domain_out_of_service_gets_no_work() -> None:
    harness = ServingHarness()
    _script_engines(harness, *completion_items("text"))
    harness.configuration = dataclasses.replace(
        harness.configuration, revision=2, failure_domains_out=frozenset({"a"})
    )
    assert _text(harness.send_chat().unwrap()) == "text"
    assert not harness.engines["engine-a"].requests


def test_run_is_sent_with_the_upstream_incarnation_of_its_admission() -> None:
    harness = ServingHarness()
    _script_engines(harness, *completion_items("text"))
    assert _text(harness.send_chat().unwrap()) == "text"
    named = {
        name: [one.upstream_incarnation for one in engine.requests]
        for name, engine in harness.engines.items()
    }
    assert [f"{name}-1" for name in named if named[name]] == [
        one for requests in named.values() for one in requests
    ]


def test_lost_stream_is_resumed_without_duplicate_chunks() -> None:
    harness = ServingHarness()
    full_items = completion_items("one ", "two ", "three")
    _script_engines(harness, *completion_items("", confidence=0.0))
    lost = IncompleteReplyError("engine", "cut")
    _script_engines(harness, *full_items[:2], lost)
    for engine in harness.engines.values():
        engine.hold("r1:1", *full_items)
    assert _text(harness.send_chat().unwrap()) == "one two three"


def test_lost_stream_that_cannot_be_resumed_ends_with_a_problem() -> None:
    harness = ServingHarness()
    _script_engines(harness, *completion_items("", confidence=0.0))
    truncated = IncompleteReplyError("engine", "cut")
    _script_engines(harness, Chunk(index=0, text="one", tokens=1), truncated)
    response = harness.send_chat().unwrap()
    events = list(response)
    response.close()
    assert isinstance(events[-1], Truncated)
    assert events[-1].problem.outcome is Outcome.FAILED
    # A complete bill replaces the partial one if the caller resumes.
    assert [bill.is_whole for bill in harness.bills] == [False]


@pytest.mark.parametrize("error", [ConnectError, RefusedError])
def test_request_that_no_engine_ran_is_refused_as_not_run(
    error: type[ConnectError] | type[RefusedError],
) -> None:
    harness = ServingHarness()
    for _ in range(4):
        _script_engines(harness, error("engine", "no"))
    problem = harness.send_chat().failure()
    assert problem.outcome is Outcome.NOT_RUN
    assert problem.retry_after_ms is not None
    assert harness.directory.in_flight() == 0


def test_closing_a_response_releases_the_slot() -> None:
    harness = ServingHarness()
    _script_engines(harness, *completion_items("", confidence=0.0))
    _script_engines(harness, *completion_items("one", "two"))
    response = harness.send_chat().unwrap()
    next(iter(response))
    response.close()
    assert harness.directory.in_flight() == 0


def test_abandoned_response_counts_as_possibly_still_running() -> None:
    harness = ServingHarness()
    _script_engines(harness, *completion_items("", confidence=0.0))
    _script_engines(harness, *completion_items("one", "two"))
    response = harness.send_chat().unwrap()
    next(iter(response))
    response.close()
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
def test_only_failures_that_prove_the_end_of_a_run_free_capacity(
    error: type[UpstreamError], may_run: bool
) -> None:
    harness = ServingHarness()
    for _ in range(4):
        _script_engines(harness, error("engine", "no"))
    harness.send_chat().failure()
    assert set(harness.gates.may_run) == {may_run}


@pytest.mark.parametrize("is_last", [False, True])
def test_truncated_response_is_recorded_as_unreachable(
    is_last: bool,
) -> None:
    harness = ServingHarness()
    if is_last:
        _script_engines(harness, *completion_items("", confidence=0.0))
    truncated = IncompleteReplyError("engine", "cut")
    _script_engines(harness, *completion_items("one ", "two")[:1], truncated)
    response = harness.send_chat()
    if is_last:
        list(response.unwrap())
        response.unwrap().close()
    assert harness.gates.outcomes[int(is_last)] is WorkOutcome.UNREACHABLE


def test_cold_engine_gets_no_work_without_credit() -> None:
    harness = ServingHarness()
    harness.gates.cold = {"engine-a", "engine-b"}
    _script_engines(harness, *completion_items("text"))
    harness.waiter.wait_actions = [harness.gates.cold.clear]
    assert _text(harness.send_chat().unwrap()) == "text"
    assert set(harness.gates.demanded) == {"engine-a", "engine-b"}


def test_engine_that_lacks_the_version_gets_no_work() -> None:
    harness = ServingHarness()
    _script_engines(harness, *completion_items("text"))
    harness.report_versions("engine-a")
    harness.report_versions("engine-b", CHEAP, EXPENSIVE)
    assert _text(harness.send_chat().unwrap()) == "text"
    assert not harness.engines["engine-a"].requests


def test_wait_ends_once_the_deadline_cannot_be_met() -> None:
    harness = ServingHarness()
    harness.gates.cold = {"engine-a", "engine-b"}
    started_ms = harness.clock.now_ms()
    problem = harness.send_chat().failure()
    assert problem.outcome is Outcome.NOT_RUN
    # The task's deadline is 60 s.
    assert harness.clock.now_ms() - started_ms < 60_000
    assert harness.queue.waiting == 0


def test_upstream_without_a_recent_load_query_gets_no_work() -> None:
    harness = ServingHarness()
    _script_engines(harness, *completion_items("text"))
    harness.clock.advance(5_000)
    harness.waiter.on_advance = lambda: None
    harness.waiter.wait_actions = [lambda: None, harness.mark_upstreams_polled]
    started_ms = harness.clock.now_ms()
    assert _text(harness.send_chat().unwrap()) == "text"
    assert harness.clock.now_ms() > started_ms


def test_slot_released_before_the_wait_is_used_at_once() -> None:
    harness = ServingHarness()
    harness.gates.cold = {"engine-a", "engine-b"}
    _script_engines(harness, *completion_items("text"))
    demand = harness.gates.demand

    def grant_at_once(upstream: str, change: int) -> None:
        demand(upstream, change)
        harness.gates.cold.clear()
        harness.queue.notify()

    harness.gates.demand = grant_at_once  # type: ignore[method-assign]
    started_ms = harness.clock.now_ms()
    assert _text(harness.send_chat().unwrap()) == "text"
    assert harness.clock.now_ms() == started_ms


def test_work_is_requested_for_a_cold_engine_while_others_have_free_slots() -> (
    None
):
    harness = ServingHarness()
    harness.gates.cold = {"engine-b"}
    _script_engines(harness, *completion_items("text"))
    assert _text(harness.send_chat().unwrap()) == "text"
    assert harness.gates.warm_up_requested == {"engine-b"}

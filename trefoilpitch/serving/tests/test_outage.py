"""Tests of requests that no upstream can serve."""

import dataclasses

import pytest

from trefoilpitch.serving.tests.harness import ServingHarness, answer
from trefoilpitch.upstreams import ConnectError
from trefoilpitch.web import Outcome, Problem

_ENGINES = ("engine-a", "engine-b")
_WORKERS = ("worker-a", "worker-b")


def _lose(harness: ServingHarness, *upstreams: str) -> None:
    for name in upstreams:
        harness.directory.record_report_failure(name, unreachable=True)
    harness.gates.cold |= set(upstreams)
    harness.waiter.on_advance = lambda: None


def _ask(harness: ServingHarness, upstreams: tuple[str, ...]) -> Problem:
    if upstreams is _ENGINES:
        return harness.ask().failure()
    return harness.call("create-loan", "POST").failure()


@pytest.mark.parametrize("upstreams", [_ENGINES, _WORKERS])
def test_known_outage_is_refused_at_once_with_a_time_to_come_back(
    upstreams: tuple[str, ...],
) -> None:
    harness = ServingHarness()
    _lose(harness, *upstreams)
    harness.clock.advance(2_500)
    started_ms = harness.clock.now_ms()
    problem = _ask(harness, upstreams)
    assert harness.clock.now_ms() == started_ms
    assert (problem.status, problem.code) == (503, "no-upstream")
    assert problem.outcome is Outcome.NOT_RUN
    assert problem.retry_after_ms == 2_500
    assert harness.queue.waiting == 0


@pytest.mark.parametrize("upstreams", [_ENGINES, _WORKERS])
def test_outage_that_begins_is_waited_for_briefly(
    upstreams: tuple[str, ...],
) -> None:
    harness = ServingHarness()
    _lose(harness, *upstreams)
    started_ms = harness.clock.now_ms()
    problem = _ask(harness, upstreams)
    assert problem.outcome is Outcome.NOT_RUN
    assert 0 < harness.clock.now_ms() - started_ms <= 1_100


def test_engine_that_returns_in_time_serves_what_waited() -> None:
    harness = ServingHarness()
    for engine in harness.engines.values():
        engine.script(*answer("text"))
    _lose(harness, *_ENGINES)

    def come_back() -> None:
        harness.gates.cold.clear()
        harness.hear_versions("engine-a")
        harness.directory.record_report_failure("engine-a")

    harness.waiter.wait_actions = [lambda: None, come_back]
    assert harness.ask().unwrap()


def test_one_engine_that_can_be_reached_is_waited_for() -> None:
    harness = ServingHarness()
    for engine in harness.engines.values():
        engine.script(*answer("text"))
    _lose(harness, "engine-a")
    harness.clock.advance(2_500)
    harness.hear_upstreams()
    _lose(harness, "engine-a")
    harness.gates.cold = set(_ENGINES)
    waits = [lambda: None] * 15
    harness.waiter.wait_actions = [*waits, harness.gates.cold.clear]
    harness.waiter.on_advance = lambda: harness.directory.record_report_failure(
        "engine-b"
    )
    assert harness.ask().unwrap()


def test_upstreams_taken_out_of_service_are_not_waited_for_long() -> None:
    harness = ServingHarness()
    bundle = harness.configuration.bundle
    assert bundle is not None
    pools = tuple(
        dataclasses.replace(pool, upstreams=()) for pool in bundle.pools
    )
    harness.configuration = dataclasses.replace(
        harness.configuration, bundle=dataclasses.replace(bundle, pools=pools)
    )
    started_ms = harness.clock.now_ms()
    assert harness.ask().failure().outcome is Outcome.NOT_RUN
    assert harness.clock.now_ms() - started_ms <= 1_100
    again_ms = harness.clock.now_ms()
    assert harness.ask().failure().retry_after_ms is not None
    assert harness.clock.now_ms() == again_ms


def test_callers_are_not_told_the_names_of_upstreams() -> None:
    harness = ServingHarness()
    for engine in harness.engines.values():
        for _ in range(4):
            engine.script(ConnectError("engine-a", "10.0.0.7:80 refused"))
    problem = harness.ask().failure()
    for secret in ("engine-a", "engine-b", "10.0.0.7"):
        assert secret not in problem.title
        assert secret not in problem.detail

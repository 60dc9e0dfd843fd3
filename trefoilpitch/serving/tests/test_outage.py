"""Tests of requests during an outage of all their upstreams."""

import dataclasses

import pytest

from trefoilpitch.serving.tests.harness import ServingHarness, completion_items
from trefoilpitch.upstreams import ConnectError
from trefoilpitch.web import Outcome, Problem

_ENGINES = ("engine-a", "engine-b")
_WORKERS = ("worker-a", "worker-b")


def _make_unreachable(harness: ServingHarness, *upstreams: str) -> None:
    for name in upstreams:
        harness.directory.record_report_failure(name, unreachable=True)
    harness.gates.cold |= set(upstreams)
    harness.waiter.on_advance = lambda: None


def _send(harness: ServingHarness, upstreams: tuple[str, ...]) -> Problem:
    if upstreams is _ENGINES:
        return harness.send_chat().failure()
    return harness.call("create-loan", "POST").failure()


@pytest.mark.parametrize("upstreams", [_ENGINES, _WORKERS])
def test_request_in_a_known_outage_is_refused_at_once_with_retry_after(
    upstreams: tuple[str, ...],
) -> None:
    harness = ServingHarness()
    _make_unreachable(harness, *upstreams)
    harness.clock.advance(2_500)
    started_ms = harness.clock.now_ms()
    problem = _send(harness, upstreams)
    assert harness.clock.now_ms() == started_ms
    assert (problem.status, problem.code) == (503, "no-upstream")
    assert problem.outcome is Outcome.NOT_RUN
    assert problem.retry_after_ms == 2_500
    assert harness.queue.waiting == 0


@pytest.mark.parametrize("upstreams", [_ENGINES, _WORKERS])
def test_request_waits_briefly_at_the_start_of_an_outage(
    upstreams: tuple[str, ...],
) -> None:
    harness = ServingHarness()
    _make_unreachable(harness, *upstreams)
    started_ms = harness.clock.now_ms()
    problem = _send(harness, upstreams)
    assert problem.outcome is Outcome.NOT_RUN
    assert 0 < harness.clock.now_ms() - started_ms <= 1_100


def test_engine_that_recovers_in_time_serves_the_waiting_request() -> None:
    harness = ServingHarness()
    for engine in harness.engines.values():
        engine.script(*completion_items("text"))
    _make_unreachable(harness, *_ENGINES)

    def recover() -> None:
        harness.gates.cold.clear()
        harness.report_versions("engine-a")
        harness.directory.record_report_failure("engine-a")

    harness.waiter.wait_actions = [lambda: None, recover]
    assert harness.send_chat().unwrap()


def test_request_waits_while_one_engine_is_reachable() -> None:
    harness = ServingHarness()
    for engine in harness.engines.values():
        engine.script(*completion_items("text"))
    _make_unreachable(harness, "engine-a")
    harness.clock.advance(2_500)
    harness.mark_upstreams_polled()
    _make_unreachable(harness, "engine-a")
    harness.gates.cold = set(_ENGINES)
    waits = [lambda: None] * 15
    harness.waiter.wait_actions = [*waits, harness.gates.cold.clear]
    harness.waiter.on_advance = lambda: harness.directory.record_report_failure(
        "engine-b"
    )
    assert harness.send_chat().unwrap()


def test_request_waits_only_briefly_if_no_upstream_is_in_service() -> None:
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
    assert harness.send_chat().failure().outcome is Outcome.NOT_RUN
    assert harness.clock.now_ms() - started_ms <= 1_100
    second_sent_ms = harness.clock.now_ms()
    assert harness.send_chat().failure().retry_after_ms is not None
    assert harness.clock.now_ms() == second_sent_ms


def test_problems_do_not_name_upstreams() -> None:
    harness = ServingHarness()
    for engine in harness.engines.values():
        for _ in range(4):
            engine.script(ConnectError("engine-a", "10.0.0.7:80 refused"))
    problem = harness.send_chat().failure()
    for secret in ("engine-a", "engine-b", "10.0.0.7"):
        assert secret not in problem.title
        assert secret not in problem.detail

"""Tests of requests that no upstream can serve."""

import dataclasses

import pytest

from trefoilpitch.serving.tests.world import World, answer
from trefoilpitch.upstreams import ConnectError
from trefoilpitch.web import Outcome, Problem

_ENGINES = ("engine-a", "engine-b")
_WORKERS = ("worker-a", "worker-b")


def _lose(world: World, *upstreams: str) -> None:
    for name in upstreams:
        world.directory.record_no_report(name, unreachable=True)
    world.gates.cold |= set(upstreams)
    world.parking.on_advance = lambda: None


def _ask(world: World, upstreams: tuple[str, ...]) -> Problem:
    if upstreams is _ENGINES:
        return world.ask().failure()
    return world.call("create-loan", "POST").failure()


@pytest.mark.parametrize("upstreams", [_ENGINES, _WORKERS])
def test_known_outage_is_refused_at_once_with_a_time_to_come_back(
    upstreams: tuple[str, ...],
) -> None:
    world = World()
    _lose(world, *upstreams)
    world.clock.advance(2_500)
    started_ms = world.clock.now_ms()
    problem = _ask(world, upstreams)
    assert world.clock.now_ms() == started_ms
    assert (problem.status, problem.code) == (503, "no-upstream")
    assert problem.outcome is Outcome.NOT_RUN
    assert problem.retry_after_ms == 2_500
    assert world.queue.waiting == 0


@pytest.mark.parametrize("upstreams", [_ENGINES, _WORKERS])
def test_outage_that_begins_is_waited_for_briefly(
    upstreams: tuple[str, ...],
) -> None:
    world = World()
    _lose(world, *upstreams)
    started_ms = world.clock.now_ms()
    problem = _ask(world, upstreams)
    assert problem.outcome is Outcome.NOT_RUN
    assert 0 < world.clock.now_ms() - started_ms <= 1_100


def test_engine_that_returns_in_time_serves_what_waited() -> None:
    world = World()
    for engine in world.engines.values():
        engine.script(*answer("text"))
    _lose(world, *_ENGINES)

    def come_back() -> None:
        world.gates.cold.clear()
        world.hear_versions("engine-a")
        world.directory.record_no_report("engine-a")

    world.parking.meanwhile = [lambda: None, come_back]
    assert world.ask().unwrap()


def test_one_engine_that_can_be_reached_is_waited_for() -> None:
    world = World()
    for engine in world.engines.values():
        engine.script(*answer("text"))
    _lose(world, "engine-a")
    world.clock.advance(2_500)
    world.hear_upstreams()
    _lose(world, "engine-a")
    world.gates.cold = set(_ENGINES)
    waits = [lambda: None] * 15
    world.parking.meanwhile = [*waits, world.gates.cold.clear]
    world.parking.on_advance = lambda: world.directory.record_no_report(
        "engine-b"
    )
    assert world.ask().unwrap()


def test_upstreams_taken_out_of_service_are_not_waited_for_long() -> None:
    world = World()
    bundle = world.configuration.bundle
    assert bundle is not None
    pools = tuple(
        dataclasses.replace(pool, upstreams=()) for pool in bundle.pools
    )
    world.configuration = dataclasses.replace(
        world.configuration, bundle=dataclasses.replace(bundle, pools=pools)
    )
    started_ms = world.clock.now_ms()
    assert world.ask().failure().outcome is Outcome.NOT_RUN
    assert world.clock.now_ms() - started_ms <= 1_100
    again_ms = world.clock.now_ms()
    assert world.ask().failure().retry_after_ms is not None
    assert world.clock.now_ms() == again_ms


def test_callers_are_not_told_the_names_of_upstreams() -> None:
    world = World()
    for engine in world.engines.values():
        for _ in range(4):
            engine.script(ConnectError("engine-a", "10.0.0.7:80 refused"))
    problem = world.ask().failure()
    for secret in ("engine-a", "engine-b", "10.0.0.7"):
        assert secret not in problem.title
        assert secret not in problem.detail

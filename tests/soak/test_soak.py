"""Tests of the soak's plan and checks, and a short run of the real programs."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import random
from collections.abc import Awaitable, Callable

import pytest

from tools.soak._checks import (
    Attempt,
    Ban,
    Disturbance,
    ExtraRoute,
    History,
    Kind,
    Run,
    find_violations,
)
from tools.soak._plan import CALM_MS, draw_plan
from tools.soak._run import Settings, run_once
from tools.soak._world import World
from trefoilpitch.standins import WorkerFault

_EVENTS = 2
_STREAM = b"id: 1\ndata: r1-1\n\nid: 2\ndata: r1-2\n\n"


def _attempt(kind: Kind = Kind.IDEMPOTENT, **fields: object) -> Attempt:
    line = f"POST {kind.value}x"
    received = _STREAM if kind is Kind.STREAM else f"w0 {line} b".encode()
    values: dict[str, object] = {
        "request_id": "r1",
        "kind": kind,
        "daemon": "vm-0",
        "line": line,
        "body": b"b",
        "sent_ms": 20_000,
        "ended_ms": 20_100,
        "status": 200,
        "answer_id": "r1",
        "seal": "seal-w0",
        "received": received,
        "complete": True,
    }
    return Attempt(**(values | fields))  # type: ignore[arg-type]


def _run(attempt: Attempt, **fields: object) -> Run:
    values: dict[str, object] = {
        "request_id": attempt.request_id,
        "worker": "w0",
        "domain": "zone-a",
        "line": attempt.line,
        "body": attempt.body,
        "headers": {"x-trefoilpitch-tenant": "workspace-a"},
        "fault": None,
        "at_ms": 20_010,
    }
    return Run(**(values | fields))  # type: ignore[arg-type]


def _history(attempt: Attempt, *runs: Run) -> History:
    return History(attempts={attempt.request_id: attempt}, runs=list(runs))


def _found(history: History, *, timed: bool = True) -> list[str]:
    found = find_violations(history, timed=timed, events=_EVENTS)
    return [line.split()[0] for line in found]


@pytest.mark.parametrize("kind", list(Kind))
def test_what_is_right_breaks_nothing(kind: Kind) -> None:
    attempt = _attempt(kind)
    assert _found(_history(attempt, _run(attempt))) == []


def _once_twice() -> History:
    attempt = _attempt(Kind.ONCE)
    return _history(attempt, _run(attempt), _run(attempt, worker="w1"))


def _refused_after_run() -> History:
    attempt = _attempt(Kind.ONCE, status=503, seal=None, received=b"")
    return _history(attempt, _run(attempt))


def _changed(**fields: object) -> Callable[[], History]:
    def make() -> History:
        attempt = _attempt()
        return _history(attempt, _run(attempt, **fields))

    return make


def _smuggled(**fields: object) -> Callable[[], History]:
    def make() -> History:
        attempt = _attempt(status=502, seal=None, received=b"")
        return _history(attempt, _run(attempt, **fields))

    return make


def _answered(kind: Kind, **fields: object) -> Callable[[], History]:
    def make() -> History:
        attempt = _attempt(kind, **fields)
        return _history(attempt, _run(attempt))

    return make


def _unsent() -> History:
    return History(runs=[_run(_attempt())])


def _denied(target: str = "/plain/x") -> History:
    attempt = _attempt(
        status=404, seal=None, received=b"", line=f"POST {target}"
    )
    return _history(attempt)


def _added_route_denied() -> History:
    history = _denied("/extra-3/x")
    route = ExtraRoute(prefix="/extra-3/", from_ms=10_000, to_ms=90_000)
    history.extra_routes.append(route)
    return history


def _banned(**what: str) -> Callable[[], History]:
    def make() -> History:
        attempt = _attempt()
        history = _history(attempt, _run(attempt))
        history.bans.append(
            Ban(from_ms=10_000, bound_ms=2_000, to_ms=90_000, **what)
        )
        return history

    return make


def _cut_by_stop() -> History:
    attempt = _attempt(complete=False, received=b"")
    history = _history(attempt, _run(attempt))
    stop = Disturbance(
        subject="vm-0", from_ms=20_050, to_ms=28_050, planned=True
    )
    history.disturbances.append(stop)
    return history


_BROKEN = [
    (_once_twice, "TWICE"),
    (_refused_after_run, "REFUSED"),
    (_unsent, "UNASKED"),
    (_smuggled(line="POST /plain/y"), "UNASKED"),
    (_smuggled(body=b"c"), "UNASKED"),
    (_changed(headers={"x-trefoilpitch-tenant": "forged"}), "UNASKED"),
    (
        _changed(
            headers={"x-trefoilpitch-tenant": "workspace-a", "api-key": "k"}
        ),
        "UNASKED",
    ),
    (_answered(Kind.IDEMPOTENT, answer_id="r2"), "MIXED"),
    (_answered(Kind.IDEMPOTENT, seal=None), "MIXED"),
    (_answered(Kind.IDEMPOTENT, received=b"part"), "MIXED"),
    (_answered(Kind.STREAM, received=_STREAM[:18]), "ORDER"),
    (_answered(Kind.STREAM, received=_STREAM[18:]), "ORDER"),
    (_answered(Kind.STREAM, received=_STREAM + _STREAM), "ORDER"),
    (_denied, "DENIED"),
    (_added_route_denied, "CONFIG"),
    (_banned(worker="w0"), "BANNED"),
    (_banned(domain="zone-a"), "BANNED"),
    (_banned(prefix="/plain/"), "BANNED"),
    (_cut_by_stop, "LOST"),
]


@pytest.mark.parametrize(("make", "name"), _BROKEN)
def test_each_broken_promise_is_found(
    make: Callable[[], History], name: str
) -> None:
    assert set(_found(make())) == {name}


@pytest.mark.parametrize(
    ("make", "disturbed"),
    [
        (_banned(worker="w0"), None),
        (_banned(worker="w0"), "vm-0"),
        (_added_route_denied, None),
        (_cut_by_stop, "vm-0"),
        (_cut_by_stop, "w0"),
    ],
)
def test_time_bounds_hold_only_for_what_nothing_disturbs(
    make: Callable[[], History], disturbed: str | None
) -> None:
    history = make()
    cut = Disturbance(subject=disturbed, from_ms=19_000, to_ms=19_500)
    history.disturbances.append(cut)
    assert _found(history) == []
    assert _found(make(), timed=False) == []


@pytest.mark.parametrize("make", [_banned(worker="w0"), _added_route_denied])
def test_disturbance_long_before_is_no_excuse(
    make: Callable[[], History],
) -> None:
    history = make()
    cut = Disturbance(subject="vm-0", from_ms=9_000, to_ms=14_900)
    history.disturbances.append(cut)
    assert len(_found(history)) == 1


def test_run_after_a_ban_was_lifted_is_allowed() -> None:
    # Seed 247: sent in the last milliseconds of an evacuation, dispatched when
    # the daemon had seen its end.
    history = _banned(domain="zone-a")()
    history.bans = [dataclasses.replace(history.bans[0], to_ms=20_005)]
    assert _found(history) == []


def test_cut_by_a_faulty_worker_is_not_the_stops() -> None:
    history = _cut_by_stop()
    attempt = history.attempts["r1"]
    history.runs = [_run(attempt, fault=WorkerFault.LOST)]
    assert _found(history) == []


def test_plan_follows_from_its_seed_and_ends_calmly() -> None:
    plan = draw_plan(3, 60_000)
    assert plan == draw_plan(3, 60_000)
    assert plan != draw_plan(4, 60_000)
    assert len(plan) > 20
    assert max(step.at_ms for step in plan) <= 60_000 - CALM_MS


@pytest.mark.parametrize("seed", [1, 2])
def test_short_run_keeps_the_promises(
    seed: int, tmp_path: pathlib.Path
) -> None:
    settings = Settings(
        seed=seed,
        duration_ms=19_000,
        daemons=3,
        workers=2,
        callers=6,
        timed=False,
    )
    report = asyncio.run(run_once(settings, tmp_path))
    assert report.violations == ()
    assert report.outcomes["200"] > 100


def _exits_after(
    folder: pathlib.Path, act: Callable[[World], Awaitable[None]]
) -> list[str]:
    async def scenario() -> list[str]:
        rng = random.Random(1)
        async with World(folder, daemons=1, workers=1, rng=rng) as world:
            await act(world)
            return world.daemons.exits

    return asyncio.run(scenario())


def test_daemon_that_is_paused_when_told_to_stop_leaves_in_its_grace(
    tmp_path: pathlib.Path,
) -> None:
    # Seeds 110, 120, 121 and 130.
    async def act(world: World) -> None:
        await world.daemons.listening("vm-0")
        pause = asyncio.create_task(world.daemons.pause("vm-0", 600))
        await asyncio.sleep(0)
        await world.daemons.terminate("vm-0")
        await pause

    assert _exits_after(tmp_path, act) == []


def test_daemon_that_is_told_to_stop_as_it_starts_has_nothing_to_finish(
    tmp_path: pathlib.Path,
) -> None:
    # Seed 101.
    async def act(world: World) -> None:
        await world.daemons.terminate("vm-0")

    assert _exits_after(tmp_path, act) == []

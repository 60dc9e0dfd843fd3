"""Tests of the soak's plan and checks, and a short run of the real programs."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import random
from collections.abc import Awaitable, Callable

import pytest

from tools.soak._checks import (
    Ban,
    CallerRequest,
    Disturbance,
    ExtraRoute,
    History,
    RecordedRun,
    RequestKind,
    find_violations,
)
from tools.soak._harness import SoakHarness
from tools.soak._plan import RECOVERY_PHASE_MS, draw_plan
from tools.soak._run import Settings, run_once
from trefoilpitch.standins import WorkerFault

_EVENTS = 2
_STREAM = b"id: 1\ndata: r1-1\n\nid: 2\ndata: r1-2\n\n"


def _request(
    kind: RequestKind = RequestKind.IDEMPOTENT, **fields: object
) -> CallerRequest:
    line = f"POST {kind.value}x"
    received = (
        _STREAM if kind is RequestKind.STREAM else f"w0 {line} b".encode()
    )
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
    return CallerRequest(**(values | fields))  # type: ignore[arg-type]


def _run(request: CallerRequest, **fields: object) -> RecordedRun:
    values: dict[str, object] = {
        "request_id": request.request_id,
        "worker": "w0",
        "domain": "zone-a",
        "line": request.line,
        "body": request.body,
        "headers": {"x-trefoilpitch-tenant": "workspace-a"},
        "fault": None,
        "at_ms": 20_010,
    }
    return RecordedRun(**(values | fields))  # type: ignore[arg-type]


def _history(request: CallerRequest, *runs: RecordedRun) -> History:
    return History(requests={request.request_id: request}, runs=list(runs))


def _found(history: History, *, timed: bool = True) -> list[str]:
    found = find_violations(history, timed=timed, events=_EVENTS)
    return [line.split()[0] for line in found]


@pytest.mark.parametrize("kind", list(RequestKind))
def test_what_is_right_breaks_nothing(kind: RequestKind) -> None:
    request = _request(kind)
    assert _found(_history(request, _run(request))) == []


def _once_twice() -> History:
    request = _request(RequestKind.ONCE)
    return _history(request, _run(request), _run(request, worker="w1"))


def _refused_after_run() -> History:
    request = _request(RequestKind.ONCE, status=503, seal=None, received=b"")
    return _history(request, _run(request))


def _changed(**fields: object) -> Callable[[], History]:
    def make() -> History:
        request = _request()
        return _history(request, _run(request, **fields))

    return make


def _smuggled(**fields: object) -> Callable[[], History]:
    def make() -> History:
        request = _request(status=502, seal=None, received=b"")
        return _history(request, _run(request, **fields))

    return make


def _answered(kind: RequestKind, **fields: object) -> Callable[[], History]:
    def make() -> History:
        request = _request(kind, **fields)
        return _history(request, _run(request))

    return make


def _unsent() -> History:
    return History(runs=[_run(_request())])


def _denied(target: str = "/plain/x") -> History:
    request = _request(
        status=404, seal=None, received=b"", line=f"POST {target}"
    )
    return _history(request)


def _added_route_denied() -> History:
    history = _denied("/extra-3/x")
    route = ExtraRoute(prefix="/extra-3/", from_ms=10_000, to_ms=90_000)
    history.extra_routes.append(route)
    return history


def _banned(**what: str) -> Callable[[], History]:
    def make() -> History:
        request = _request()
        history = _history(request, _run(request))
        history.bans.append(
            Ban(from_ms=10_000, bound_ms=2_000, to_ms=90_000, **what)
        )
        return history

    return make


def _cut_by_stop() -> History:
    request = _request(complete=False, received=b"")
    history = _history(request, _run(request))
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
    (_answered(RequestKind.IDEMPOTENT, answer_id="r2"), "MIXED"),
    (_answered(RequestKind.IDEMPOTENT, seal=None), "MIXED"),
    (_answered(RequestKind.IDEMPOTENT, received=b"part"), "MIXED"),
    (_answered(RequestKind.STREAM, received=_STREAM[:18]), "ORDER"),
    (_answered(RequestKind.STREAM, received=_STREAM[18:]), "ORDER"),
    (_answered(RequestKind.STREAM, received=_STREAM + _STREAM), "ORDER"),
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
    request = history.requests["r1"]
    history.runs = [_run(request, fault=WorkerFault.LOST)]
    assert _found(history) == []


def test_plan_follows_from_its_seed_and_ends_calmly() -> None:
    plan = draw_plan(3, 60_000)
    assert plan == draw_plan(3, 60_000)
    assert plan != draw_plan(4, 60_000)
    assert len(plan) > 20
    assert max(step.at_ms for step in plan) <= 60_000 - RECOVERY_PHASE_MS


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
    folder: pathlib.Path, act: Callable[[SoakHarness], Awaitable[None]]
) -> list[str]:
    async def scenario() -> list[str]:
        rng = random.Random(1)
        async with SoakHarness(
            folder, daemons=1, workers=1, rng=rng
        ) as harness:
            await act(harness)
            return harness.daemons.exits

    return asyncio.run(scenario())


def test_daemon_that_is_paused_when_told_to_stop_leaves_in_its_grace(
    tmp_path: pathlib.Path,
) -> None:
    # Seeds 110, 120, 121 and 130.
    async def act(harness: SoakHarness) -> None:
        await harness.daemons.wait_until_listening("vm-0")
        pause = asyncio.create_task(harness.daemons.pause("vm-0", 600))
        await asyncio.sleep(0)
        await harness.daemons.terminate("vm-0")
        await pause

    assert _exits_after(tmp_path, act) == []


def test_daemon_that_is_told_to_stop_as_it_starts_has_nothing_to_finish(
    tmp_path: pathlib.Path,
) -> None:
    # Seed 101.
    async def act(harness: SoakHarness) -> None:
        await harness.daemons.terminate("vm-0")

    assert _exits_after(tmp_path, act) == []

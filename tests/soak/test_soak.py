"""Tests of the soak test: its plan, its checks and short runs of it."""

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
        "response_request_id": "r1",
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


def _violation_names(history: History, *, timed: bool = True) -> list[str]:
    lines = find_violations(history, timed=timed, events=_EVENTS)
    return [line.split()[0] for line in lines]


@pytest.mark.parametrize("kind", list(RequestKind))
def test_valid_history_has_no_violations(kind: RequestKind) -> None:
    request = _request(kind)
    assert _violation_names(_history(request, _run(request))) == []


def _non_idempotent_run_twice() -> History:
    request = _request(RequestKind.ONCE)
    return _history(request, _run(request), _run(request, worker="w1"))


def _refusal_after_run() -> History:
    request = _request(RequestKind.ONCE, status=503, seal=None, received=b"")
    return _history(request, _run(request))


def _altered_run(**fields: object) -> Callable[[], History]:
    def make() -> History:
        request = _request()
        return _history(request, _run(request, **fields))

    return make


def _altered_run_of_failed_attempt(**fields: object) -> Callable[[], History]:
    def make() -> History:
        request = _request(status=502, seal=None, received=b"")
        return _history(request, _run(request, **fields))

    return make


def _responded(kind: RequestKind, **fields: object) -> Callable[[], History]:
    def make() -> History:
        request = _request(kind, **fields)
        return _history(request, _run(request))

    return make


def _run_without_attempt() -> History:
    return History(runs=[_run(_request())])


def _not_found(target: str = "/plain/x") -> History:
    request = _request(
        status=404, seal=None, received=b"", line=f"POST {target}"
    )
    return _history(request)


def _added_route_not_found() -> History:
    history = _not_found("/extra-3/x")
    route = ExtraRoute(prefix="/extra-3/", from_ms=10_000, to_ms=90_000)
    history.extra_routes.append(route)
    return history


def _run_during_ban(**what: str) -> Callable[[], History]:
    def make() -> History:
        request = _request()
        history = _history(request, _run(request))
        history.bans.append(
            Ban(from_ms=10_000, bound_ms=2_000, to_ms=90_000, **what)
        )
        return history

    return make


def _truncated_by_stop() -> History:
    request = _request(complete=False, received=b"")
    history = _history(request, _run(request))
    stop = Disturbance(
        subject="vm-0", from_ms=20_050, to_ms=28_050, planned=True
    )
    history.disturbances.append(stop)
    return history


_VIOLATIONS = [
    (_non_idempotent_run_twice, "TWICE"),
    (_refusal_after_run, "REFUSED"),
    (_run_without_attempt, "UNASKED"),
    (_altered_run_of_failed_attempt(line="POST /plain/y"), "UNASKED"),
    (_altered_run_of_failed_attempt(body=b"c"), "UNASKED"),
    (_altered_run(headers={"x-trefoilpitch-tenant": "forged"}), "UNASKED"),
    (
        _altered_run(
            headers={"x-trefoilpitch-tenant": "workspace-a", "api-key": "k"}
        ),
        "UNASKED",
    ),
    (_responded(RequestKind.IDEMPOTENT, response_request_id="r2"), "MIXED"),
    (_responded(RequestKind.IDEMPOTENT, seal=None), "MIXED"),
    (_responded(RequestKind.IDEMPOTENT, received=b"part"), "MIXED"),
    (_responded(RequestKind.STREAM, received=_STREAM[:18]), "ORDER"),
    (_responded(RequestKind.STREAM, received=_STREAM[18:]), "ORDER"),
    (_responded(RequestKind.STREAM, received=_STREAM + _STREAM), "ORDER"),
    (_not_found, "DENIED"),
    (_added_route_not_found, "CONFIG"),
    (_run_during_ban(worker="w0"), "BANNED"),
    (_run_during_ban(domain="zone-a"), "BANNED"),
    (_run_during_ban(prefix="/plain/"), "BANNED"),
    (_truncated_by_stop, "LOST"),
]


@pytest.mark.parametrize(("make", "name"), _VIOLATIONS)
def test_each_violation_is_found(
    make: Callable[[], History], name: str
) -> None:
    assert set(_violation_names(make())) == {name}


@pytest.mark.parametrize(
    ("make", "disturbed"),
    [
        (_run_during_ban(worker="w0"), None),
        (_run_during_ban(worker="w0"), "vm-0"),
        (_added_route_not_found, None),
        (_truncated_by_stop, "vm-0"),
        (_truncated_by_stop, "w0"),
    ],
)
def test_disturbance_suspends_time_bounds(
    make: Callable[[], History], disturbed: str | None
) -> None:
    history = make()
    cut = Disturbance(subject=disturbed, from_ms=19_000, to_ms=19_500)
    history.disturbances.append(cut)
    assert _violation_names(history) == []
    assert _violation_names(make(), timed=False) == []


@pytest.mark.parametrize(
    "make", [_run_during_ban(worker="w0"), _added_route_not_found]
)
def test_earlier_disturbance_does_not_suspend_time_bounds(
    make: Callable[[], History],
) -> None:
    history = make()
    cut = Disturbance(subject="vm-0", from_ms=9_000, to_ms=14_900)
    history.disturbances.append(cut)
    assert len(_violation_names(history)) == 1


def test_run_after_end_of_ban_is_allowed() -> None:
    # Seed 247: the request was sent in the last milliseconds of an evacuation
    # and dispatched after the daemon had seen that the evacuation had ended.
    history = _run_during_ban(domain="zone-a")()
    history.bans = [dataclasses.replace(history.bans[0], to_ms=20_005)]
    assert _violation_names(history) == []


def test_truncation_by_faulty_worker_is_not_blamed_on_stop() -> None:
    history = _truncated_by_stop()
    request = history.requests["r1"]
    history.runs = [_run(request, fault=WorkerFault.LOST)]
    assert _violation_names(history) == []


def test_plan_is_deterministic_and_ends_with_calm_phase() -> None:
    plan = draw_plan(3, 60_000)
    assert plan == draw_plan(3, 60_000)
    assert plan != draw_plan(4, 60_000)
    assert len(plan) > 20
    assert max(step.at_ms for step in plan) <= 60_000 - RECOVERY_PHASE_MS


@pytest.mark.parametrize("seed", [1, 2])
def test_short_run_has_no_violations(seed: int, tmp_path: pathlib.Path) -> None:
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


def _unexpected_exits(
    folder: pathlib.Path, action: Callable[[SoakHarness], Awaitable[None]]
) -> list[str]:
    async def scenario() -> list[str]:
        rng = random.Random(1)
        async with SoakHarness(
            folder, daemons=1, workers=1, rng=rng
        ) as harness:
            await action(harness)
            return harness.daemons.exits

    return asyncio.run(scenario())


def test_paused_daemon_exits_within_grace_period_after_sigterm(
    tmp_path: pathlib.Path,
) -> None:
    # Seeds 110, 120, 121 and 130: a daemon got SIGTERM while it was paused. It
    # must still exit within its grace period, which excludes the pause.
    async def action(harness: SoakHarness) -> None:
        await harness.daemons.wait_until_listening("vm-0")
        pause = asyncio.create_task(harness.daemons.pause("vm-0", 600))
        await asyncio.sleep(0)
        await harness.daemons.terminate("vm-0")
        await pause

    assert _unexpected_exits(tmp_path, action) == []


def test_sigterm_during_start_up_exits_immediately(
    tmp_path: pathlib.Path,
) -> None:
    # Seed 101: a daemon got SIGTERM before it listened. It has no requests to
    # finish, so its exit status is not an error.
    async def action(harness: SoakHarness) -> None:
        await harness.daemons.terminate("vm-0")

    assert _unexpected_exits(tmp_path, action) == []

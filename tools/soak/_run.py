"""One run of the soak test."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import random
from collections import Counter
from collections.abc import Callable

from tools.soak._checks import CallerRequest, RequestKind, find_violations
from tools.soak._clients import Callers
from tools.soak._harness import SoakHarness
from tools.soak._plan import draw_plan

# Events in a complete stream of the worker stand-in.
_STREAM_EVENTS = 5
# The memory of the smallest VM on the users' platform; a daemon must fit in it.
_MAX_MEMORY_MB = 128
# Within this time after the last fault, every daemon has to serve every kind
# of request again.
_RECOVERY_TIMEOUT_MS = 30_000
_RECOVERY_POLL_INTERVAL_S = 0.2
_EXIT_CHECK_INTERVAL_S = 0.1
_PROGRESS_INTERVAL_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Parameters of a run."""

    # Determines the plan and the callers' choices.
    seed: int
    # Duration of the plan, recovery phases included.
    duration_ms: int
    # Number of daemons, of workers of each service, and of concurrent callers.
    daemons: int
    workers: int
    callers: int
    # Whether to check guarantees with a time bound.
    timed: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """The result of a run."""

    # A readable line for each violated guarantee.
    violations: tuple[str, ...]
    # Number of steps by action, and of requests by outcome.
    steps: dict[str, int]
    outcomes: dict[str, int]
    # Requests that workers executed, and the largest peak memory of a daemon.
    runs: int
    memory_mb: float


async def run_once(
    settings: Settings,
    folder: pathlib.Path,
    report_progress: Callable[[str], None] = lambda line: None,
) -> Report:
    """Runs the plan of one seed and checks its history.

    Args:
        settings: Parameters of the run.
        folder: Receives the daemons' settings and logs.
        report_progress: Called with each line of progress output.
    """
    rng = random.Random(settings.seed)
    plan = draw_plan(settings.seed, settings.duration_ms)
    async with SoakHarness(
        folder,
        daemons=settings.daemons,
        workers=settings.workers,
        rng=rng,
    ) as harness:
        history = harness.recorder.history
        callers = Callers(history, harness.recorder.now_ms, rng)
        background = [
            asyncio.create_task(callers.run(harness.daemons.ports))
            for _ in range(settings.callers)
        ]
        background.append(
            asyncio.create_task(_monitor(harness, report_progress))
        )
        try:
            await _wait_until_all_serve(harness, callers)
            started_ms = harness.recorder.now_ms()
            for step in plan:
                wait_ms = started_ms + step.at_ms - harness.recorder.now_ms()
                await asyncio.sleep(max(0, wait_ms) / 1_000)
                await harness.apply(step)
            end_ms = started_ms + settings.duration_ms
            await asyncio.sleep(
                max(0, end_ms - harness.recorder.now_ms()) / 1_000
            )
            harness.environment.clear_worker_faults()
            not_recovered = await _wait_until_all_serve(harness, callers)
        finally:
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
        memory_mb = harness.daemons.memory_mb()
        harness.daemons.check_exits()
    violations = find_violations(
        history, timed=settings.timed, events=_STREAM_EVENTS
    )
    violations += harness.daemons.exits + not_recovered
    if memory_mb > _MAX_MEMORY_MB:
        violations.append(f"MEMORY a daemon used {memory_mb:.0f} MB")
    return Report(
        violations=tuple(violations),
        steps=dict(Counter(step.action.value for step in plan)),
        outcomes=dict(Counter(_outcome(a) for a in history.requests.values())),
        runs=len(history.runs),
        memory_mb=memory_mb,
    )


def _outcome(request: CallerRequest) -> str:
    if request.abandoned:
        return "left"
    if request.status is None:
        return "no response"
    return f"{request.status}" if request.complete else "cut"


async def _monitor(
    harness: SoakHarness, report_progress: Callable[[str], None]
) -> None:
    reported_ms = 0
    history = harness.recorder.history
    while True:
        await asyncio.sleep(_EXIT_CHECK_INTERVAL_S)
        harness.daemons.check_exits()
        if (
            harness.recorder.now_ms() - reported_ms
            >= _PROGRESS_INTERVAL_S * 1_000
        ):
            reported_ms = harness.recorder.now_ms()
            report_progress(
                f"  {reported_ms // 1_000} s, {len(history.requests)} requests,"
                f" {len(history.runs)} runs"
            )


async def _wait_until_all_serve(
    harness: SoakHarness, callers: Callers
) -> list[str]:
    """Waits until each daemon serves each kind of request.

    Returns:
        A violation for each daemon and kind not served within the time limit.
    """
    last_outcomes = {
        (daemon, kind): ""
        for daemon in harness.daemons.ports
        for kind in RequestKind
    }
    end_ms = harness.recorder.now_ms() + _RECOVERY_TIMEOUT_MS
    while last_outcomes and harness.recorder.now_ms() < end_ms:
        for daemon, kind in list(last_outcomes):
            request = await callers.send_request(
                daemon, harness.daemons.ports[daemon], kind
            )
            if request.status == 200 and request.complete:
                del last_outcomes[daemon, kind]
            else:
                last_outcomes[daemon, kind] = _outcome(request)
        await asyncio.sleep(_RECOVERY_POLL_INTERVAL_S)
    return [
        f"RECOVER {daemon}: {kind.name.lower()} requests fail, last: {outcome}"
        for (daemon, kind), outcome in last_outcomes.items()
    ]

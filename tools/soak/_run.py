"""One run of the soak."""

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

# Events of a whole stream of the workers' stand-in.
_EVENTS = 5
# The least memory of a VM on the users' platform, which a daemon must not
# exceed.
_MEMORY_MB = 128
# After the last fault every daemon has to serve every kind of request again.
_RECOVERY_PATIENCE_MS = 30_000
_RECOVERY_PAUSE_S = 0.2
_EXIT_CHECK_S = 0.1
_PROGRESS_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """How a run is made."""

    # Gives the plan and the callers' choices.
    seed: int
    # How long faults and callers go on.
    duration_ms: int
    # Daemons, workers of each service, callers.
    daemons: int
    workers: int
    callers: int
    # Whether promises with a time bound are judged.
    timed: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What a run found."""

    # Broken promises, a line each.
    violations: tuple[str, ...]
    # Steps by action, and requests by outcome.
    steps: dict[str, int]
    outcomes: dict[str, int]
    # Runs at workers, and the largest memory of a daemon.
    runs: int
    memory_mb: float


async def run_once(
    settings: Settings,
    folder: pathlib.Path,
    say: Callable[[str], None] = lambda line: None,
) -> Report:
    """Plays a seed.

    Args:
        settings: How.
        folder: Where settings and logs of the daemons are kept.
        say: Takes lines on the progress.
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
        background.append(asyncio.create_task(_watch(harness, say)))
        try:
            await _all_serve(harness, callers)
            begun_ms = harness.recorder.now_ms()
            for step in plan:
                wait_ms = begun_ms + step.at_ms - harness.recorder.now_ms()
                await asyncio.sleep(max(0, wait_ms) / 1_000)
                await harness.apply(step)
            end_ms = begun_ms + settings.duration_ms
            await asyncio.sleep(
                max(0, end_ms - harness.recorder.now_ms()) / 1_000
            )
            harness.around.heal()
            unserved = await _all_serve(harness, callers)
        finally:
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
        memory_mb = harness.daemons.memory_mb()
        harness.daemons.check_exits()
    violations = find_violations(history, timed=settings.timed, events=_EVENTS)
    violations += harness.daemons.exits + unserved
    if memory_mb > _MEMORY_MB:
        violations.append(f"MEMORY {memory_mb:.0f} MB")
    return Report(
        violations=tuple(violations),
        steps=dict(Counter(step.action.value for step in plan)),
        outcomes=dict(Counter(_outcome(a) for a in history.requests.values())),
        runs=len(history.runs),
        memory_mb=memory_mb,
    )


def _outcome(request: CallerRequest) -> str:
    if request.left:
        return "left"
    if request.status is None:
        return "no answer"
    return f"{request.status}" if request.complete else "cut"


async def _watch(harness: SoakHarness, say: Callable[[str], None]) -> None:
    said_ms = 0
    history = harness.recorder.history
    while True:
        await asyncio.sleep(_EXIT_CHECK_S)
        harness.daemons.check_exits()
        if harness.recorder.now_ms() - said_ms >= _PROGRESS_S * 1_000:
            said_ms = harness.recorder.now_ms()
            say(
                f"  {said_ms // 1_000} s, {len(history.requests)} requests,"
                f" {len(history.runs)} runs"
            )


async def _all_serve(harness: SoakHarness, callers: Callers) -> list[str]:
    """Waits until each daemon serves each kind; names those that do not."""
    missing = {
        (daemon, kind): ""
        for daemon in harness.daemons.ports
        for kind in RequestKind
    }
    end_ms = harness.recorder.now_ms() + _RECOVERY_PATIENCE_MS
    while missing and harness.recorder.now_ms() < end_ms:
        for daemon, kind in list(missing):
            request = await callers.ask(
                daemon, harness.daemons.ports[daemon], kind
            )
            if request.status == 200 and request.complete:
                del missing[daemon, kind]
            else:
                missing[daemon, kind] = _outcome(request)
        await asyncio.sleep(_RECOVERY_PAUSE_S)
    return [
        f"RECOVER {daemon}: {kind.name.lower()} is not served, {outcome}"
        for (daemon, kind), outcome in missing.items()
    ]

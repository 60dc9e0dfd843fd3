"""The processes of a run, and how the steps of its plan are applied to them."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
from collections.abc import Coroutine
from types import TracebackType
from typing import Any, Self

from tools.soak._daemons import DOMAINS, Daemons
from tools.soak._environment import SoakEnvironment
from tools.soak._plan import FAULT_PHASE_MS, RECOVERY_PHASE_MS, Action, Step
from tools.soak._proxy import FaultProxy
from tools.soak._recorder import Recorder

_FAULTED_REQUESTS = 12
# An evacuation lasts to the end of the recovery phase that follows.
_MIN_EVACUATION_MS = FAULT_PHASE_MS + RECOVERY_PHASE_MS


class SoakHarness:
    """Daemons and their environment; a context manager that ends them all.

    Args:
        folder: Holds the daemons' settings and logs.
        daemons: Number of daemons.
        workers: Number of workers of each service.
        rng: Source of the random choices that the plan leaves open.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        daemons: int,
        workers: int,
        rng: random.Random,
    ) -> None:
        self.recorder = Recorder()
        self.daemons = Daemons(self.recorder, folder, daemons)
        self.environment = SoakEnvironment(self.recorder, workers, rng)
        self._stack = contextlib.AsyncExitStack()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        await self._stack.enter_async_context(self.environment)
        await self._stack.enter_async_context(self.daemons)
        await self.daemons.start_all(self.environment.store.address.port)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        await self._stack.aclose()

    async def apply(self, step: Step) -> None:
        """Starts a step; it ends by itself after its duration."""
        daemons = self.daemons
        name = _pick_target(list(daemons.ports), step)
        match step.action:
            case Action.KILL:
                self._spawn(daemons.kill(name, step.for_ms))
            case Action.KILL_ALL:
                for each in daemons.ports:
                    self._spawn(daemons.kill(each, step.for_ms // 2))
            case Action.TERMINATE:
                self._spawn(daemons.terminate(name))
            case Action.PAUSE:
                self._spawn(daemons.pause(name, step.for_ms))
            case Action.RELOAD:
                daemons.reload(name)
            case Action.STORE_LINK:
                self._spawn(
                    self._inject_link_fault(
                        daemons.store_links[name], name, step
                    )
                )
            case _:
                await self._apply_to_environment(step)

    async def _apply_to_environment(self, step: Step) -> None:
        environment = self.environment
        name = _pick_target(list(environment.workers), step)
        worker = environment.workers[name]
        match step.action:
            case Action.WORKER_LINK:
                self._spawn(self._inject_link_fault(worker.link, name, step))
            case Action.WORKER_FAULTS:
                worker.standin.faults.extend(
                    [step.worker_fault] * _FAULTED_REQUESTS
                )
            case Action.REPLACE_WORKER:
                await environment.replace_worker(name)
            case Action.STORE_UNAVAILABLE:
                self._spawn(environment.make_store_unavailable(step.for_ms))
            case Action.STORE_DROPS_RESPONSES:
                self._spawn(environment.drop_store_responses(step.for_ms))
            case Action.STORE_LOSES_HISTORY:
                environment.drop_store_history()
            case Action.STORE_RESTORED:
                self._spawn(environment.restore_store(step.for_ms))
            case Action.CONFIGURE:
                environment.configure()
            case Action.EVACUATE:
                for_ms = _MIN_EVACUATION_MS + step.for_ms
                domain = _pick_target(list(DOMAINS), step)
                self._spawn(environment.evacuate(domain, for_ms))
            case _:
                raise ValueError(f"unknown action {step.action}")

    async def _inject_link_fault(
        self, link: FaultProxy, name: str, step: Step
    ) -> None:
        self.recorder.disturb(name, step.for_ms)
        link.set_fault(step.link_fault)
        await asyncio.sleep(step.for_ms / 1_000)
        link.set_fault(None)

    def _spawn(self, action: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(action)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _pick_target(names: list[str], step: Step) -> str:
    return names[step.target % len(names)]

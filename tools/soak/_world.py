"""The processes of a run, and what the steps of its plan do to them."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
from collections.abc import Coroutine
from types import TracebackType
from typing import Any, Self

from tools.soak._daemons import DOMAINS, Daemons
from tools.soak._plan import CALM_MS, STORM_MS, Action, Step
from tools.soak._proxy import FaultProxy
from tools.soak._recorder import Recorder
from tools.soak._surroundings import Surroundings

_WORKER_FAULTS = 12
# From a storm to the end of the calm after it.
_EVACUATION_HOLD_MS = STORM_MS + CALM_MS


class World:
    """Daemons and what surrounds them; a context manager that ends them all.

    Args:
        folder: Settings and the daemons' output.
        daemons: How many daemons run.
        workers: How many workers each service has.
        rng: Draws what is left open by the plan.
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
        self.around = Surroundings(self.recorder, workers, rng)
        self._stack = contextlib.AsyncExitStack()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        await self._stack.enter_async_context(self.around)
        await self._stack.enter_async_context(self.daemons)
        await self.daemons.start_all(self.around.store.address.port)
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
        """Begins a step; its end comes by itself."""
        daemons = self.daemons
        name = _pick(list(daemons.ports), step)
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
                self._spawn(self._spoil(daemons.store_links[name], name, step))
            case _:
                await self._apply_around(step)

    async def _apply_around(self, step: Step) -> None:
        around = self.around
        name = _pick(list(around.workers), step)
        worker = around.workers[name]
        match step.action:
            case Action.WORKER_LINK:
                self._spawn(self._spoil(worker.link, name, step))
            case Action.WORKER_FAULTS:
                worker.standin.faults.extend(
                    [step.worker_fault] * _WORKER_FAULTS
                )
            case Action.REPLACE_WORKER:
                await around.replace(name)
            case Action.STORE_REFUSES:
                self._spawn(around.refuse(step.for_ms))
            case Action.STORE_LOSES_ANSWERS:
                self._spawn(around.drop_write_responses(step.for_ms))
            case Action.STORE_FORGETS:
                around.discard_history()
            case Action.CONFIGURE:
                around.configure()
            case Action.EVACUATE:
                for_ms = _EVACUATION_HOLD_MS + step.for_ms
                domain = _pick(list(DOMAINS), step)
                self._spawn(around.evacuate(domain, for_ms))
            case _:
                raise ValueError(f"{step.action} has no effect")

    async def _spoil(self, link: FaultProxy, name: str, step: Step) -> None:
        self.recorder.disturb(name, step.for_ms)
        link.set_fault(step.link_fault)
        await asyncio.sleep(step.for_ms / 1_000)
        link.set_fault(None)

    def _spawn(self, action: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(action)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _pick(names: list[str], step: Step) -> str:
    return names[step.target % len(names)]

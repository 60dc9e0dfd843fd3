"""The processes of a run, and what the steps of its plan do to them."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import time
from collections import Counter
from types import TracebackType
from typing import Any, Self

from tools.processes import Processes
from tools.soak._checks import (
    CONFIG_APPLY_MS,
    DRAIN_MS,
    EVACUATION_MS,
    Ban,
    Disturbance,
    ExtraRoute,
    History,
    Run,
)
from tools.soak._plan import CALM_MS, STORM_MS, Action, Step
from tools.soak._proxy import FaultProxy
from trefoilpitch.standins import (
    PlatformStoreStandin,
    PlatformWorkerStandin,
    WorkerRun,
    config_document,
    free_port,
)

_HOST = "127.0.0.1"
_DOMAINS = ("zone-a", "zone-b", "zone-c")
_SERVICES = ("plain-service", "model-service")
GRACE_MS = 8_000
_PACE_MS = 15
_POLL_MS = 50
_WORKER_FAULTS = 12
# From a storm to the end of the calm after it.
_EVACUATION_HOLD_MS = STORM_MS + CALM_MS
_LISTENING = b'"event":"listening"'
_FOREVER_MS = 1 << 40
_SETTINGS = """
node = "{name}"
zone = "{domain}"
region = "region"
ip = "127.0.0.1"
port-range = [{heartbeats}, {heartbeats}]
seeds = [{seeds}]
[listen]
front = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
directory = "127.0.0.1:{directory}"
control = "127.0.0.1:{peers}"
[bounds]
grace-s = 8
retry-ratio = 0.9
retry-window-s = 10
retry-slack = 60
ttl_max_s = 5
[platform]
address = "127.0.0.1:{store}"
"""


class _Worker:
    def __init__(
        self, name: str, service: str, domain: str, proxy: FaultProxy
    ) -> None:
        self.standin = PlatformWorkerStandin(name)
        self.standin.pace_ms = _PACE_MS
        self.service = service
        self.domain = domain
        self.proxy = proxy


class World:
    """Daemons, a store, workers; a context manager that ends them all.

    Args:
        history: Where runs, disturbances and bans are recorded.
        folder: Settings and the daemons' output.
        daemons: How many daemons run.
        workers: How many workers each service has.
        rng: Draws what is left open by the plan.
    """

    def __init__(
        self,
        history: History,
        folder: pathlib.Path,
        *,
        daemons: int,
        workers: int,
        rng: random.Random,
    ) -> None:
        self.history = history
        self.callers = {f"vm-{n}": free_port() for n in range(daemons)}
        self.exits: list[str] = []
        self._folder = folder
        self._workers_each = workers
        self._rng = rng
        self._started_s = time.monotonic()
        self._stack = contextlib.AsyncExitStack()
        self._processes = Processes(folder)
        self._store = PlatformStoreStandin()
        self._store_proxies: dict[str, FaultProxy] = {}
        self._workers: dict[str, _Worker] = {}
        self._worker_count = 0
        self._version = 1
        self._away: set[str] = set()
        # Bytes of each daemon's log that earlier starts wrote.
        self._log_starts: dict[str, int] = {}
        self._paused: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()

    def now_ms(self) -> int:
        """Returns the time since the start."""
        return int((time.monotonic() - self._started_s) * 1_000)

    async def __aenter__(self) -> Self:
        self._stack.enter_context(self._processes)
        await self._stack.enter_async_context(self._store)
        self._configure()
        for service in _SERVICES:
            for _ in range(self._workers_each):
                await self._add_worker(service)
        peer_ports = {name: free_port() for name in self.callers}
        for place, name in enumerate(self.callers):
            await self._prepare_daemon(name, place, peer_ports)
            self._start(name)
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
        match step.action:
            case Action.KILL:
                self._spawn(self._kill(self._daemon(step), step.for_ms))
            case Action.KILL_ALL:
                for name in self.callers:
                    self._spawn(self._kill(name, step.for_ms // 2))
            case Action.TERMINATE:
                self._spawn(self._terminate(self._daemon(step)))
            case Action.PAUSE:
                self._spawn(self._pause(self._daemon(step), step.for_ms))
            case Action.RELOAD:
                name = self._daemon(step)
                if name not in self._away:
                    self._processes.signal(name, signal.SIGHUP)
            case Action.STORE_LINK:
                name = self._daemon(step)
                self._spawn(self._spoil(self._store_proxies[name], name, step))
            case _:
                await self._apply_around(step)

    async def _apply_around(self, step: Step) -> None:
        match step.action:
            case Action.WORKER_LINK:
                name = self._worker(step)
                self._spawn(self._spoil(self._workers[name].proxy, name, step))
            case Action.WORKER_FAULTS:
                faults = self._workers[self._worker(step)].standin.faults
                faults.extend([step.worker_fault] * _WORKER_FAULTS)
            case Action.STORE_REFUSES:
                self._spawn(self._refuse(step.for_ms))
            case Action.STORE_LOSES_ANSWERS:
                self._spawn(self._lose_answers(step.for_ms))
            case Action.STORE_FORGETS:
                self._disturb(None, 0)
                self._store.forget_history()
            case Action.REPLACE_WORKER:
                await self._replace(self._worker(step))
            case Action.CONFIGURE:
                self._configure()
            case Action.EVACUATE:
                self._spawn(self._evacuate(step))
            case _:
                raise ValueError(f"{step.action} has no effect")

    def heal(self) -> None:
        """Ends what still goes wrong at workers."""
        for worker in self._workers.values():
            worker.standin.faults.clear()
            worker.standin.release.set()

    def check_exits(self) -> None:
        """Records and starts again the daemons that ended by themselves."""
        for name in self.callers:
            if name in self._away:
                continue
            status = self._processes.status(name)
            if status is not None:
                self.exits.append(f"EXITED {name}: status {status}")
                self._start(name)

    def memory_mb(self) -> float:
        """Returns the largest resident memory of a daemon."""
        sizes = [0.0]
        for name in self.callers:
            if name not in self._away:
                pid = self._processes.pid(name)
                sizes.append(_resident_mb(pid))
        return max(sizes)

    def _spawn(self, action: Any) -> None:
        task: asyncio.Task[None] = asyncio.create_task(action)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _daemon(self, step: Step) -> str:
        names = list(self.callers)
        return names[step.target % len(names)]

    def _worker(self, step: Step) -> str:
        names = list(self._workers)
        return names[step.target % len(names)]

    def _disturb(
        self, subject: str | None, for_ms: int, *, planned: bool = False
    ) -> None:
        now_ms = self.now_ms()
        self.history.disturbances.append(
            Disturbance(
                subject=subject,
                from_ms=now_ms,
                to_ms=now_ms + for_ms,
                planned=planned,
            )
        )

    async def _prepare_daemon(
        self, name: str, place: int, peer_ports: dict[str, int]
    ) -> None:
        proxy = FaultProxy(self._store.address.port)
        await self._stack.enter_async_context(proxy)
        self._store_proxies[name] = proxy
        seeds = [f'"{_HOST}:{port}"' for port in peer_ports.values()]
        text = _SETTINGS.format(
            name=name,
            domain=_DOMAINS[place % len(_DOMAINS)],
            heartbeats=free_port(),
            seeds=", ".join(seeds[:3]),
            callers=self.callers[name],
            ready=free_port(),
            directory=free_port(),
            peers=peer_ports[name],
            store=proxy.port,
        )
        (self._folder / f"{name}.toml").write_text(text)

    def _log_path(self, name: str) -> pathlib.Path:
        return self._folder / f"{name}.log"

    def _has_listened(self, name: str) -> bool:
        """Whether a daemon served when it ended.

        One that is told to stop while it still starts ends at once, as any
        process without a handler does; it has nothing to finish.
        """
        written = self._log_path(name).read_bytes()
        return _LISTENING in written[self._log_starts[name] :]

    def _start(self, name: str) -> None:
        log = self._log_path(name)
        self._log_starts[name] = log.stat().st_size if log.exists() else 0
        self._processes.start(
            name,
            "trefoilpitch.platform",
            TREFOILPITCH_BOOT=str(self._folder / f"{name}.toml"),
        )
        self._away.discard(name)

    async def _kill(self, name: str, for_ms: int) -> None:
        if name in self._away:
            return
        self._away.add(name)
        self._disturb(name, for_ms)
        self._processes.kill(name)
        await asyncio.sleep(for_ms / 1_000)
        self._disturb(name, 0)
        self._start(name)

    async def _terminate(self, name: str) -> None:
        if name in self._away:
            return
        self._away.add(name)
        self._disturb(name, GRACE_MS, planned=True)
        self._processes.signal(name)
        end_ms = self.now_ms() + GRACE_MS
        while self._processes.status(name) is None and self.now_ms() < end_ms:
            await asyncio.sleep(_POLL_MS / 1_000)
            if self._paused[name]:
                end_ms += _POLL_MS
        status = self._processes.status(name)
        if status is None:
            self.exits.append(f"GRACE {name}: still runs after {GRACE_MS} ms")
            self._processes.kill(name)
        elif status != 0 and self._has_listened(name):
            self.exits.append(f"EXITED {name}: status {status} when told to")
        self._start(name)

    async def _pause(self, name: str, for_ms: int) -> None:
        if name in self._away:
            return
        self._disturb(name, for_ms)
        pid = self._processes.pid(name)
        self._processes.signal(name, signal.SIGSTOP)
        self._paused[name] += 1
        await asyncio.sleep(for_ms / 1_000)
        self._paused[name] -= 1
        # It may have been told to stop meanwhile, or have been killed.
        is_same = self._processes.is_running(name)
        if is_same and self._processes.pid(name) == pid:
            self._processes.signal(name, signal.SIGCONT)

    async def _spoil(self, proxy: FaultProxy, name: str, step: Step) -> None:
        self._disturb(name, step.for_ms)
        proxy.set_fault(step.link_fault)
        await asyncio.sleep(step.for_ms / 1_000)
        proxy.set_fault(None)

    async def _refuse(self, for_ms: int) -> None:
        self._disturb(None, for_ms)
        self._store.refuse_with = 503
        await asyncio.sleep(for_ms / 1_000)
        self._store.refuse_with = None

    async def _lose_answers(self, for_ms: int) -> None:
        self._disturb(None, for_ms)
        self._store.lose_answers = True
        await asyncio.sleep(for_ms / 1_000)
        self._store.lose_answers = False

    async def _add_worker(self, service: str) -> None:
        name = f"w{self._worker_count}"
        domain = _DOMAINS[self._worker_count % len(_DOMAINS)]
        self._worker_count += 1
        proxy = FaultProxy(0)
        await self._stack.enter_async_context(proxy)
        worker = _Worker(name, service, domain, proxy)
        worker.standin.on_run = lambda run: self._record(worker, run)
        await self._stack.enter_async_context(worker.standin)
        proxy.target_port = worker.standin.port
        self._workers[name] = worker
        self._register(worker, "ready")

    def _register(self, worker: _Worker, state: str) -> None:
        entry = worker.standin.entry(worker.service, zone=worker.domain)
        entry |= {"address": f"{_HOST}:{worker.proxy.port}", "state": state}
        self._store.put(f"servers/{worker.standin.worker_id}", entry)

    def _record(self, worker: _Worker, run: WorkerRun) -> None:
        self.history.runs.append(
            Run(
                request_id=run.request_id,
                worker=worker.standin.worker_id,
                domain=worker.domain,
                line=run.line,
                body=run.body,
                headers=run.headers,
                fault=run.fault,
                at_ms=self.now_ms(),
            )
        )

    async def _replace(self, name: str) -> None:
        old = self._workers[name]
        await self._add_worker(old.service)
        del self._workers[name]
        old.standin.faults.clear()
        old.standin.release.set()
        self._register(old, "draining")
        self._ban(worker=name, bound_ms=DRAIN_MS)

    def _ban(self, *, bound_ms: int, **what: str) -> None:
        self.history.bans.append(
            Ban(
                from_ms=self.now_ms(),
                bound_ms=bound_ms,
                to_ms=_FOREVER_MS,
                **what,
            )
        )

    def _configure(self) -> None:
        """Writes a version that adds a route and takes an older one away."""
        self._version += self._rng.randint(1, 3)
        extra = self.history.extra_routes
        now_ms = self.now_ms()
        if extra:
            extra[-1] = dataclasses.replace(extra[-1], to_ms=now_ms)
            self._ban(prefix=extra[-1].prefix, bound_ms=CONFIG_APPLY_MS)
        added = ExtraRoute(
            prefix=f"/extra-{self._version}/",
            from_ms=now_ms,
            to_ms=_FOREVER_MS,
        )
        extra.append(added)
        document = config_document(self._version)
        document["routes"].append(
            document["routes"][0]
            | {
                "name": f"extra-{self._version}",
                "path-prefix": added.prefix,
            }
        )
        self._store.put("op/config", document)

    async def _evacuate(self, step: Step) -> None:
        domain = _DOMAINS[step.target % len(_DOMAINS)]
        self._store.put(f"op/evacuate/{domain}", {"zone": domain})
        from_ms = self.now_ms()
        await asyncio.sleep((_EVACUATION_HOLD_MS + step.for_ms) / 1_000)
        self.history.bans.append(
            Ban(
                domain=domain,
                from_ms=from_ms,
                bound_ms=EVACUATION_MS,
                to_ms=self.now_ms(),
            )
        )
        self._store.remove(f"op/evacuate/{domain}")


def _resident_mb(pid: int) -> float:
    with contextlib.suppress(OSError):
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().split("\n"):
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1_024
    return 0.0

"""The daemon processes of a run, each with its own proxy to the store."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal
from collections import Counter
from types import TracebackType
from typing import Self

from tools.processes import Processes
from tools.soak._proxy import FaultProxy
from tools.soak._recorder import Recorder
from trefoilpitch.standins import free_port

_HOST = "127.0.0.1"
DOMAINS = ("zone-a", "zone-b", "zone-c")
GRACE_MS = 8_000
_POLL_INTERVAL_MS = 50
_LISTENING = b'"event":"listening"'
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


class Daemons:
    """Starts, stops, pauses and kills daemons; kills them all on exit.

    Args:
        recorder: Receives a record of each disturbance.
        folder: Holds the daemons' settings and logs.
        count: Number of daemons.
    """

    def __init__(
        self, recorder: Recorder, folder: pathlib.Path, count: int
    ) -> None:
        # Caller port of each daemon by its name.
        self.ports = {f"vm-{n}": free_port() for n in range(count)}
        # A readable line for each unexpected exit.
        self.exits: list[str] = []
        # The proxy between each daemon and the store.
        self.store_links: dict[str, FaultProxy] = {}
        self._recorder = recorder
        self._folder = folder
        self._stack = contextlib.AsyncExitStack()
        self._processes = Processes(folder)
        self._store_port = 0
        self._stopped: set[str] = set()
        # Size of each daemon's log at its last start, in bytes.
        self._log_starts: dict[str, int] = {}
        self._paused: Counter[str] = Counter()

    async def __aenter__(self) -> Self:
        self._stack.enter_context(self._processes)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    async def start_all(self, store_port: int) -> None:
        """Starts the daemons.

        Args:
            store_port: Port of the store on loopback.
        """
        self._store_port = store_port
        peer_ports = {name: free_port() for name in self.ports}
        for index, name in enumerate(self.ports):
            await self._prepare(name, index, peer_ports)
            self._start(name)

    async def wait_until_listening(self, name: str) -> None:
        """Waits until a daemon listens."""
        while not self._has_listened(name):
            await asyncio.sleep(_POLL_INTERVAL_MS / 1_000)

    def reload(self, name: str) -> None:
        """Makes a daemon reload its settings."""
        if name not in self._stopped:
            self._processes.signal(name, signal.SIGHUP)

    def check_exits(self) -> None:
        """Records and restarts daemons that exited unexpectedly."""
        for name in self.ports:
            if name in self._stopped:
                continue
            status = self._processes.status(name)
            if status is not None:
                self.exits.append(
                    f"EXITED {name}: unexpected exit, status {status}"
                )
                self._start(name)

    def memory_mb(self) -> float:
        """Returns the largest peak resident memory of a daemon."""
        sizes = [0.0]
        for name in self.ports:
            if name not in self._stopped:
                pid = self._processes.pid(name)
                sizes.append(_resident_mb(pid))
        return max(sizes)

    async def _prepare(
        self, name: str, index: int, peer_ports: dict[str, int]
    ) -> None:
        proxy = FaultProxy(self._store_port)
        await self._stack.enter_async_context(proxy)
        self.store_links[name] = proxy
        seeds = [f'"{_HOST}:{port}"' for port in peer_ports.values()]
        text = _SETTINGS.format(
            name=name,
            domain=DOMAINS[index % len(DOMAINS)],
            heartbeats=free_port(),
            seeds=", ".join(seeds[:3]),
            callers=self.ports[name],
            ready=free_port(),
            directory=free_port(),
            peers=peer_ports[name],
            store=proxy.port,
        )
        (self._folder / f"{name}.toml").write_text(text)

    def _log_path(self, name: str) -> pathlib.Path:
        return self._folder / f"{name}.log"

    def _has_listened(self, name: str) -> bool:
        """Whether a daemon has begun to listen since its last start.

        Until then it has no SIGTERM handler and no requests to finish, so that
        the signal ends it at once with a non-zero status.
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
        self._stopped.discard(name)

    async def kill(self, name: str, for_ms: int) -> None:
        """Kills a daemon and restarts it after a delay."""
        if name in self._stopped:
            return
        self._stopped.add(name)
        self._recorder.disturb(name, for_ms)
        self._processes.kill(name)
        await asyncio.sleep(for_ms / 1_000)
        self._recorder.disturb(name, 0)
        self._start(name)

    async def terminate(self, name: str) -> None:
        """Stops a daemon gracefully and restarts it once it has exited."""
        if name in self._stopped:
            return
        self._stopped.add(name)
        self._recorder.disturb(name, GRACE_MS, planned=True)
        self._processes.signal(name)
        end_ms = self._recorder.now_ms() + GRACE_MS
        while (
            self._processes.status(name) is None
            and self._recorder.now_ms() < end_ms
        ):
            await asyncio.sleep(_POLL_INTERVAL_MS / 1_000)
            if self._paused[name]:
                end_ms += _POLL_INTERVAL_MS
        status = self._processes.status(name)
        if status is None:
            self.exits.append(
                f"GRACE {name}: still running {GRACE_MS} ms after SIGTERM"
            )
            self._processes.kill(name)
        elif status != 0 and self._has_listened(name):
            self.exits.append(f"EXITED {name}: status {status} after SIGTERM")
        self._start(name)

    async def pause(self, name: str, for_ms: int) -> None:
        """Suspends a daemon's process for a time."""
        if name in self._stopped:
            return
        self._recorder.disturb(name, for_ms)
        pid = self._processes.pid(name)
        self._processes.signal(name, signal.SIGSTOP)
        self._paused[name] += 1
        await asyncio.sleep(for_ms / 1_000)
        self._paused[name] -= 1
        # It may have been stopped or killed, and restarted, in the meantime.
        is_same = self._processes.is_running(name)
        if is_same and self._processes.pid(name) == pid:
            self._processes.signal(name, signal.SIGCONT)


def _resident_mb(pid: int) -> float:
    with contextlib.suppress(OSError):
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().split("\n"):
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1_024
    return 0.0

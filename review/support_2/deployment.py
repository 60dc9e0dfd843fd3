"""A small deployment: daemons as processes, stand-ins for the platform.

The daemons are started with the command of the deploy file and with settings in
the format of the users' pages. The platform's store, the workers and the
clients run in the process of the case, on loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from types import TracebackType
from typing import Any, Self

from review.support_2.standins import (
    PlatformStoreStandIn,
    PlatformWorkerStandIn,
    free_port,
    send,
)
from trefoilpitch.gateway import ExchangeError, connect

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The bound `contact-ms` of the deployment, in seconds.
CONTACT_S = 3.0
# A worker's entry is removed after three silent heartbeats of 1,200 ms.
ENTRY_EXPIRY_S = 3.6
_RUN_LIMIT_S = 110.0
_START_LIMIT_S = 15.0
_MAX_BODY_BYTES = 1 << 20
_SETTINGS = """\
node = "{name}"
role = "router"
machine-class = "front"
serves = ["front", "directory", "control"]
ip = "{host}"
zone = "zone-a"
region = "region-a"
port-range = [{ports[heartbeats]}, {ports[heartbeats]}]
seeds = [{seeds}]
bootstrap = false
discovery = "platform"
entry = "directory"
heartbeat-ms = 1200
[zones]
zone-a = "region-a"
[listen]
front = "{host}:{ports[front]}"
ready = "{host}:{ports[ready]}"
control = "{host}:{ports[control]}"
directory = "{host}:{ports[directory]}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 150
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-skew-ms = 5000
retry-ratio = 0.9
retry-window-s = 10
retry-slack = 52
cold-over = 1.5
cold-slack = 5
evac-ms = 5000
recover-s = 12
event-delay-ms = 120
session-ttl-s = 5
ttl_max_s = 5
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-ttl-s = 20
max-value-bytes = 1048576
min-ttl-ms = 1000
"""
_PORT_NAMES = ("front", "ready", "control", "directory", "heartbeats")


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what is sent, answered and run to `record.txt` of a case.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the time since the start of the case."""
        return time.monotonic() - self._started_s

    def note(self, text: str) -> None:
        """Writes a line with its time."""
        self._file.write(f"{self.now_s():9.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class DaemonProcess:
    """One machine with its daemon.

    Args:
        name: Name of the machine.
        folder: Temporary folder for its settings and its log.
    """

    def __init__(self, name: str, folder: pathlib.Path) -> None:
        self.name = name
        self.ports = {kind: free_port() for kind in _PORT_NAMES}
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self._starts = 0
        # Address of the store as this machine sees it; None for the usual one.
        self.store: str | None = None

    @property
    def log(self) -> pathlib.Path:
        """The log of the last start."""
        return self._folder / f"{self.name}-{self._starts}.log"

    def write_settings(
        self, seeds: Iterable[DaemonProcess], store: str
    ) -> None:
        """Writes the settings file."""
        listed = ", ".join(f'"{HOST}:{s.ports["control"]}"' for s in seeds)
        text = _SETTINGS.format(
            name=self.name,
            host=HOST,
            ports=self.ports,
            seeds=listed,
            store=self.store or store,
        )
        self._settings_path.write_text(text)

    @property
    def _settings_path(self) -> pathlib.Path:
        return self._folder / f"{self.name}.toml"

    def start(self) -> None:
        """Starts the daemon with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split()
        self._starts += 1
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["TREFOILPITCH_BOOT"] = str(self._settings_path)
        environment["PYTHONPATH"] = f"{ROOT}:{ROOT / 'target' / 'deps'}"
        executable = sys.executable if command[0] == "python3" else command[0]
        with self.log.open("wb") as output:
            self._process = subprocess.Popen(
                [executable, *command[1:]],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def kill(self) -> None:
        """Kills the daemon, if it runs."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process = None

    @property
    def runs(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    async def is_ready(self) -> bool:
        """Asks the readiness path as the platform does."""
        try:
            with await connect(HOST, self.ports["ready"], 500) as connection:
                send(connection, "/trefoilpitch/readiness", method="GET")
                return (await connection.receive_head(1_000)).status == 200
        except ExchangeError:
            return False


class Deployment:
    """The store, workers and daemons of a case.

    Args:
        record: Receives what happens.
        daemons: Number of machines.
    """

    def __init__(self, record: Record, daemons: int) -> None:
        self.record = record
        self.store = PlatformStoreStandIn()
        self.workers: list[PlatformWorkerStandIn] = []
        self._stack = contextlib.AsyncExitStack()
        folder = tempfile.TemporaryDirectory(prefix="trefoilpitch-case-")
        self._stack.callback(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.daemons = [
            DaemonProcess(f"vm-{number}", self.folder)
            for number in range(1, daemons + 1)
        ]
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count(1)

    async def __aenter__(self) -> Self:
        await self._stack.enter_async_context(self.store)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        for daemon in self.daemons:
            daemon.kill()
        await self._stack.aclose()

    def spawn(self, job: Awaitable[None]) -> asyncio.Task[None]:
        """Runs a job in the background until the deployment ends."""

        async def run() -> None:
            await job

        task = asyncio.create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def add_worker(
        self, worker_id: str, service: str, **fields: object
    ) -> PlatformWorkerStandIn:
        """Starts a worker and registers it."""
        worker = PlatformWorkerStandIn(worker_id)
        await self._stack.enter_async_context(worker)
        self.workers.append(worker)
        worker.on_run = lambda run: self.record.note(
            f"{worker.worker_id} runs {run.request_id}: {run.line}"
        )
        self.register(worker, service, **fields)
        worker.on_restart = lambda: self._registered_again(
            worker, service, fields
        )
        return worker

    def register(
        self, worker: PlatformWorkerStandIn, service: str, **fields: object
    ) -> None:
        """Writes a worker's entry, as the worker does."""
        entry = worker.entry(
            service, **{"born": int(time.time() * 1_000)} | fields
        )
        self.store.put(f"servers/{worker.worker_id}", entry)

    def _registered_again(
        self, worker: PlatformWorkerStandIn, service: str, fields: Any
    ) -> None:
        self.record.note(f"a crashed worker is back as {worker.worker_id}")
        self.register(worker, service, **fields)

    def expire_entry(self, worker_id: str) -> None:
        """Removes the entry of a worker that has crashed, some time later."""

        async def expire() -> None:
            await asyncio.sleep(ENTRY_EXPIRY_S)
            self.store.remove(f"servers/{worker_id}")

        self.spawn(expire())

    async def start(self) -> None:
        """Starts all daemons and waits until they are ready and know peers."""
        store = f"{self.store.address.host}:{self.store.address.port}"
        for daemon in self.daemons:
            daemon.write_settings(self.daemons[:3], store)
            daemon.start()
        for daemon in self.daemons:
            await self.wait_ready(daemon)
        # Longer than `contact-ms`, so that all machines are in touch.
        await asyncio.sleep(CONTACT_S + 0.5)
        self.record.note("all machines are in touch")

    async def wait_ready(self, daemon: DaemonProcess) -> None:
        """Waits until a daemon says that it is ready."""
        end_s = time.monotonic() + _START_LIMIT_S
        while not await daemon.is_ready():
            if time.monotonic() > end_s or not daemon.runs:
                raise CaseError(f"{daemon.name} does not become ready")
            await asyncio.sleep(0.02)
        self.record.note(f"{daemon.name} is ready")

    def next_id(self, prefix: str) -> str:
        """Returns the id of a new client attempt."""
        return f"{prefix}-{next(self._numbers)}"

    async def request(
        self,
        daemon: DaemonProcess,
        target: str,
        prefix: str,
        **fields: Any,
    ) -> tuple[int, bytes]:
        """Sends one client attempt on a new connection.

        Returns:
            The status, 0 if the connection ended without a complete answer,
            and the body.
        """
        request_id = self.next_id(prefix)
        self.record.note(f"{request_id} sent to {daemon.name}: {target}")
        body = b""
        try:
            with await connect(
                HOST, daemon.ports["front"], 1_000
            ) as connection:
                send(connection, target, request_id=request_id, **fields)
                head = await connection.receive_head(9_000)
                body = await connection.receive_body(9_000, _MAX_BODY_BYTES)
                status = head.status
        except ExchangeError as error:
            status = 0
            self.record.note(f"{request_id} has no answer: {error.kind.value}")
        self.record.note(f"{request_id} answered {status}")
        return status, body


def run_case(
    folder: pathlib.Path,
    daemons: int,
    scenario: Callable[[Deployment, bool], Awaitable[bool]],
) -> int:
    """Runs a case and returns its exit status.

    Args:
        folder: Folder of the case; gets `record.txt`.
        daemons: Number of machines.
        scenario: Runs the case, with or without the disruption; returns
            whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)

    async def bounded() -> bool:
        async with (
            asyncio.timeout(_RUN_LIMIT_S),
            Deployment(record, daemons) as deployment,
        ):
            return await scenario(deployment, trouble)

    try:
        held = asyncio.run(bounded())
    except Exception as error:
        record.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return NOT_RUN
    finally:
        record.close()
    return HELD if held else BROKEN

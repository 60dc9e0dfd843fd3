"""Runs the host as a process of its own, with lowered limits."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import subprocess
import sys
from collections.abc import AsyncIterator
from types import TracebackType
from typing import Any, Self

from trefoilpitch.gateway import ExchangeError, ListenAddress, connect
from trefoilpitch.platform.tests.harness import (
    HOST,
    TIMEOUT_MS,
    running_workers,
)
from trefoilpitch.standins import PlatformStoreStandIn, free_port, send

# Limits in the settings; both are the bounds of the tests. A process without
# clients holds about 35 MB and 20 descriptors.
MEMORY_MB = 96
MAX_DESCRIPTORS = 256
# Limits in the configuration: those of the smallest deployments.
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304
_LIMITS = {
    "max-header-bytes": MAX_HEADER_BYTES,
    "max-body-bytes": MAX_BODY_BYTES,
    "header-timeout-ms": 3_000,
    "idle-timeout-ms": 15_000,
}
# Requests that the upstream runs at a time: more than the crowds send.
_SLOTS = 1_000
_SAMPLE_S = 0.01
_START_S = 20.0
# How long an ordinary caller repeats a request that is refused.
_SERVED_S = 20.0
_KB_PER_MB = 1_024
_SETTINGS = """
node = "vm-1"
serves = ["front", "control", "directory"]
zone = "zone-a"
region = "region"
ip = "127.0.0.1"
port-range = [{heartbeats}, {heartbeats}]
[listen]
front = "127.0.0.1:{callers}"
ready = "127.0.0.1:{readiness}"
directory = "127.0.0.1:{directory}"
control = "127.0.0.1:{peers}"
[limits]
cores = 2
memory-mb = {memory_mb}
max-fds = {max_fds}
[bounds]
grace-s = 8
config-apply-ms = 2000
retry-ratio = 0.9
retry-window-s = 10
retry-slack = 52
[platform]
address = "{store}"
"""
_PORTS = (
    "callers",
    "readiness",
    "directory",
    "peers",
    "heartbeats",
    "metrics",
)


class DaemonProcess:
    """A process of the host; killed when the context exits.

    Args:
        folder: Holds its settings and its log.
        store: Its store.
    """

    def __init__(
        self, folder: pathlib.Path, store: PlatformStoreStandIn
    ) -> None:
        self.store = store
        self._folder = folder
        self._ports = {name: free_port() for name in _PORTS}
        self._descriptors = 0
        self._sampling: asyncio.Task[None] | None = None
        settings = _SETTINGS.format(
            store=f"{store.address.host}:{store.address.port}",
            memory_mb=MEMORY_MB,
            max_fds=MAX_DESCRIPTORS,
            **self._ports,
        )
        (folder / "settings.toml").write_text(settings)
        with (folder / "log").open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "trefoilpitch.platform"],
                env=self._environment(),
                stdout=log,
                stderr=log,
            )

    async def __aenter__(self) -> Self:
        self._sampling = asyncio.create_task(self._sample_descriptors())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._sampling is not None:
            self._sampling.cancel()
        self._process.kill()
        self._process.wait()

    def address(self, name: str) -> ListenAddress:
        """Returns where it listens: callers, readiness, directory, peers."""
        return ListenAddress(host=HOST, port=self._ports[name])

    def assert_within_bounds(self) -> None:
        """Checks that it lives and has never exceeded its limits."""
        assert self._process.poll() is None, self._log_end()
        peak_mb = self._peak_mb()
        print(f"peak {peak_mb:.0f} MB, {self._descriptors} descriptors")
        assert peak_mb <= MEMORY_MB
        assert self._descriptors <= MAX_DESCRIPTORS

    async def assert_serves(self) -> None:
        """Checks that an ordinary caller is served, possibly by a retry."""
        statuses: list[int | None] = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_SERVED_S):
                while not statuses or statuses[-1] != 200:
                    statuses.append(await self._request())
                    await asyncio.sleep(0.1)
        assert statuses[-1:] == [200], (statuses, self._log_end())

    async def wait_until_ready(self) -> None:
        """Waits until it serves requests."""
        async with asyncio.timeout(_START_S):
            while await self._request() != 200:
                await asyncio.sleep(0.05)

    async def _request(self) -> int | None:
        """Sends an ordinary request; returns the status, if there is one."""
        callers = self.address("callers")
        try:
            with await connect(
                callers.host, callers.port, TIMEOUT_MS
            ) as connection:
                send(connection, "/plain/ordinary", body=b"x" * 1_000)
                head = await connection.receive_head(TIMEOUT_MS)
                await connection.receive_body(TIMEOUT_MS, MAX_BODY_BYTES)
        except ExchangeError:
            return None
        return head.status

    def _environment(self) -> dict[str, str]:
        return {
            **os.environ,
            "TREFOILPITCH_BOOT": str(self._folder / "settings.toml"),
            "TREFOILPITCH_METRICS_PORT": str(self._ports["metrics"]),
        }

    def _peak_mb(self) -> float:
        """Returns the most resident memory that it has had."""
        path = pathlib.Path(f"/proc/{self._process.pid}/status")
        for line in path.read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / _KB_PER_MB
        raise AssertionError("the kernel does not report the peak")

    async def _sample_descriptors(self) -> None:
        path = pathlib.Path(f"/proc/{self._process.pid}/fd")
        while True:
            with contextlib.suppress(OSError):
                count = sum(1 for _ in path.iterdir())
                self._descriptors = max(self._descriptors, count)
            await asyncio.sleep(_SAMPLE_S)

    def _log_end(self) -> str:
        return (self._folder / "log").read_text(errors="replace")[-4_000:]


@contextlib.asynccontextmanager
async def running_daemon(
    folder: pathlib.Path, **fields: Any
) -> AsyncIterator[DaemonProcess]:
    """Runs a store, a worker and a daemon that is ready to serve.

    Args:
        folder: Holds the daemon's settings and its log.
        **fields: Fields of the configuration to add or replace.
    """
    async with running_workers(plain=0, limits=_LIMITS, **fields) as fleet:
        worker = await fleet.add_worker("plain-0", "plain-service")
        fleet.register(worker, "plain-service", slots=_SLOTS)
        async with DaemonProcess(folder, fleet.store) as daemon:
            await daemon.wait_until_ready()
            yield daemon

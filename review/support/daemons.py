"""Starts daemons as the deploy file says, each a process of its own."""

from __future__ import annotations

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
from types import TracebackType
from typing import Self

from review.support.http import LOOPBACK

ROOT = pathlib.Path(__file__).resolve().parents[2]
_SETTINGS = """
node = "{name}"
role = "router"
machine-class = "front"
serves = ["front", "control", "directory"]
zone = "{zone}"
region = "region"
ip = "127.0.0.1"
port-range = [{heartbeats}, {heartbeats}]
seeds = [{seeds}]
bootstrap = true
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
directory = "127.0.0.1:{directory}"
control = "127.0.0.1:{control}"
[limits]
cores = 2
memory-mb = {memory_mb}
max-fds = 4100
[bounds]
contact-ms = 3000
drain-ms = 2000
grace-s = 8
config-apply-ms = 2000
retry-ratio = 0.9
retry-window-s = 10
retry-slack = {retry_slack}
cold-over = 1.5
cold-slack = 5
session-ttl-s = 5
ttl_max_s = 5
[platform]
address = "127.0.0.1:{store}"
form = "kv"
history-ttl-s = 20
max-value-bytes = 1048576
min-ttl-ms = 1000
"""
# Variables of the caller that the platform passes on.
_PASSED = ("PATH", "HOME", "LANG")
_PORTS = ("front", "ready", "directory", "control", "heartbeats", "metrics")


def free_port() -> int:
    """Returns a port that is free for TCP and UDP."""
    while True:
        with (
            contextlib.suppress(OSError),
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind((LOOPBACK, 0))
            port = int(tcp.getsockname()[1])
            udp.bind((LOOPBACK, port))
            return port


class Daemons:
    """The daemons of a run; kills them all when the context exits.

    Args:
        folder: Holds the settings and logs.
        store_port: Port of the store on loopback.
        zones: The zone of each daemon.
        memory_mb: Limit of memory in the settings.
        retry_slack: Bound of the retries in the settings.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        store_port: int,
        zones: list[str],
        *,
        memory_mb: int = 150,
        retry_slack: int = 52,
    ) -> None:
        self._folder = folder
        self._memory_mb = memory_mb
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.names = [f"front-{zone}-{n}" for n, zone in enumerate(zones)]
        self.ports = {
            name: {port: free_port() for port in _PORTS} for name in self.names
        }
        seeds = ", ".join(
            f'"{LOOPBACK}:{self.ports[name]["control"]}"'
            for name in self.names[:3]
        )
        for name, zone in zip(self.names, zones, strict=True):
            text = _SETTINGS.format(
                name=name,
                zone=zone,
                seeds=seeds,
                store=store_port,
                memory_mb=memory_mb,
                retry_slack=retry_slack,
                **self.ports[name],
            )
            (folder / f"{name}.toml").write_text(text)

    def start(self, name: str) -> None:
        """Starts a daemon."""
        environment = {k: os.environ[k] for k in _PASSED if k in os.environ}
        environment |= {
            "TREFOILPITCH_BOOT": str(self._folder / f"{name}.toml"),
            "TREFOILPITCH_METRICS_PORT": str(self.ports[name]["metrics"]),
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", "trefoilpitch.platform"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def start_all(self) -> None:
        """Starts all daemons."""
        for name in self.names:
            self.start(name)

    def front(self, name: str) -> int:
        """Returns the port for callers."""
        return self.ports[name]["front"]

    def is_running(self, name: str) -> bool:
        """Whether the process of a daemon has not ended."""
        return self._processes[name].poll() is None

    def memory_mb(self, name: str) -> float:
        """Returns the resident memory of a daemon; 0 if it has ended."""
        path = pathlib.Path(f"/proc/{self._processes[name].pid}/status")
        with contextlib.suppress(OSError):
            for line in path.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1_024
        return 0.0

    def kill_over_limit(self, name: str) -> float | None:
        """Kills a daemon over its memory, as the platform does.

        Returns:
            Its memory in MB if it was killed.
        """
        used_mb = self.memory_mb(name)
        if used_mb <= self._memory_mb or not self.is_running(name):
            return None
        self._processes[name].kill()
        self._processes[name].wait()
        return used_mb

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a daemon."""
        self._processes[name].send_signal(number)

    def log(self, name: str) -> str:
        """Returns what a daemon has logged."""
        return (self._folder / f"{name}.log").read_text()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

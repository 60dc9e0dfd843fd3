"""Runs the project's programs as child processes on loopback."""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Mapping
from types import TracebackType
from typing import IO, Any, Self, TextIO

ROOT = pathlib.Path(__file__).resolve().parent.parent
ADMIN_TOKEN = "example-admin-token"
SHARED_KEY = "example-shared-key-0123456789"

_POLL_INTERVAL_S = 0.05
_EXIT_TIMEOUT_S = 30


class Processes:
    """Child processes by name; a context manager that kills them on exit.

    Args:
        folder: Receives a log of each process's standard output and error.
            Without it, standard output is discarded.
    """

    def __init__(self, folder: pathlib.Path | None = None) -> None:
        self._folder = folder
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for process in self._running.values():
            if process.poll() is None:
                process.kill()
        for process in self._running.values():
            process.wait()

    def start(
        self, name: str, module: str, *arguments: str, **environment: str
    ) -> subprocess.Popen[bytes]:
        """Starts a module of the project, with extra environment variables."""
        with contextlib.ExitStack() as stack:
            output: IO[bytes] | int = subprocess.DEVNULL
            errors: IO[bytes] | TextIO = sys.stderr
            if self._folder is not None:
                path = self._folder / f"{name}.log"
                output = errors = stack.enter_context(path.open("ab"))
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                env={**os.environ, **environment},
                stdout=output,
                stderr=errors,
            )
        self._running[name] = process
        return process

    def is_running(self, name: str) -> bool:
        """Returns whether a process was started and has not ended."""
        process = self._running.get(name)
        return process is not None and process.poll() is None

    def pid(self, name: str) -> int:
        """Returns the id of a process."""
        return self._running[name].pid

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL and waits for it."""
        self._running[name].kill()
        self._running.pop(name).wait()

    def status(self, name: str) -> int | None:
        """Returns a process's exit status; None while it runs."""
        return self._running[name].poll()

    def signal(self, name: str, number: int = signal.SIGTERM) -> None:
        """Sends a signal to a process."""
        self._running[name].send_signal(number)

    def pause(self, name: str) -> None:
        """Sends SIGSTOP to a process and waits until all its threads stop."""
        self.signal(name, signal.SIGSTOP)
        os.waitid(os.P_PID, self.pid(name), os.WSTOPPED)

    def wait(self, name: str, timeout_s: float = _EXIT_TIMEOUT_S) -> int:
        """Waits for a process to end and returns its exit status.

        Raises:
            subprocess.TimeoutExpired: If it does not end in time.
        """
        status = self._running[name].wait(timeout_s)
        del self._running[name]
        return status

    def terminate(self, name: str) -> int:
        """Sends SIGTERM to a process and returns its exit status."""
        self.signal(name)
        return self.wait(name)


def start_daemon(
    processes: Processes,
    name: str,
    *,
    failure_domain: str,
    base_port: int,
    store_port: int,
    seeds: tuple[str, ...] = (),
    **flags: str,
) -> None:
    """Starts a daemon on three consecutive ports.

    Args:
        processes: Owns the process.
        name: Name of the process and of the daemon's VM.
        failure_domain: The daemon's failure domain.
        base_port: The caller port; the admin and peer ports follow it.
        store_port: Port of the store.
        seeds: Peer addresses of daemons to join.
        **flags: Further flags of the daemon.
    """
    digest = hashlib.sha256(ADMIN_TOKEN.encode()).hexdigest()
    settings = {
        "vm_name": name,
        "failure_domain": failure_domain,
        "caller_address": f"127.0.0.1:{base_port}",
        "admin_address": f"127.0.0.1:{base_port + 1}",
        "peer_address": f"127.0.0.1:{base_port + 2}",
        "store_address": f"127.0.0.1:{store_port}",
        "seeds": ",".join(seeds),
        "shared_key": SHARED_KEY,
        "admin_token_sha256": digest,
        **flags,
    }
    variables = {
        f"TREFOILPITCH_{flag.upper()}": value
        for flag, value in settings.items()
    }
    processes.start(name, "trefoilpitch.daemon", **variables)


class HttpResponse:
    """A complete HTTP response.

    Args:
        status: The HTTP status.
        headers: The header fields.
        body: The body.
    """

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Returns the body, decoded as JSON."""
        return json.loads(self.body)


def http_request(
    method: str,
    url: str,
    body: Any = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 30.0,
) -> HttpResponse:
    """Sends a request; a body that is not bytes is sent as JSON."""
    request_headers = dict(headers or {})
    data = body
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()
        request_headers.setdefault("Content-Type", "application/json")
    request = urllib.request.Request(
        url, data=data, method=method, headers=request_headers
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return HttpResponse(
                response.status, dict(response.headers), response.read()
            )
    except urllib.error.HTTPError as error:
        return HttpResponse(error.code, dict(error.headers), error.read())


def wait_until(
    condition: Any, description: str, timeout_s: float = 30.0
) -> Any:
    """Polls a condition until it returns a true value, and returns that.

    Connection errors count as a condition that does not hold yet.

    Args:
        condition: Called without arguments.
        description: Names the awaited event in the error message.
        timeout_s: Time limit.

    Raises:
        TimeoutError: If the condition does not hold in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        try:
            result = condition()
        except OSError:
            result = None
        if result:
            return result
        time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(
        f"timed out after {timeout_s} s waiting for {description}"
    )

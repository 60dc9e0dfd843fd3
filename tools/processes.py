"""Starts the project's programs as separate processes on loopback."""

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

_POLL_S = 0.05
_END_PATIENCE_S = 30


class Processes:
    """Owns processes and ends them; a context manager.

    Args:
        folder: Where each process's output is kept; without one, what it
            prints to standard output is dropped.
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
        """Starts a module of the project."""
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
        """Kills a process at once."""
        self._running[name].kill()
        self._running.pop(name).wait()

    def status(self, name: str) -> int | None:
        """Returns a process's exit status; None while it runs."""
        return self._running[name].poll()

    def signal(self, name: str, number: int = signal.SIGTERM) -> None:
        """Sends a signal to a process."""
        self._running[name].send_signal(number)

    def wait(self, name: str, timeout_s: float = _END_PATIENCE_S) -> int:
        """Waits for a process to end and returns its exit status.

        Raises:
            subprocess.TimeoutExpired: If it does not end in time.
        """
        status = self._running[name].wait(timeout_s)
        del self._running[name]
        return status

    def end(self, name: str) -> int:
        """Ends a process gracefully and returns its exit status."""
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
    """Starts a daemon that listens on three ports from ``base_port`` on."""
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
    """The reply to one request.

    Args:
        status: The HTTP status.
        headers: The header fields.
        body: The whole body.
    """

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Returns the decoded body."""
        return json.loads(self.body)


def http_request(
    method: str,
    url: str,
    body: Any = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 30.0,
) -> HttpResponse:
    """Sends a request; a body that is not bytes is sent as JSON."""
    fields = dict(headers or {})
    data = body
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()
        fields.setdefault("Content-Type", "application/json")
    request = urllib.request.Request(
        url, data=data, method=method, headers=fields
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as reply:
            return HttpResponse(reply.status, dict(reply.headers), reply.read())
    except urllib.error.HTTPError as error:
        return HttpResponse(error.code, dict(error.headers), error.read())


def wait_until(condition: Any, what: str, timeout_s: float = 30.0) -> Any:
    """Waits until a condition holds and returns what it returned.

    Raises:
        TimeoutError: If it does not hold in time.
    """
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        try:
            found = condition()
        except OSError:
            found = None
        if found:
            return found
        time.sleep(_POLL_S)
    raise TimeoutError(f"{what} did not happen within {timeout_s} s")

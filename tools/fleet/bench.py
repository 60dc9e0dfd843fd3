"""A fleet of real daemons and their store on loopback."""

from __future__ import annotations

import concurrent.futures
import itertools
import time
from collections.abc import Mapping
from typing import Any

from tools.processes import (
    ADMIN_TOKEN,
    ROOT,
    Processes,
    http_request,
    start_daemon,
    wait_until,
)

STORE_PORT = 22_000
_FIRST_PORT = 22_010
_PORTS_PER_DAEMON = 10
_SEEDS = 3
_START_TIMEOUT_S = 90
_OK = 200
_BUNDLE = ROOT / "examples" / "demo.toml"
_HEADERS = {"Authorization": f"Bearer {ADMIN_TOKEN}"}
_DOMAINS = ("domain-a", "domain-b", "domain-c")
_CHANGE_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.02
_POLL_THREADS = 9


class FleetBench:
    """A fleet of daemons that serve no requests, and their store.

    Args:
        processes: Owns the processes.
        size: Number of daemons.
        bundle: The bundle to sign off, as text; None for the example.
        flags: Further flags of every daemon.
    """

    def __init__(
        self,
        processes: Processes,
        size: int,
        bundle: str | None = None,
        flags: Mapping[str, str] | None = None,
    ) -> None:
        self._processes = processes
        self._bundle = bundle or _BUNDLE.read_text()
        self._flags = dict(flags or {})
        self._ports = [
            _FIRST_PORT + index * _PORTS_PER_DAEMON for index in range(size)
        ]
        self._numbers = itertools.count(1)
        self._executor = concurrent.futures.ThreadPoolExecutor(_POLL_THREADS)

    @property
    def pids(self) -> list[int]:
        """Process ids of the daemons."""
        return [self._processes.pid(f"entry-{port}") for port in self._ports]

    @property
    def store_pid(self) -> int:
        """Process id of the store."""
        return self._processes.pid("store")

    def start(self) -> None:
        """Starts all processes and waits until every view is complete."""
        store = f"--port={STORE_PORT}"
        self._processes.start("store", "trefoilpitch.standins.kv", store)
        seeds = tuple(f"127.0.0.1:{port + 2}" for port in self._ports[:_SEEDS])
        for index, port in enumerate(self._ports):
            start_daemon(
                self._processes,
                f"entry-{port}",
                failure_domain=_DOMAINS[index % len(_DOMAINS)],
                base_port=port,
                store_port=STORE_PORT,
                seeds=seeds,
                **self._flags,
            )
        wait_until(self._sign_off, "the sign-off", _START_TIMEOUT_S)
        wait_until(self._is_complete, "a complete fleet", _START_TIMEOUT_S)

    def dumps(self) -> list[Any]:
        """Fetches the state dump of every daemon."""
        return list(
            self._executor.map(
                lambda port: _get_admin_json(port, "/v1/dump"), self._ports
            )
        )

    def store_counters(self) -> Any:
        """Fetches the store's counters of calls, watches and bytes."""
        return http_request("GET", _faults_url()).json()

    def set_store_delay_ms(self, delay_ms: int) -> None:
        """Delays every call of the store."""
        http_request("POST", _faults_url(), {"delay_ms": delay_ms})

    def set_store_down(self, down: bool) -> None:
        """Makes the store refuse every call, or ends that."""
        http_request("POST", _faults_url(), {"down": down})

    def time_change(self, number: int) -> tuple[float, float]:
        """Commits a change and waits until it is in force everywhere.

        Returns:
            Seconds until the response, and from the response until the
            revision was in force on every daemon. Both are measured by this
            program, which polls each daemon for its revision. The response is
            sent once the commit is confirmed, so that the change may already
            be in force by then.
        """
        change = {
            "kind": "failure-domain",
            "name": _DOMAINS[0],
            "in_service": bool(number % 2),
        }
        port = self._ports[number % len(self._ports)]
        started_s = time.monotonic()
        revision = self._commit(port, change)
        accepted_s = time.monotonic()
        self._wait_until_in_force(revision, accepted_s + _CHANGE_TIMEOUT_S)
        return accepted_s - started_s, time.monotonic() - accepted_s

    def _commit(self, port: int, change: dict[str, object]) -> int:
        body = {
            **change,
            "change_id": f"measure-{next(self._numbers)}",
            "author": "measure",
        }
        url = f"http://127.0.0.1:{port + 1}/v1/changes"
        deadline_s = time.monotonic() + _CHANGE_TIMEOUT_S
        while time.monotonic() < deadline_s:
            # Retries are idempotent, since they have the same change id.
            response = http_request("POST", url, body, _HEADERS)
            if response.status == _OK:
                return int(response.json()["revision"])
            time.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(
            f"the change was not accepted in time: {response.body!r}"
        )

    def _wait_until_in_force(self, revision: int, deadline_s: float) -> None:
        pending = list(self._ports)
        while pending:
            if time.monotonic() > deadline_s:
                raise TimeoutError(
                    f"{len(pending)} daemons did not reach revision {revision}"
                )
            revisions = list(self._executor.map(_fetch_revision, pending))
            pending = [
                port
                for port, found in zip(pending, revisions, strict=True)
                if found < revision
            ]
            if pending:
                time.sleep(_POLL_INTERVAL_S)

    def _sign_off(self) -> bool:
        body = {
            "kind": "sign-off",
            "change_id": "measure-0",
            "author": "measure",
            "bundle": self._bundle,
        }
        url = f"http://127.0.0.1:{self._ports[0] + 1}/v1/changes"
        return http_request("POST", url, body, _HEADERS).status == _OK

    def _is_complete(self) -> bool:
        for port in self._ports:
            status = _get_admin_json(port, "/v1/status")
            live_nodes = [node for node in status["nodes"] if node["is_live"]]
            if len(live_nodes) < len(self._ports) or status["revision"] < 1:
                return False
        return True


def _faults_url() -> str:
    return f"http://127.0.0.1:{STORE_PORT}/standin/faults"


def _get_admin_json(port: int, path: str) -> Any:
    url = f"http://127.0.0.1:{port + 1}{path}"
    return http_request("GET", url, headers=_HEADERS).json()


def _fetch_revision(port: int) -> int:
    return int(_get_admin_json(port, "/v1/status")["revision"])

"""Daemons, engine stand-ins and one service stand-in on loopback."""

from __future__ import annotations

import hashlib
import json
import string
from collections.abc import Mapping
from typing import Any

from tools.processes import (
    ADMIN_TOKEN,
    Processes,
    http_request,
    start_daemon,
    wait_until,
)
from tools.router.client import Call, chat_call

STORE_PORT = 21_090
ENGINE_PORT = 21_101
WORKER_PORT = 21_111
DAEMON_PORT = 21_200
SLOTS = 400
_DAEMON_PORT_STEP = 3

_ADMIN = {"Authorization": f"Bearer {ADMIN_TOKEN}"}
_TOKEN = "example-measure"
_CALLER = {"Authorization": f"Bearer {_TOKEN}"}
_VERSION = "small@1"
_TASK = "short"
_OPERATION = "look-up"
_WARM_UP_TIMEOUT_S = 60
_OK = 200

_BUNDLE = """
name = "measure"
version = 1
failure_domains = ["domain-a"]

[[models]]
name = "small"
default_version = "1"

[[models.versions]]
name = "1"
prompt_cost_nano = 60
output_cost_nano = 240
prior_quality = 0.9

[[pools]]
name = "engines"
kind = "engine"
serves = ["small@1"]

{engines}
[[pools]]
name = "workers"
kind = "service"

[[pools.upstreams]]
name = "worker-a"
address = "127.0.0.1:{worker}"
failure_domain = "domain-a"
capacity = {slots}
cold_capacity = {slots}

[[tasks]]
name = "short"
cascade = ["small"]
quality_target = 0.5
deadline_ms = 60_000

[[services]]
name = "catalogue"
pool = "workers"
call_cost_nano = 2_000

[[services.operations]]
name = "look-up"
method = "GET"
idempotent = true

[[workspaces]]
name = "measure"
token_sha256 = "{token}"
allowed = ["small@*"]
tasks = ["short"]
services = ["catalogue"]
"""

_ENGINE = """
[[pools.upstreams]]
name = "engine-{index}"
address = "127.0.0.1:{port}"
failure_domain = "domain-a"
capacity = {slots}
cold_capacity = {slots}
"""


class Bench:
    """The running processes and the requests to compare.

    Args:
        processes: Owns the processes.
        engines: Number of engines.
        daemons: Number of daemons, at most 26.
    """

    def __init__(
        self, processes: Processes, *, engines: int = 1, daemons: int = 1
    ) -> None:
        self._processes = processes
        self._engines = range(engines)
        self._slots_per_engine = SLOTS // engines
        self._daemon_ports = [
            DAEMON_PORT + _DAEMON_PORT_STEP * index for index in range(daemons)
        ]

    @property
    def daemon_pid(self) -> int:
        """Process id of the first daemon."""
        return self._processes.pid("entry-a")

    def start(self) -> None:
        """Starts all processes and waits until every daemon serves."""
        self._processes.start(
            "store", "trefoilpitch.standins.kv", f"--port={STORE_PORT}"
        )
        for index in self._engines:
            self._start_engine(index)
        self._processes.start(
            "worker",
            "trefoilpitch.standins.service",
            f"--port={WORKER_PORT}",
            "--name=worker-a",
            f"--capacity={SLOTS}",
        )
        for suffix, port in zip(
            string.ascii_lowercase, self._daemon_ports, strict=False
        ):
            start_daemon(
                self._processes,
                f"entry-{suffix}",
                failure_domain="domain-a",
                base_port=port,
                store_port=STORE_PORT,
                seeds=tuple(
                    f"127.0.0.1:{one + 2}" for one in self._daemon_ports
                ),
                max_requests=str(SLOTS),
            )
        wait_until(self._sign_off, "the sign-off", _WARM_UP_TIMEOUT_S)
        wait_until(self._all_respond, "all responses", _WARM_UP_TIMEOUT_S)

    def set_token_ms(self, token_ms: float) -> None:
        """Changes the engines' time between tokens."""
        self.set_engines({"token_ms": token_ms})

    def set_engines(self, settings: Mapping[str, float]) -> None:
        """Changes settings of the engines."""
        for index in self._engines:
            port = ENGINE_PORT + index
            url = f"http://127.0.0.1:{port}/standin/settings"
            http_request("POST", url, dict(settings))

    def prefix_hits(self) -> int:
        """Returns the number of prompts whose prefix an engine had cached."""
        hits = 0
        for index in self._engines:
            url = f"http://127.0.0.1:{ENGINE_PORT + index}/standin/counts"
            counts = http_request("GET", url).json()["counts"]
            hits += counts.get("prefix_hits", 0)
        return hits

    def cold_upstreams(self) -> list[str]:
        """Returns the upstreams that are in a cold start for the daemon."""
        return [one["name"] for one in self._fetch_upstreams() if one["cold"]]

    def running(self) -> int:
        """Returns the daemon's number of in-flight requests."""
        return sum(one["in_flight"] for one in self._fetch_upstreams())

    def direct_chat(self, tokens: int) -> Call:
        """Returns a streamed request to an engine, without a daemon."""
        return chat_call(ENGINE_PORT, _VERSION, {}, tokens=tokens)

    def routed_chat(self, tokens: int, daemon: int = 0) -> Call:
        """Returns the same request, through a daemon."""
        port = self._daemon_ports[daemon]
        return chat_call(port, _TASK, _CALLER, tokens=tokens)

    def direct_look_up(self) -> Call:
        """Returns a look-up request to the worker, without a daemon."""
        return _get(WORKER_PORT, f"/{_OPERATION}/7")

    def routed_look_up(self) -> Call:
        """Returns the same look-up, through the first daemon."""
        return _get(DAEMON_PORT, f"/v1/services/catalogue/{_OPERATION}/7")

    def _fetch_upstreams(self) -> list[Any]:
        url = f"http://127.0.0.1:{DAEMON_PORT + 1}/v1/dump"
        upstreams = http_request("GET", url, headers=_ADMIN).json()["upstreams"]
        return list(upstreams)

    def _start_engine(self, index: int) -> None:
        self._processes.start(
            f"engine-{index}",
            "trefoilpitch.standins.engine",
            f"--port={ENGINE_PORT + index}",
            f"--name=engine-{index}",
            f"--versions={_VERSION}",
            f"--capacity={self._slots_per_engine}",
            f"--cold_capacity={self._slots_per_engine}",
        )

    def _sign_off(self) -> bool:
        engines = [
            _ENGINE.format(
                index=index,
                port=ENGINE_PORT + index,
                slots=self._slots_per_engine,
            )
            for index in self._engines
        ]
        bundle = _BUNDLE.format(
            engines="".join(engines),
            worker=WORKER_PORT,
            slots=SLOTS,
            token=hashlib.sha256(_TOKEN.encode()).hexdigest(),
        )
        body = {
            "kind": "sign-off",
            "change_id": "measure-1",
            "author": "measure",
            "bundle": bundle,
        }
        url = f"http://127.0.0.1:{DAEMON_PORT + 1}/v1/changes"
        return http_request("POST", url, body, _ADMIN).status == _OK

    def _all_respond(self) -> bool:
        base = f"http://127.0.0.1:{DAEMON_PORT}"
        look_up = self.routed_look_up()
        responses: list[Any] = [
            http_request("GET", base + look_up.path, headers=look_up.headers)
        ]
        for daemon, port in enumerate(self._daemon_ports):
            chat = self.routed_chat(1, daemon)
            url = f"http://127.0.0.1:{port}{chat.path}"
            response = http_request(
                "POST", url, json.loads(chat.body), chat.headers
            )
            responses.append(response)
        return all(response.status == _OK for response in responses)


def _get(port: int, path: str) -> Call:
    return Call(port=port, method="GET", path=path, body=b"", headers=_CALLER)

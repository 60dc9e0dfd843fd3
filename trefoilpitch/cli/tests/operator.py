"""Runs commands against an administration API in process."""

from __future__ import annotations

import dataclasses
import io
import json
import pathlib
from collections.abc import Callable, Mapping
from typing import Any

from returns.result import Failure, Result, Success

from trefoilpitch.administration.tests.fleet import TOKEN, Fleet
from trefoilpitch.cli import ExitStatus, main
from trefoilpitch.cli._client import ProblemReply, RequestError
from trefoilpitch.clock import ManualClock

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"
ARCHIVE = str(EXAMPLES / "archive.toml")
ENVIRONMENT = {"TREFOILPITCH_ADMIN_TOKEN": TOKEN, "USER": "mere"}


class FleetClient:
    """Sends requests to a fleet without a network."""

    def __init__(self, fleet: Fleet, token: str) -> None:
        self._fleet = fleet
        self._token = token

    def get(self, path: str) -> Result[bytes, RequestError]:
        return self._send("GET", path, b"")

    def post(self, path: str, body: bytes) -> Result[bytes, RequestError]:
        return self._send("POST", path, body)

    def _send(
        self, method: str, path: str, body: bytes
    ) -> Result[bytes, RequestError]:
        response = self._fleet.send(method, path, body, token=self._token)
        assert isinstance(response.body, bytes)
        if response.status == 200:
            return Success(response.body)
        document = json.loads(response.body)
        fields = {key: document[key] for key in ("code", "title", "detail")}
        problem = ProblemReply(status=response.status, **fields)
        return Failure(
            RequestError(
                attempts=(f"{path}: {response.status}",),
                problem=problem,
                may_have_run=response.status == 504,
            )
        )


@dataclasses.dataclass(frozen=True)
class Ended:
    """How a command ended and what it printed."""

    status: ExitStatus
    out: str
    err: str

    def json(self) -> Any:
        return json.loads(self.out)


class Operator:
    """Gives commands to one fleet."""

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.clock = ManualClock()
        # Called instead of waiting.
        self.on_sleep: Callable[[], None] = lambda: None

    def run(
        self, *words: str, environment: Mapping[str, str] = ENVIRONMENT
    ) -> Ended:
        out, err = io.StringIO(), io.StringIO()
        status = main(
            ["trefoilpitch", *words],
            environment,
            out,
            err,
            connect=lambda urls, token, timeout: FleetClient(self.fleet, token),
            clock=self.clock,
            sleep=self._sleep,
        )
        return Ended(status, out.getvalue(), err.getvalue())

    def _sleep(self, duration_ms: int) -> None:
        self.clock.advance(duration_ms)
        self.on_sleep()


def signed_off() -> Operator:
    """Returns an operator whose fleet has the archive's bundle in force."""
    operator = Operator()
    ended = operator.run("bundle", "sign-off", ARCHIVE)
    assert ended.status is ExitStatus.DONE, ended.err
    return operator

"""Runs commands against an in-process administration API."""

from __future__ import annotations

import dataclasses
import io
import json
import pathlib
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from returns.result import Failure, Result, Success

from trefoilpitch.administration.tests.fleet import TOKEN, Fleet
from trefoilpitch.cli import ExitStatus, main
from trefoilpitch.cli._client import (
    DaemonClient,
    FailoverClient,
    RequestError,
    Transport,
    decode_error,
)
from trefoilpitch.clock import ManualClock

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"
ARCHIVE = str(EXAMPLES / "archive.toml")
ENVIRONMENT = {"TREFOILPITCH_ADMIN_TOKEN": TOKEN, "USER": "mere"}


def fleet_transport(fleet: Fleet, token: str) -> Transport:
    """Returns a transport that calls a fleet's API directly."""

    def transport(
        method: str, url: str, body: bytes | None
    ) -> Result[bytes, RequestError]:
        path = "/v1/" + url.partition("/v1/")[2]
        response = fleet.send(method, path, body or b"", token=token)
        assert isinstance(response.body, bytes)
        if response.status == 200:
            return Success(response.body)
        is_post = body is not None
        return Failure(
            decode_error(url, response.status, response.body, is_post)
        )

    return transport


@dataclasses.dataclass(frozen=True)
class CommandResult:
    """The exit status and the output of a command."""

    status: ExitStatus
    out: str
    err: str

    def json(self) -> Any:
        return json.loads(self.out)


class Operator:
    """Runs commands against one fleet."""

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.clock = ManualClock()
        # Called instead of sleeping.
        self.on_sleep: Callable[[], None] = lambda: None

    def run(
        self, *words: str, environment: Mapping[str, str] = ENVIRONMENT
    ) -> CommandResult:
        out, err = io.StringIO(), io.StringIO()
        status = main(
            ["trefoilpitch", *words],
            environment,
            out,
            err,
            create_client=self._create_client,
            clock=self.clock,
            sleep=self._sleep,
        )
        return CommandResult(status, out.getvalue(), err.getvalue())

    def _create_client(
        self, urls: Sequence[str], token: str, timeout_ms: int
    ) -> DaemonClient:
        del timeout_ms
        return FailoverClient(urls, fleet_transport(self.fleet, token))

    def _sleep(self, duration_ms: int) -> None:
        self.clock.advance(duration_ms)
        self.on_sleep()


def signed_off() -> Operator:
    """Returns an operator whose fleet has the example bundle in force."""
    operator = Operator()
    completed = operator.run("bundle", "sign-off", ARCHIVE)
    assert completed.status is ExitStatus.DONE, completed.err
    return operator

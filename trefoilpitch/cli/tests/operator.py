"""Runs commands against an administration API in process."""

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
    Exchange,
    FailoverClient,
    RequestError,
    read_refusal,
)
from trefoilpitch.clock import ManualClock

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"
ARCHIVE = str(EXAMPLES / "archive.toml")
ENVIRONMENT = {"TREFOILPITCH_ADMIN_TOKEN": TOKEN, "USER": "mere"}


def fleet_exchange(fleet: Fleet, token: str) -> Exchange:
    """Returns an exchange with a fleet, without a network."""

    def exchange(
        method: str, url: str, body: bytes | None
    ) -> Result[bytes, RequestError]:
        path = "/v1/" + url.partition("/v1/")[2]
        response = fleet.send(method, path, body or b"", token=token)
        assert isinstance(response.body, bytes)
        if response.status == 200:
            return Success(response.body)
        is_post = body is not None
        return Failure(
            read_refusal(url, response.status, response.body, is_post)
        )

    return exchange


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
            connect=self._connect,
            clock=self.clock,
            sleep=self._sleep,
        )
        return Ended(status, out.getvalue(), err.getvalue())

    def _connect(
        self, urls: Sequence[str], token: str, timeout_ms: int
    ) -> DaemonClient:
        del timeout_ms
        return FailoverClient(urls, fleet_exchange(self.fleet, token))

    def _sleep(self, duration_ms: int) -> None:
        self.clock.advance(duration_ms)
        self.on_sleep()


def signed_off() -> Operator:
    """Returns an operator whose fleet has the archive's bundle in force."""
    operator = Operator()
    ended = operator.run("bundle", "sign-off", ARCHIVE)
    assert ended.status is ExitStatus.DONE, ended.err
    return operator

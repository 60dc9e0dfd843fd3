"""Clients that send requests at a rate, each on a connection of its own."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import random
import time
from collections import Counter

from review.support.daemons import Daemons
from review.support.http import exchange
from review.support.record import Record

_HOST = "archive.example"
_KEY = "parish-key"
_ATTEMPT_ID = "X-Trefoilpitch-Request-Attempt-Id"
# How many clients there are, and how long they keep an answer on average.
_CLIENTS = 44
_RESOLVE_S = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """How a request ended."""

    request_id: str
    # Monotonic time at which it was sent.
    sent_s: float
    # Status of the answer; None if there was no complete answer.
    status: int | None


def configuration(
    routes: list[dict[str, object]], services: list[dict[str, object]]
) -> dict[str, object]:
    """Returns a configuration with one tenant."""
    return {
        "version": 1,
        "routes": [{"host": _HOST, **route} for route in routes],
        "services": services,
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": "parish", "api-keys": [_KEY]}],
    }


class Clients:
    """Clients that ask any directory for addresses and use one at random.

    Args:
        record: Receives a line for each request.
        daemons: The daemons.
        path: Path of the requests.
        deadline_ms: How long a client waits.
    """

    def __init__(
        self, record: Record, daemons: Daemons, path: str, deadline_ms: int
    ) -> None:
        self.outcomes: list[Outcome] = []
        self._record = record
        self._daemons = daemons
        self._path = path
        self._deadline_ms = deadline_ms
        self._numbers = itertools.count()
        # The ports that each client knows.
        self._ports: dict[int, list[int]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def resolve(self) -> None:
        """Asks directories for addresses until cancelled."""
        async with asyncio.TaskGroup() as group:
            for client in range(_CLIENTS):
                group.create_task(self._resolve_as(client))

    async def _resolve_as(self, client: int) -> None:
        while True:
            name = random.choice(self._daemons.names)
            addresses = None
            with contextlib.suppress(OSError, TimeoutError):
                answer = await exchange(
                    self._daemons.ports[name]["directory"],
                    "GET /trefoilpitch/resolve?name=archive.example HTTP/1.1",
                    {"Host": "directory"},
                    timeout_s=1.0,
                )
                addresses = json.loads(answer.body or b"{}").get("addresses")
            if addresses:
                ports = [int(a.rpartition(":")[2]) for a in addresses]
                self._ports[client] = ports
            await asyncio.sleep(_RESOLVE_S * (0.5 + random.random()))

    async def send_at_rate(self, rate_per_s: float) -> None:
        """Sends requests at random times until cancelled."""
        while True:
            if self._ports:
                task = asyncio.create_task(self.send())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(random.expovariate(rate_per_s))

    async def finish(self, timeout_s: float) -> None:
        """Waits for the answers to all requests."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout_s)

    async def send(self) -> None:
        """Sends a request and records how it ended."""
        request_id = f"request-{next(self._numbers)}"
        port = random.choice(random.choice(list(self._ports.values())))
        sent_s = time.monotonic()
        fields = {
            "Host": _HOST,
            "Api-Key": _KEY,
            _ATTEMPT_ID: request_id,
            "X-Trefoilpitch-Deadline-Ms": str(self._deadline_ms),
        }
        answer = None
        with contextlib.suppress(OSError, TimeoutError):
            answer = await exchange(
                port,
                f"POST {self._path} HTTP/1.1",
                fields,
                b"tape",
                timeout_s=self._deadline_ms / 1_000,
            )
        status = answer.status if answer is not None else None
        self.outcomes.append(
            Outcome(request_id=request_id, sent_s=sent_s, status=status)
        )
        self._record.line(f"{request_id} to port {port}: {status}")

    def statuses(self) -> dict[int | None, int]:
        """Returns the number of answers by status; None for no answer."""
        return dict(Counter(outcome.status for outcome in self.outcomes))


def most_in_window(times_s: list[float], window_s: float) -> int:
    """Returns the largest number of times in any window."""
    ordered = sorted(times_s)
    most = first = 0
    for last, time_s in enumerate(ordered):
        while time_s - ordered[first] >= window_s:
            first += 1
        most = max(most, last - first + 1)
    return most

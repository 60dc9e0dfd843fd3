"""HTTP client that measures latency and throughput on loopback."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import http.client
import itertools
import json
import multiprocessing
import threading
import time
from collections.abc import Mapping

_TIMEOUT_S = 60
_OK = 200
_MS_PER_S = 1_000
_EVENT_PREFIX = b"data: {"
_PLACEHOLDER = b"PROMPT"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A request that can be sent any number of times."""

    # Port on loopback.
    port: int
    method: str
    path: str
    # Empty for no body.
    body: bytes
    headers: Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimedResponse:
    """Status and latency of one response."""

    status: int
    # Time to the first line of the body, in milliseconds.
    first_ms: float
    # Time to the end of the body, in milliseconds.
    total_ms: float
    # Number of server-sent events in the body.
    events: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadSpec:
    """A closed-loop load: each connection sends one request after another."""

    call: Call
    # Number of concurrent connections.
    connections: int
    # Period in which requests are started, in seconds.
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadResult:
    """Totals of a load."""

    # Number of responses with status 200.
    answered: int
    # Number of other responses.
    refused: int
    # Number of server-sent events received.
    events: int
    # Time until the last response has ended, in seconds.
    elapsed_s: float


_request_numbers = itertools.count()


class Connection:
    """A persistent connection.

    Args:
        port: Port on loopback.
    """

    def __init__(self, port: int) -> None:
        self._http = http.client.HTTPConnection(
            "127.0.0.1", port, timeout=_TIMEOUT_S
        )

    def close(self) -> None:
        """Closes the connection."""
        self._http.close()

    def send(self, call: Call) -> TimedResponse:
        """Sends one request and reads its complete response."""
        request_id = f"m-{threading.get_ident()}-{next(_request_numbers)}"
        headers = {**call.headers, "Request-Id": request_id}
        # Equal prompts would all be routed to the engine that has their prefix
        # cached.
        body = call.body.replace(_PLACEHOLDER, request_id.encode())
        started_s = time.perf_counter()
        self._http.request(call.method, call.path, body or None, headers)
        response = self._http.getresponse()
        line = response.readline()
        first_s = time.perf_counter()
        events = int(line.startswith(_EVENT_PREFIX))
        events += sum(line.startswith(_EVENT_PREFIX) for line in response)
        # Marks the response as read, so that the connection can be reused.
        response.read()
        ended_s = time.perf_counter()
        return TimedResponse(
            status=response.status,
            first_ms=(first_s - started_s) * _MS_PER_S,
            total_ms=(ended_s - started_s) * _MS_PER_S,
            events=events,
        )


def run_load(load: LoadSpec, processes: int) -> LoadResult:
    """Runs a load, with its connections divided among several processes."""
    process_load = dataclasses.replace(
        load, connections=load.connections // processes
    )
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(processes, context) as executor:
        results = list(
            executor.map(_run_in_process, [process_load] * processes)
        )
    return LoadResult(
        answered=sum(part.answered for part in results),
        refused=sum(part.refused for part in results),
        events=sum(part.events for part in results),
        elapsed_s=max(part.elapsed_s for part in results),
    )


def _run_in_process(load: LoadSpec) -> LoadResult:
    started_s = time.monotonic()
    end_s = started_s + load.duration_s
    with concurrent.futures.ThreadPoolExecutor(load.connections) as executor:
        futures = [
            executor.submit(_send_repeatedly, load.call, end_s)
            for _ in range(load.connections)
        ]
        responses = [
            response for future in futures for response in future.result()
        ]
    answered = sum(response.status == _OK for response in responses)
    return LoadResult(
        answered=answered,
        refused=len(responses) - answered,
        events=sum(response.events for response in responses),
        elapsed_s=time.monotonic() - started_s,
    )


def _send_repeatedly(call: Call, end_s: float) -> list[TimedResponse]:
    responses: list[TimedResponse] = []
    connection = Connection(call.port)
    while time.monotonic() < end_s:
        responses.append(connection.send(call))
    connection.close()
    return responses


def chat_call(
    port: int, model: str, headers: Mapping[str, str], *, tokens: int
) -> Call:
    """Returns a request for a streamed response of at most ``tokens``."""
    body = {
        "model": model,
        "max_tokens": tokens,
        "stream": True,
        "messages": [{"role": "user", "content": _PLACEHOLDER.decode()}],
    }
    return Call(
        port=port,
        method="POST",
        path="/v1/chat/completions",
        body=json.dumps(body).encode(),
        headers={"Content-Type": "application/json", **headers},
    )

"""Sends requests to a daemon or straight to a stand-in."""

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
_EVENT = b"data: {"
_PLACEHOLDER = b"PROMPT"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One kind of request."""

    # Port on loopback.
    port: int
    # The HTTP method.
    method: str
    # The path.
    path: str
    # The body; empty for none.
    body: bytes
    # Header fields.
    headers: Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """How one request went."""

    # The HTTP status.
    status: int
    # Until the first event or byte of the body, in milliseconds.
    first_ms: float
    # Until the whole body, in milliseconds.
    whole_ms: float
    # Events in the body.
    events: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Requests sent over and over on some connections."""

    # What is sent.
    call: Call
    # Connections, each with one request at a time.
    connections: int
    # For how long new requests are begun, in seconds.
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What came of a load."""

    # Requests answered with 200.
    answered: int
    # Requests that were not.
    refused: int
    # Events received.
    events: int
    # How long it took, the last answers included.
    elapsed_s: float


_numbers = itertools.count()


class Connection:
    """A connection that is kept between requests.

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

    def send(self, call: Call) -> Reply:
        """Sends one request and reads its whole answer."""
        request_id = f"m-{threading.get_ident()}-{next(_numbers)}"
        headers = {**call.headers, "Request-Id": request_id}
        # Prompts that differ do not all go to the engine that has one cached.
        body = call.body.replace(_PLACEHOLDER, request_id.encode())
        began_s = time.perf_counter()
        self._http.request(call.method, call.path, body or None, headers)
        response = self._http.getresponse()
        line = response.readline()
        first_s = time.perf_counter()
        events = int(line.startswith(_EVENT))
        events += sum(line.startswith(_EVENT) for line in response)
        # Lets the connection take the next request.
        response.read()
        whole_s = time.perf_counter()
        return Reply(
            status=response.status,
            first_ms=(first_s - began_s) * _MS_PER_S,
            whole_ms=(whole_s - began_s) * _MS_PER_S,
            events=events,
        )


def run_load(load: Load, processes: int) -> Outcome:
    """Runs a load from several processes."""
    share = dataclasses.replace(load, connections=load.connections // processes)
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(processes, context) as pool:
        parts = list(pool.map(_run_share, [share] * processes))
    return Outcome(
        answered=sum(part.answered for part in parts),
        refused=sum(part.refused for part in parts),
        events=sum(part.events for part in parts),
        elapsed_s=max(part.elapsed_s for part in parts),
    )


def _run_share(load: Load) -> Outcome:
    began_s = time.monotonic()
    until_s = began_s + load.duration_s
    with concurrent.futures.ThreadPoolExecutor(load.connections) as pool:
        futures = [
            pool.submit(_repeat, load.call, until_s)
            for _ in range(load.connections)
        ]
        replies = [reply for future in futures for reply in future.result()]
    answered = sum(reply.status == _OK for reply in replies)
    return Outcome(
        answered=answered,
        refused=len(replies) - answered,
        events=sum(reply.events for reply in replies),
        elapsed_s=time.monotonic() - began_s,
    )


def _repeat(call: Call, until_s: float) -> list[Reply]:
    replies: list[Reply] = []
    connection = Connection(call.port)
    while time.monotonic() < until_s:
        replies.append(connection.send(call))
    connection.close()
    return replies


def chat_call(
    port: int, model: str, headers: Mapping[str, str], *, tokens: int
) -> Call:
    """Returns a request for a streamed answer of some tokens at most."""
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

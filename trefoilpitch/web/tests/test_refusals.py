import contextlib
import json
import socket
from collections.abc import Iterator
from typing import Any

import pytest

from trefoilpitch.web import (
    Outcome,
    Problem,
    Request,
    Response,
    ServerLimits,
    create_wsgi_app,
    open_server,
)

_TIMEOUT_S = 30.0
_HOST = b"Host: 127.0.0.1\r\n"
_KEY = b"Idempotency-Key: loan-7\r\n"
_LIMITS = ServerLimits(
    threads=2, connections=16, body_bytes=1_000, header_bytes=2_000
)


def _handle(request: Request) -> Response:
    raise RuntimeError(request.path)


@contextlib.contextmanager
def _server(refusals: list[Problem]) -> Iterator[int]:
    server = open_server(
        create_wsgi_app(_handle),
        host="127.0.0.1",
        port=0,
        limits=_LIMITS,
        name="test-http",
        on_refusal=refusals.append,
    )
    with server:
        yield server.port


def _exchange(port: int, data: bytes) -> tuple[bytes, Any]:
    with socket.create_connection(
        ("127.0.0.1", port), timeout=_TIMEOUT_S
    ) as connection:
        connection.sendall(data)
        received = b""
        while part := connection.recv(4_096):
            received += part
    head, _, body = received.partition(b"\r\n\r\n")
    assert b"Content-Type: application/problem+json" in head
    assert b"Content-Length: %d" % len(body) in head
    return head, json.loads(body)


@pytest.mark.parametrize(
    ("data", "status", "code"),
    [
        (b"\x16\x03\x01\r\n\r\n", 400, "malformed-request"),
        (b"GET / HTTP/1.1\r\nnonsense\r\n\r\n", 400, "malformed-request"),
        (
            b"POST / HTTP/1.1\r\n" + _HOST + b"Content-Length: 1000\r\n\r\n",
            413,
            "body-too-large",
        ),
        (
            b"GET / HTTP/1.1\r\nSession: " + b"s" * 2_000 + b"\r\n\r\n",
            431,
            "headers-too-large",
        ),
        (
            b"POST / HTTP/1.1\r\n" + _HOST + b"Transfer-Encoding: x\r\n\r\n",
            501,
            "unknown-transfer-coding",
        ),
    ],
)
def test_a_request_refused_by_the_server_gets_a_problem_document(
    data: bytes, status: int, code: str
) -> None:
    refusals: list[Problem] = []
    with _server(refusals) as port:
        head, document = _exchange(port, data)
    assert head.startswith(b"HTTP/1.") and b" %d " % status in head[:14]
    assert document["type"] == f"urn:trefoilpitch:problem:{code}"
    assert document["status"] == status
    assert document["outcome"] == "not_run"
    assert [problem.code for problem in refusals] == [code]


@pytest.mark.parametrize(
    "data",
    [
        b"POST / HTTP/1.1\r\n" + _KEY + b"Content-Length: 1000\r\n\r\n",
        b"POST / HTTP/1.1\r\nnonsense\r\n" + _KEY + b"\r\n",
        b"POST / HTTP/1.1\r\n" + _KEY + b"A: " + b"a" * 2_000 + b"\r\n\r\n",
    ],
    ids=["body", "field", "size"],
)
def test_a_refused_request_with_a_key_has_an_unknown_outcome(
    data: bytes,
) -> None:
    refusals: list[Problem] = []
    with _server(refusals) as port:
        _, document = _exchange(port, data)
    assert document["outcome"] == "unknown"
    assert [problem.outcome for problem in refusals] == [Outcome.UNKNOWN]


def test_a_request_that_raises_in_the_handler_may_have_run() -> None:
    refusals: list[Problem] = []
    with _server(refusals) as port:
        head, document = _exchange(
            port, b"GET / HTTP/1.1\r\n" + _HOST + b"\r\n"
        )
    assert b" 500 " in head[:14]
    assert (document["code"], document["outcome"]) == ("internal", "unknown")
    assert [problem.code for problem in refusals] == ["internal"]

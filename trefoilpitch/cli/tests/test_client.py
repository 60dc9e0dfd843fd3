import contextlib
import http.server
import socket
import threading
from collections.abc import Iterator

import pytest
from returns.result import Success

from trefoilpitch.cli._client import RequestError, http_daemon_client
from trefoilpitch.web import Problem, encode_problem

_TIMEOUT_MS = 1_000


class _Daemon(http.server.ThreadingHTTPServer):
    """Sends every request the same raw response, or none if that is None."""

    def __init__(self, response: bytes | None) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.response = response
        self.bodies: list[bytes] = []
        self.closing = threading.Event()

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.server_port}"


class _Handler(http.server.BaseHTTPRequestHandler):
    server: _Daemon

    def do_POST(self) -> None:
        length = int(self.headers["Content-Length"])
        self.server.bodies.append(self.rfile.read(length))
        if self.server.response is None:
            self.server.closing.wait()
        else:
            self.wfile.write(self.server.response)

    def log_message(self, format: str, *args: object) -> None:
        del format, args


@contextlib.contextmanager
def _daemon(response: bytes | None) -> Iterator[_Daemon]:
    with _Daemon(response) as daemon:
        thread = threading.Thread(target=daemon.serve_forever, args=(0.01,))
        thread.start()
        try:
            yield daemon
        finally:
            daemon.closing.set()
            daemon.shutdown()
            thread.join()


def _response(status: int, body: bytes, length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    head = f"HTTP/1.0 {status} x\r\nContent-Length: {size}\r\n\r\n"
    return head.encode() + body


def _problem(status: int, code: str) -> bytes:
    problem = Problem(status=status, code=code, title="t")
    return _response(status, encode_problem(problem))


def _free_url() -> str:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{unused.getsockname()[1]}"


OK = _response(200, b"{}")
TRUNCATED = _response(200, b"{", length=2)
NO_RESPONSE = None
SERVER_ERROR = _response(500, b"")
UNAVAILABLE = _problem(503, "store-unavailable")
UNKNOWN = _problem(504, "outcome-unknown")
REFUSED = _problem(422, "no-effect")
PROXY_UNAVAILABLE = _response(503, b"<html>")


@pytest.mark.parametrize(
    "first",
    [
        TRUNCATED,
        NO_RESPONSE,
        SERVER_ERROR,
        UNAVAILABLE,
        UNKNOWN,
        PROXY_UNAVAILABLE,
        b"",
        b"garbage",
    ],
)
def test_the_next_address_is_tried_with_the_same_body(
    first: bytes | None,
) -> None:
    with _daemon(first) as one, _daemon(OK) as two:
        client = http_daemon_client(
            (_free_url(), one.url, two.url), "t", _TIMEOUT_MS
        )
        assert client.post("/v1/changes", b"change") == Success(b"{}")
        assert one.bodies == two.bodies == [b"change"]


@pytest.mark.parametrize(
    ("responses", "may_have_run"),
    [
        ([], False),
        ([UNAVAILABLE], False),
        ([UNAVAILABLE, UNAVAILABLE], False),
        ([REFUSED], False),
        ([TRUNCATED], True),
        ([NO_RESPONSE], True),
        ([SERVER_ERROR], True),
        ([PROXY_UNAVAILABLE], True),
        ([UNKNOWN], True),
        # A later refusal does not settle the outcome of the first attempt.
        ([NO_RESPONSE, REFUSED], True),
        ([UNKNOWN, UNAVAILABLE], True),
    ],
)
def test_a_change_that_may_have_been_accepted_is_detected(
    responses: list[bytes | None], may_have_run: bool
) -> None:
    with contextlib.ExitStack() as stack:
        daemons = [stack.enter_context(_daemon(each)) for each in responses]
        urls = [daemon.url for daemon in daemons] or [_free_url()]
        client = http_daemon_client(urls, "t", _TIMEOUT_MS)
        error: RequestError = client.post("/v1/changes", b"change").failure()
        assert error.may_have_run is may_have_run
        assert len(error.attempts) == len(urls)


def test_a_refusal_is_final() -> None:
    with _daemon(REFUSED) as one, _daemon(OK) as two:
        client = http_daemon_client((one.url, two.url), "t", _TIMEOUT_MS)
        error = client.post("/v1/changes", b"change").failure()
        assert error.problem is not None
        assert error.problem.code == "no-effect"
        assert two.bodies == []


@pytest.mark.parametrize(
    ("response", "expected"),
    [(NO_RESPONSE, "read timeout"), (TRUNCATED, "broken connection")],
)
def test_each_attempt_describes_its_failure(
    response: bytes | None, expected: str
) -> None:
    free = _free_url()
    with _daemon(response) as daemon:
        client = http_daemon_client((free, daemon.url), "t", _TIMEOUT_MS)
        error = client.post("/v1/changes", b"change").failure()
    assert error.attempts[0] == f"{free}/v1/changes: connection failed"
    assert expected in error.attempts[1]

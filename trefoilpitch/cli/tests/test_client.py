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
    """Gives every request the same raw reply; None leaves it unanswered."""

    def __init__(self, reply: bytes | None) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.reply = reply
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
        if self.server.reply is None:
            self.server.closing.wait()
        else:
            self.wfile.write(self.server.reply)

    def log_message(self, format: str, *args: object) -> None:
        del format, args


@contextlib.contextmanager
def _daemon(reply: bytes | None) -> Iterator[_Daemon]:
    with _Daemon(reply) as daemon:
        thread = threading.Thread(target=daemon.serve_forever, args=(0.01,))
        thread.start()
        try:
            yield daemon
        finally:
            daemon.closing.set()
            daemon.shutdown()
            thread.join()


def _reply(status: int, body: bytes, length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    head = f"HTTP/1.0 {status} x\r\nContent-Length: {size}\r\n\r\n"
    return head.encode() + body


def _problem(status: int, code: str) -> bytes:
    problem = Problem(status=status, code=code, title="t")
    return _reply(status, encode_problem(problem))


def _free_url() -> str:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{unused.getsockname()[1]}"


DONE = _reply(200, b"{}")
CUT = _reply(200, b"{", length=2)
HANGS = None
FAILS = _reply(500, b"")
DOWN = _problem(503, "store-unavailable")
UNKNOWN = _problem(504, "outcome-unknown")
REFUSED = _problem(422, "no-effect")
PROXY_DOWN = _reply(503, b"<html>")


@pytest.mark.parametrize(
    "first", [CUT, HANGS, FAILS, DOWN, UNKNOWN, PROXY_DOWN, b"", b"garbage"]
)
def test_the_next_address_is_tried_with_the_same_body(
    first: bytes | None,
) -> None:
    with _daemon(first) as one, _daemon(DONE) as two:
        client = http_daemon_client(
            (_free_url(), one.url, two.url), "t", _TIMEOUT_MS
        )
        assert client.post("/v1/changes", b"change") == Success(b"{}")
        assert one.bodies == two.bodies == [b"change"]


@pytest.mark.parametrize(
    ("replies", "may_have_run"),
    [
        ([], False),
        ([DOWN], False),
        ([DOWN, DOWN], False),
        ([REFUSED], False),
        ([CUT], True),
        ([HANGS], True),
        ([FAILS], True),
        ([PROXY_DOWN], True),
        ([UNKNOWN], True),
        # A later refusal does not settle what became of the first try.
        ([HANGS, REFUSED], True),
        ([UNKNOWN, DOWN], True),
    ],
)
def test_a_change_that_may_have_been_accepted_is_told_from_one_that_was_not(
    replies: list[bytes | None], may_have_run: bool
) -> None:
    with contextlib.ExitStack() as stack:
        daemons = [stack.enter_context(_daemon(each)) for each in replies]
        urls = [daemon.url for daemon in daemons] or [_free_url()]
        client = http_daemon_client(urls, "t", _TIMEOUT_MS)
        error: RequestError = client.post("/v1/changes", b"change").failure()
        assert error.may_have_run is may_have_run
        assert len(error.attempts) == len(urls)


def test_a_refusal_is_final() -> None:
    with _daemon(REFUSED) as one, _daemon(DONE) as two:
        client = http_daemon_client((one.url, two.url), "t", _TIMEOUT_MS)
        error = client.post("/v1/changes", b"change").failure()
        assert error.problem is not None
        assert error.problem.code == "no-effect"
        assert two.bodies == []


@pytest.mark.parametrize(
    ("reply", "expected"),
    [(HANGS, "no reply in time"), (CUT, "broken connection")],
)
def test_attempts_say_what_happened(reply: bytes | None, expected: str) -> None:
    free = _free_url()
    with _daemon(reply) as daemon:
        client = http_daemon_client((free, daemon.url), "t", _TIMEOUT_MS)
        error = client.post("/v1/changes", b"change").failure()
    assert error.attempts[0] == f"{free}/v1/changes: nothing listens there"
    assert expected in error.attempts[1]

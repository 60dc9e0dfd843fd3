import contextlib
import socket
import threading
from collections.abc import Iterator

from trefoilpitch.web import (
    Handler,
    Request,
    Response,
    ServerLimits,
    create_wsgi_app,
    open_server,
)

_PATIENCE_S = 30.0
_GET = b"GET / HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"


@contextlib.contextmanager
def _connection(handler: Handler) -> Iterator[socket.socket]:
    server = open_server(
        create_wsgi_app(handler),
        host="127.0.0.1",
        port=0,
        limits=ServerLimits(threads=2, connections=16),
        name="test-http",
    )
    with (
        server,
        socket.create_connection(
            ("127.0.0.1", server.port), timeout=_PATIENCE_S
        ) as connection,
    ):
        yield connection


def test_a_caller_that_leaves_is_noticed_while_its_request_runs() -> None:
    begun, gone = threading.Event(), threading.Event()

    def handle(request: Request) -> Response:
        with request.disconnect.listen(gone.set):
            begun.set()
            gone.wait(_PATIENCE_S)
        return Response()

    with _connection(handle) as connection:
        connection.sendall(_GET)
        assert begun.wait(_PATIENCE_S)
        assert not gone.is_set()
        connection.close()
        assert gone.wait(_PATIENCE_S)


def test_leaving_concerns_only_the_request_that_is_under_way() -> None:
    left: list[str] = []
    second_begun, second_left = threading.Event(), threading.Event()
    ended = threading.Event()

    def handle(request: Request) -> Response:
        if request.path == "/":
            with request.disconnect.listen(lambda: left.append("first")):
                return Response()
        with request.disconnect.listen(second_left.set):
            second_begun.set()
            second_left.wait(_PATIENCE_S)
        # Whoever looks only now is told as well.
        with request.disconnect.listen(lambda: left.append("late")):
            left.append("second")
        ended.set()
        return Response()

    with _connection(handle) as connection:
        connection.sendall(_GET)
        assert connection.recv(4_096)
        connection.sendall(_GET.replace(b" / ", b" /second "))
        assert second_begun.wait(_PATIENCE_S)
        connection.close()
        assert ended.wait(_PATIENCE_S)
        assert second_left.is_set()
    assert left == ["late", "second"]

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

_TIMEOUT_S = 30.0
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
            ("127.0.0.1", server.port), timeout=_TIMEOUT_S
        ) as connection,
    ):
        yield connection


def test_a_disconnect_is_detected_while_the_request_runs() -> None:
    started, disconnected = threading.Event(), threading.Event()

    def handle(request: Request) -> Response:
        with request.disconnect.listen(disconnected.set):
            started.set()
            disconnected.wait(_TIMEOUT_S)
        return Response()

    with _connection(handle) as connection:
        connection.sendall(_GET)
        assert started.wait(_TIMEOUT_S)
        assert not disconnected.is_set()
        connection.close()
        assert disconnected.wait(_TIMEOUT_S)


def test_a_disconnect_notifies_only_the_request_in_flight() -> None:
    events: list[str] = []
    second_started, second_disconnected = threading.Event(), threading.Event()
    ended = threading.Event()

    def handle(request: Request) -> Response:
        if request.path == "/":
            with request.disconnect.listen(lambda: events.append("first")):
                return Response()
        with request.disconnect.listen(second_disconnected.set):
            second_started.set()
            second_disconnected.wait(_TIMEOUT_S)
        # A listener registered after the disconnect is called as well.
        with request.disconnect.listen(lambda: events.append("late")):
            events.append("second")
        ended.set()
        return Response()

    with _connection(handle) as connection:
        connection.sendall(_GET)
        assert connection.recv(4_096)
        connection.sendall(_GET.replace(b" / ", b" /second "))
        assert second_started.wait(_TIMEOUT_S)
        connection.close()
        assert ended.wait(_TIMEOUT_S)
        assert second_disconnected.is_set()
    assert events == ["late", "second"]

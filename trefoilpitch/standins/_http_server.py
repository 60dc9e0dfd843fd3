"""HTTP server of the engine, service and rating stand-ins.

Unlike `_json_server`, it can cut its open connections to simulate a crash.
"""

from __future__ import annotations

import contextlib
import http.server
import socket
import threading
from collections.abc import Callable, Mapping
from types import TracebackType
from typing import Any, Self, TypeVar

import msgspec

REQUEST_ID_HEADER = "Request-Id"
LOOPBACK = "127.0.0.1"

T = TypeVar("T")


class Handler(http.server.BaseHTTPRequestHandler):
    """Handles the requests of one connection; subclasses add the paths."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    @property
    def request_id(self) -> str:
        """The request ID header; empty if there is none."""
        return self.headers.get(REQUEST_ID_HEADER, "")

    def log_message(self, format: str, *args: Any) -> None:
        """Disables the access log; tests read the counts instead."""

    def handle(self) -> None:
        """Handles requests until either side closes the connection."""
        with contextlib.suppress(OSError, ValueError):
            super().handle()

    def read_body(self) -> bytes:
        """Reads the request's body, which must have a length."""
        return self.rfile.read(int(self.headers.get("Content-Length", "0")))

    def read_json(self, kind: type[T]) -> T:
        """Decodes the request's JSON body; an empty one counts as ``{}``.

        Raises:
            msgspec.MsgspecError: If it is not JSON of that type.
        """
        return msgspec.json.decode(self.read_body() or b"{}", type=kind)

    def respond_json(
        self,
        value: object,
        *,
        status: int = 200,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Sends a JSON response that echoes the request ID."""
        body = msgspec.json.encode(value)
        self.start_response(status, len(body), headers or {})
        self.wfile.write(body)

    def start_response(
        self,
        status: int,
        length: int,
        headers: Mapping[str, str],
        *,
        request_id: str | None = None,
    ) -> None:
        """Sends the header of a JSON response of the given length."""
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(length))
        self.send_header(REQUEST_ID_HEADER, request_id or self.request_id)
        for name, value in headers.items():
            self.send_header(name, value)
        self.end_headers()

    def drop_connection(self) -> None:
        """Closes the connection without waiting for a request to end."""
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)

    def peer_disconnected(self) -> bool:
        """Whether the client has closed the connection."""
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            received: bytes = self.connection.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return not received


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    block_on_close = False

    def __init__(self, port: int, handler: type[Handler]) -> None:
        super().__init__((LOOPBACK, port), handler)
        self._sockets: set[socket.socket] = set()
        self._sockets_lock = threading.Lock()

    def process_request(self, request: Any, client_address: Any) -> None:
        with self._sockets_lock:
            self._sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        with self._sockets_lock:
            self._sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Suppresses tracebacks: clients may disconnect at any moment."""

    def drop_connections(self, kept: socket.socket | None = None) -> None:
        with self._sockets_lock:
            sockets = [sock for sock in self._sockets if sock is not kept]
        for sock in sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class StandInServer:
    """An HTTP server on the loopback address with a thread per connection.

    Args:
        handler: Returns the class that handles the connections.
        port: The port; 0 picks a free one.
    """

    def __init__(
        self, handler: Callable[[], type[Handler]], port: int = 0
    ) -> None:
        self._server = _Server(port, handler())
        self._thread = threading.Thread(
            target=self._server.serve_forever,
            kwargs={"poll_interval": 0.02},
            name="stand-in",
            daemon=True,
        )
        self._thread.start()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    @property
    def address(self) -> str:
        """Where it listens, as ``host:port``."""
        return f"{LOOPBACK}:{self._server.server_address[1]}"

    def drop_connections(self, kept: socket.socket | None = None) -> None:
        """Shuts down every open connection but one that is kept."""
        self._server.drop_connections(kept)

    def wait(self) -> None:
        """Blocks until the server is closed."""
        self._thread.join()

    def close(self) -> None:
        """Stops listening and shuts down every open connection."""
        self._server.shutdown()
        self._server.server_close()
        self._server.drop_connections()
        self._thread.join()

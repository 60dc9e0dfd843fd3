"""What the stand-ins' HTTP servers have in common."""

from __future__ import annotations

import http.server
import threading
from types import TracebackType
from typing import Self

_SHUTDOWN_POLL_S = 0.02


class JsonHandler(http.server.BaseHTTPRequestHandler):
    """Answers the JSON calls of one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    # Headers and body leave in one segment.
    wbufsize = -1

    def log_message(self, format: str, *args: object) -> None:
        """Keeps quiet: counters tell what was asked for."""

    def read_body(self) -> bytes:
        """Reads the call's whole body."""
        length = int(self.headers.get("Content-Length", "0"))
        return self.rfile.read(length)

    def reply(self, status: int, body: bytes) -> None:
        """Sends a whole reply."""
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def drop_connection(self) -> None:
        """Closes the connection without a reply."""
        self.close_connection = True


class BoundServer(http.server.ThreadingHTTPServer):
    """A bound server with a thread for each connection."""

    daemon_threads = True
    block_on_close = False
    request_queue_size = 1_024


class JsonServer:
    """Serves on a thread of its own while entered as a context manager.

    Args:
        bound: The bound server.
    """

    def __init__(self, bound: BoundServer) -> None:
        self._bound = bound
        self._thread = threading.Thread(
            target=bound.serve_forever,
            args=(_SHUTDOWN_POLL_S,),
            name=type(self).__name__,
            daemon=True,
        )

    @property
    def host(self) -> str:
        """The IP number that it listens at."""
        return str(self._bound.server_address[0])

    @property
    def port(self) -> int:
        """The port that it listens at."""
        return self._bound.server_port

    def wait(self) -> None:
        """Waits until the server is closed."""
        self._thread.join()

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._bound.shutdown()
        self._bound.server_close()

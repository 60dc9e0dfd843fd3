"""HTTP server of the store and VM list stand-ins."""

from __future__ import annotations

import http.server
import threading
from types import TracebackType
from typing import Self

_SHUTDOWN_POLL_S = 0.02


class JsonHandler(http.server.BaseHTTPRequestHandler):
    """Handles the JSON requests of one connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    # Buffers the output, so that header and body go out in one TCP segment.
    wbufsize = -1

    def log_message(self, format: str, *args: object) -> None:
        """Disables the access log; tests read the counters instead."""

    def read_body(self) -> bytes:
        """Reads the request's body."""
        length = int(self.headers.get("Content-Length", "0"))
        return self.rfile.read(length)

    def respond(self, status: int, body: bytes) -> None:
        """Sends a response with a JSON body."""
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def drop_connection(self) -> None:
        """Closes the connection after the current request."""
        self.close_connection = True


class BoundServer(http.server.ThreadingHTTPServer):
    """A listening server with a thread per connection."""

    daemon_threads = True
    block_on_close = False
    request_queue_size = 1_024


class JsonServer:
    """Serves from a background thread while entered as a context manager.

    Args:
        bound: The listening server.
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
        """The IP address that it listens on."""
        return str(self._bound.server_address[0])

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._bound.server_port

    def wait(self) -> None:
        """Blocks until the server is closed."""
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

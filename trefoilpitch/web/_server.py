"""HTTP servers for long streams that buffer in memory only."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import threading
import time
from collections.abc import Callable
from types import TracebackType

import waitress.server

from trefoilpitch.web._channel import Channel
from trefoilpitch.web._problems import Problem
from trefoilpitch.web._wsgi import WsgiApp

# The VMs have no disk, and waitress moves larger buffers to temporary files.
_BUFFER_OVERFLOW_BYTES = 1 << 40
_MS_PER_S = 1_000
_CLOSE_POLL_MS = 20
_CLOSE_GRACE_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerLimits:
    """Limits of one HTTP server."""

    # Requests handled concurrently; each stream occupies one thread.
    threads: int = 64
    # Open connections, idle ones included.
    connections: int = 1_024
    # Largest request body, in bytes.
    body_bytes: int = 8 * 1024 * 1024
    # Largest request header, in bytes.
    header_bytes: int = 64 * 1024
    # Unsent bytes of a response above which its producer blocks.
    unsent_bytes: int = 256 * 1024
    # Time after which a connection without traffic is closed.
    idle_ms: int = 300_000


class HttpServer:
    """Serves a WSGI application on one address; a context manager.

    Args:
        app: The application.
        host: IP address to listen on.
        port: Port to listen on; 0 lets the system choose one.
        limits: The server's limits.
        name: Name of the server's thread.
        on_refusal: Called with the problem of each request that is refused
            before it reaches the application.
    """

    def __init__(
        self,
        app: WsgiApp,
        host: str,
        port: int,
        limits: ServerLimits,
        name: str,
        *,
        on_refusal: Callable[[Problem], None],
    ) -> None:
        self._server = waitress.server.create_server(
            app,
            host=host,
            port=port,
            threads=limits.threads,
            connection_limit=limits.connections,
            max_request_body_size=limits.body_bytes,
            max_request_header_size=limits.header_bytes,
            inbuf_overflow=_BUFFER_OVERFLOW_BYTES,
            outbuf_overflow=_BUFFER_OVERFLOW_BYTES,
            outbuf_high_watermark=limits.unsent_bytes,
            channel_timeout=limits.idle_ms // _MS_PER_S,
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
            ident=None,
        )
        # Safe after construction: connections are accepted only once the
        # server's thread runs.
        self._server.channel_class = functools.partial(
            Channel, on_refusal=on_refusal
        )
        self._close_grace_ms = _CLOSE_GRACE_MS
        self._thread = threading.Thread(
            target=self._server.run, name=name, daemon=True
        )

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return int(self._server.effective_port)

    def __enter__(self) -> HttpServer:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def abandon(self) -> None:
        """Makes :meth:`close` cut off responses that are in flight."""
        self._close_grace_ms = 0

    def close(self) -> None:
        """Stops listening and closes every connection.

        Unsent responses get a grace period first, unless :meth:`abandon` was
        called.
        """
        grace_ms = self._close_grace_ms
        until = time.monotonic() + grace_ms / _MS_PER_S
        while self._has_unsent() and time.monotonic() < until:
            time.sleep(_CLOSE_POLL_MS / _MS_PER_S)
        with contextlib.suppress(OSError):
            self._server.close()
        self._thread.join(grace_ms / _MS_PER_S)

    def _has_unsent(self) -> bool:
        channels = list(self._server._map.values())
        return any(
            getattr(channel, "total_outbufs_len", 0)
            or getattr(channel, "requests", None)
            for channel in channels
        )


def open_server(
    app: WsgiApp,
    *,
    host: str,
    port: int,
    limits: ServerLimits,
    name: str,
    on_refusal: Callable[[Problem], None] = lambda problem: None,
) -> HttpServer:
    """Creates a server that starts when its context is entered."""
    return HttpServer(app, host, port, limits, name, on_refusal=on_refusal)

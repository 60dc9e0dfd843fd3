"""The stand-in for the platform's key-value store.

Serves the API of etcd's v3 JSON gateway from a `MemoryStore`.
``GET /standin/faults`` returns its counters, ``POST /standin/faults`` sets its
faults.
"""

from __future__ import annotations

import dataclasses
import select
import threading
import time
from types import TracebackType

import msgspec

from trefoilpitch.clock import Clock, SystemClock
from trefoilpitch.standins._json_server import (
    BoundServer,
    JsonHandler,
    JsonServer,
)
from trefoilpitch.standins._kv_gateway import Gateway, watch_messages
from trefoilpitch.store import MemoryStore, memory_store

_MS_PER_S = 1_000
# Long enough that a slow call always ends by the client's timeout.
_SERVER_TIMEOUT_MS = 3_600_000
_CONTROL_PATH = "/standin/faults"
_STREAM_END = b"0\r\n\r\n"


class StoreFaults(msgspec.Struct, kw_only=True, frozen=True):
    """Faults to inject; None leaves the current setting unchanged."""

    # Whether to close every connection without a response.
    down: bool | None = None
    # Delay of every call, in milliseconds.
    delay_ms: int | None = None
    # Number of following calls that take effect but get no response.
    lose_replies: int | None = None
    # How many revisions reads lag behind.
    stale_reads: int | None = None
    # Whether to expire every lease now.
    lapse_leases: bool = False
    # Whether to close every open watch now.
    cut_watches: bool = False
    # Number of past revisions to send to every open watch again.
    redeliver: int = 0


class _BoundServer(BoundServer):
    """Holds the store for its handlers and counts body bytes."""

    def __init__(self, address: tuple[str, int], store: MemoryStore) -> None:
        super().__init__(address, _Handler)
        self.store = store
        self.gateway = Gateway(store)
        self._lock = threading.Lock()
        self._bytes = 0

    @property
    def counted_bytes(self) -> int:
        """Bytes of all request and response bodies, without headers."""
        return self._bytes

    def count_bytes(self, count: int) -> None:
        """Adds the length of a body; thread-safe."""
        with self._lock:
            self._bytes += count


class KvServer(JsonServer):
    """Serves a `MemoryStore` over HTTP; a context manager.

    Args:
        bound: The listening server.
    """

    def __init__(self, bound: _BoundServer) -> None:
        super().__init__(bound)
        self._store = bound.store

    @property
    def store(self) -> MemoryStore:
        """The served store, for setting faults from the same process."""
        return self._store

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        super().__exit__(exc_type, exc, traceback)
        self._store.cut_watches()


class _Handler(JsonHandler):
    """Handles the requests of one connection."""

    server: _BoundServer

    def do_GET(self) -> None:  # noqa: N802
        """Serves the store's counters."""
        if self.path != _CONTROL_PATH:
            self.respond(404, b"{}")
            return
        counters = dataclasses.asdict(self.server.store.counters)
        counters["bytes"] = self.server.counted_bytes
        self.respond(200, msgspec.json.encode(counters))

    def do_POST(self) -> None:  # noqa: N802
        """Serves the store's API and the control API."""
        body = self.read_body()
        if self.path == _CONTROL_PATH:
            self._set_faults(body)
            return
        self.server.count_bytes(len(body))
        if self.path == "/v3/watch":
            self._watch(body)
        else:
            self._call(body)

    def _call(self, body: bytes) -> None:
        response = self.server.gateway.call(self.path, body)
        if response is None:
            self.drop_connection()
            return
        self.server.count_bytes(len(response.body))
        self.respond(response.status, response.body)

    def _watch(self, body: bytes) -> None:
        watch = self.server.gateway.open_watch(body)
        self.drop_connection()
        if watch is None:
            return
        with watch:
            self._start_stream()
            for message in watch_messages(watch, self._is_disconnected):
                self._send_chunk(message)
            self.wfile.write(_STREAM_END)

    def _start_stream(self) -> None:
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def _send_chunk(self, message: bytes) -> None:
        self.server.count_bytes(len(message))
        self.wfile.write(b"%x\r\n%s\r\n" % (len(message), message))
        self.wfile.flush()

    def _is_disconnected(self) -> bool:
        """Whether the client has closed the connection.

        The client sends nothing after the request, so a readable socket means
        that it was closed.
        """
        readable, _, _ = select.select([self.connection], [], [], 0)
        return bool(readable)

    def _set_faults(self, body: bytes) -> None:
        try:
            faults = msgspec.json.decode(body, type=StoreFaults)
        except msgspec.MsgspecError as error:
            self.respond(400, msgspec.json.encode({"error": str(error)}))
            return
        _apply_faults(faults, self.server.store)
        self.respond(200, b"{}")


def _apply_faults(faults: StoreFaults, store: MemoryStore) -> None:
    if faults.down is not None:
        store.set_down(faults.down)
    if faults.delay_ms is not None:
        store.set_delay_ms(faults.delay_ms)
    if faults.lose_replies is not None:
        store.lose_replies(faults.lose_replies)
    if faults.stale_reads is not None:
        store.set_read_lag(faults.stale_reads)
    if faults.lapse_leases:
        store.lapse_leases()
    if faults.cut_watches:
        store.cut_watches()
    if faults.redeliver:
        store.redeliver(faults.redeliver)


def kv_server(
    *, host: str = "127.0.0.1", port: int = 0, clock: Clock | None = None
) -> KvServer:
    """Binds a stand-in with an empty store; it serves once entered.

    Args:
        host: The IP address to listen on.
        port: The port to listen on; 0 picks a free one.
        clock: Times the leases; the system clock by default.
    """
    store = memory_store(
        clock or SystemClock(),
        sleep_ms=lambda delay_ms: time.sleep(delay_ms / _MS_PER_S),
        timeout_ms=_SERVER_TIMEOUT_MS,
    )
    return KvServer(_BoundServer((host, port), store))

"""The stand-in for the platform's key-value service.

Serves the shapes of etcd's v3 JSON gateway from a store in memory.
``GET`` and ``POST /standin/faults`` read and set its faults.
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
# The caller's own timeout is what ends a slow call.
_SERVER_TIMEOUT_MS = 3_600_000
_CONTROL_PATH = "/standin/faults"
_STREAM_END = b"0\r\n\r\n"


class Faults(msgspec.Struct, kw_only=True, frozen=True):
    """The faults to bring about; absent fields stay as they are."""

    # Drops every connection without a reply.
    down: bool | None = None
    # Delays every call, in milliseconds.
    delay_ms: int | None = None
    # Loses that many replies after their effect.
    lose_replies: int | None = None
    # Answers reads from that many revisions ago.
    stale_reads: int | None = None
    # Expires every lease now.
    lapse_leases: bool = False
    # Breaks every open watch now.
    cut_watches: bool = False
    # Tells every open watch that many revisions again.
    redeliver: int = 0


class _BoundServer(BoundServer):
    """Carries the store to its handlers."""

    def __init__(self, address: tuple[str, int], store: MemoryStore) -> None:
        super().__init__(address, _Handler)
        self.store = store
        self.gateway = Gateway(store)
        self._lock = threading.Lock()
        self._bytes = 0

    @property
    def counted_bytes(self) -> int:
        """Bytes of all bodies received and sent, without headers."""
        return self._bytes

    def count_bytes(self, count: int) -> None:
        """Adds the length of a body; safe to call from any thread."""
        with self._lock:
            self._bytes += count


class KvServer(JsonServer):
    """Serves a `MemoryStore` over HTTP; a context manager.

    Args:
        bound: The bound server.
    """

    def __init__(self, bound: _BoundServer) -> None:
        super().__init__(bound)
        self._store = bound.store

    @property
    def store(self) -> MemoryStore:
        """What it serves, for setting faults from the same process."""
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
    """Answers the calls of one connection."""

    server: _BoundServer

    def do_GET(self) -> None:  # noqa: N802
        """Reports the store's counters."""
        if self.path != _CONTROL_PATH:
            self.reply(404, b"{}")
            return
        counters = dataclasses.asdict(self.server.store.counters)
        counters["bytes"] = self.server.counted_bytes
        self.reply(200, msgspec.json.encode(counters))

    def do_POST(self) -> None:  # noqa: N802
        """Answers one call."""
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
        reply = self.server.gateway.call(self.path, body)
        if reply is None:
            self.drop_connection()
            return
        self.server.count_bytes(len(reply.body))
        self.reply(reply.status, reply.body)

    def _watch(self, body: bytes) -> None:
        watch = self.server.gateway.open_watch(body)
        self.drop_connection()
        if watch is None:
            return
        with watch:
            self._start_stream()
            for message in watch_messages(watch, self._is_disconnected):
                self._chunk(message)
            self.wfile.write(_STREAM_END)

    def _start_stream(self) -> None:
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def _chunk(self, message: bytes) -> None:
        self.server.count_bytes(len(message))
        self.wfile.write(b"%x\r\n%s\r\n" % (len(message), message))
        self.wfile.flush()

    def _is_disconnected(self) -> bool:
        """Tells whether the caller has closed: it sends nothing else."""
        readable, _, _ = select.select([self.connection], [], [], 0)
        return bool(readable)

    def _set_faults(self, body: bytes) -> None:
        try:
            faults = msgspec.json.decode(body, type=Faults)
        except msgspec.MsgspecError as error:
            self.reply(400, msgspec.json.encode({"error": str(error)}))
            return
        _apply(faults, self.server.store)
        self.reply(200, b"{}")


def _apply(faults: Faults, store: MemoryStore) -> None:
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
    """Binds a stand-in with an empty store; entering it starts to serve.

    Args:
        host: The IP number to listen at.
        port: The port to listen at; 0 picks a free one.
        clock: Times the leases; the machine's clock by default.
    """
    store = memory_store(
        clock or SystemClock(),
        sleep_ms=lambda delay_ms: time.sleep(delay_ms / _MS_PER_S),
        timeout_ms=_SERVER_TIMEOUT_MS,
    )
    return KvServer(_BoundServer((host, port), store))

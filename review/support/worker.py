"""A stand-in for a worker of the platform."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import struct
import time
from collections.abc import Callable, Coroutine
from typing import Any

from review.support.http import LOOPBACK, Message, encode, read_message

_ID = "X-Trefoilpitch-Request-Attempt-Id"
_SEAL = "X-Trefoilpitch-Response-Seal"
_MAX_HEAD_BYTES = 64 * 1024
_RESET = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached a worker and that it did not turn away."""

    request_id: str
    target: str
    # Monotonic time.
    time_s: float
    # Whether the worker was cold.
    cold: bool


# Serves one request on its connection.
Serve = Callable[
    ["Worker", Message, asyncio.StreamWriter], Coroutine[Any, Any, None]
]


class Worker:
    """Listens on loopback and runs requests.

    Args:
        worker_id: Its id in the store.
        service: Its service.
        zone: Its zone.
        serve: Responds to the requests that expect this worker.
        slots: Requests that it runs at the same time.
    """

    def __init__(
        self,
        worker_id: str,
        service: str,
        zone: str,
        serve: Serve,
        *,
        slots: int = 64,
    ) -> None:
        self.worker_id = worker_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.arrivals: list[Arrival] = []
        self.running = 0
        self.port = 0
        # Number of its crashes.
        self.crashes = 0
        # Monotonic time until which it is cold.
        self.cold_until_s = 0.0
        self._serve = serve
        self._born_ms = 0
        self._seq = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_up(self) -> bool:
        """Whether it listens."""
        return self._server is not None

    @property
    def is_cold(self) -> bool:
        """Whether it has started a short while ago."""
        return time.monotonic() < self.cold_until_s

    async def start(self, cold_s: float = 0.0) -> None:
        """Starts or restarts under its id and address.

        Args:
            cold_s: How long it is cold.
        """
        self._born_ms = int(time.time() * 1_000)
        self.cold_until_s = time.monotonic() + cold_s
        self._server = await asyncio.start_server(
            self._on_connection,
            LOOPBACK,
            self.port,
            limit=_MAX_HEAD_BYTES,
            backlog=512,
        )
        self.port = int(self._server.sockets[0].getsockname()[1])

    def crash(self) -> None:
        """Ends at once: resets all connections and refuses new ones."""
        if self._server is None:
            return
        self.crashes += 1
        self._server.close()
        self._server = None
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            reset(writer)
        self.running = 0

    def entry(self) -> dict[str, Any]:
        """Returns the entry that it writes into the store."""
        self._seq += 1
        left_s = max(0.0, self.cold_until_s - time.monotonic())
        return {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold-left-ms": int(left_s * 1_000),
            "seq": self._seq,
            "born": self._born_ms,
        }

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                await self._handle(await read_message(reader), reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if request.headers.get("x-trefoilpitch-expect-instance") != (
            self.worker_id
        ):
            fields = {"X-Trefoilpitch-Instance-Id": self.worker_id}
            writer.write(encode("HTTP/1.1 421 Misdirected", fields, b""))
            return
        self.arrivals.append(
            Arrival(
                request_id=request.headers[_ID.lower()],
                target=request.target,
                time_s=time.monotonic(),
                cold=self.is_cold,
            )
        )
        self.running += 1
        run = asyncio.create_task(self._serve(self, request, writer))
        # A worker drops a request when its connection closes.
        ended = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait(
                {run, ended}, return_when=asyncio.FIRST_COMPLETED
            )
            if not run.done():
                raise ConnectionResetError("the caller has left")
            await run
        finally:
            self.running = max(0, self.running - 1)
            for task in (run, ended):
                task.cancel()
            await asyncio.gather(run, ended, return_exceptions=True)


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


def response_headers(worker: Worker, request: Message) -> dict[str, str]:
    """Returns the headers of a worker's response."""
    return {
        _ID: request.headers[_ID.lower()],
        _SEAL: f"{worker.worker_id}.seal",
        "X-Trefoilpitch-Instance-Load": f"{worker.running},0,{worker.slots}",
    }


def plain(work_s: float) -> Serve:
    """Returns a way to respond with a short body after some time."""

    async def serve(
        worker: Worker, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(work_s)
        fields = response_headers(worker, request)
        writer.write(encode("HTTP/1.1 200 OK", fields, b"done"))
        await writer.drain()

    return serve

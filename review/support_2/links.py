"""Links of one machine to the workers that a partition can cut.

The machine's view of the platform's store names a forwarder of its own for each
worker. While the links are cut, connections through them hang: new ones are not
accepted, and nothing arrives on open ones.
"""

from __future__ import annotations

import asyncio
import base64
import json
import socket
import struct
import urllib.parse
from collections.abc import Callable
from typing import Any

from review.support_2.deployment import HOST
from review.support_2.standins import (
    PlatformStoreStandIn,
    PlatformWorkerStandIn,
    free_port,
)
from trefoilpitch.fleet import RequestLimits
from trefoilpitch.gateway import (
    HttpRequest,
    HttpServer,
    Responder,
    ServerState,
)

_READ_BYTES = 64 * 1024
_PREFIX = "/trefoilpitch/"
_WORKER_PREFIX = "servers/"
_JSON = (b"Content-Type", b"application/json")


class Link:
    """Forwards connections to one worker, unless it is cut.

    Args:
        address: The worker's address.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._target = address
        self.port = free_port()
        self._server: asyncio.Server | None = None
        self._open = asyncio.Event()
        self._open.set()
        self._full: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Accepts connections."""
        self._server = await asyncio.start_server(
            self._forward, HOST, self.port
        )

    def cut(self) -> None:
        """Lets open connections hang, and new ones wait for ever."""
        self._open.clear()
        if self._server is not None:
            self._server.close()
            self._server = None
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((HOST, self.port))
        listening.listen(0)
        # One connection fills the queue; the kernel drops what comes after it.
        first = socket.create_connection((HOST, self.port), 1.0)
        self._full = [listening, first]

    def close(self) -> None:
        """Ends the link and its connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for item in self._full:
            item.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._copy(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _copy(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await source.read(_READ_BYTES):
                await self._open.wait()
                sink.write(data)
                await sink.drain()
            await self._open.wait()
            sink.close()
        except OSError:
            await self._open.wait()
            _reset(sink)
        self._writers.discard(sink)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection, as its other end has been."""
    connected = writer.get_extra_info("socket")
    if connected is not None and not writer.transport.is_closing():
        linger = struct.pack("ii", 1, 0)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class LinkedView:
    """The store as one machine sees it, with that machine's links.

    Args:
        store: The store.
    """

    def __init__(self, store: PlatformStoreStandIn) -> None:
        self._store = store
        self._links: dict[tuple[str, int], Link] = {}
        self._is_cut = False
        self._server = HttpServer(
            ServerState(
                handler=self._handle,
                limits=RequestLimits,
                now_ms=lambda: 0,
            )
        )
        self.port = 0

    async def start(self) -> None:
        """Listens for the machine."""
        self._server.__enter__()
        self.port = await self._server.listen(HOST, 0)

    def cut(self) -> None:
        """Cuts the machine's links to all workers."""
        self._is_cut = True
        for link in self._links.values():
            link.cut()

    def follow(self, worker: PlatformWorkerStandIn) -> None:
        """Lets a worker's link refuse connections once the worker has ended.

        A link that is cut hangs whatever becomes of the worker.
        """
        stop = worker.stop

        def stop_both() -> None:
            link = self._links.get((HOST, worker.port))
            if link is not None and not self._is_cut:
                link.close()
            stop()

        worker.stop = stop_both

    def close(self) -> None:
        """Ends the view and its links."""
        self._server.__exit__(None, None, None)
        for link in self._links.values():
            link.close()

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        url = urllib.parse.urlsplit(request.target.decode())
        name, _, argument = url.path.removeprefix(_PREFIX).partition("/")
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        body = json.loads(request.body or b"{}")
        serve: Callable[..., Any] = self._store._serve
        status, result = await serve(name, argument, query, body)
        for row in result.get("items", ()), result.get("events", ()):
            for item in row:
                await self._rewrite(item)
        era = self._store._era_header()
        await responder.respond(
            status, [_JSON, era], json.dumps(result).encode()
        )

    async def _rewrite(self, item: dict[str, Any]) -> None:
        """Replaces a worker's address by that of the machine's link."""
        key = item.get("key", "")
        if not key.startswith(_WORKER_PREFIX) or item.get("deleted"):
            return
        entry = json.loads(base64.b64decode(item["value"]))
        host, _, port = entry["address"].rpartition(":")
        address = host, int(port)
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = Link(address)
            if self._is_cut:
                link.cut()
            else:
                await link.start()
        entry["address"] = f"{HOST}:{link.port}"
        item["value"] = base64.b64encode(json.dumps(entry).encode()).decode()

"""An upstream whose responses never end, and the ways in which they do not."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import re
from types import TracebackType
from typing import Self

from trefoilpitch.retries import FailureKind

_LOOPBACK = "127.0.0.1"
_ID = re.compile(rb"(?i)attempt-id: (\S+)")
_BLOCK_BYTES = 32 * 1024
_ID_FIELD = b"X-Trefoilpitch-Request-Attempt-Id: %s\r\n"
_SEAL_FIELD = b"X-Trefoilpitch-Response-Seal: seal-endless\r\n"
_OK = b"HTTP/1.1 200 OK\r\n" + _ID_FIELD + _SEAL_FIELD
_ERROR = b"HTTP/1.1 500 Error\r\n" + _ID_FIELD + _SEAL_FIELD
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_UNFRAMED = _OK + b"Connection: close\r\n\r\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndlessResponse:
    """A response that consists of a start and a repeated part."""

    name: str
    # May contain one %s for the ID of the request attempt.
    start: bytes
    repeated: bytes
    # How an attempt that receives it fails.
    kind: FailureKind = FailureKind.MALFORMED_RESPONSE

    def first_bytes(self, request_id: bytes) -> bytes:
        """Returns the start for a request."""
        return self.start.replace(b"%s", request_id)


ENDLESS_HEADS = (
    EndlessResponse(name="status line", start=b"", repeated=b"HTTP"),
    EndlessResponse(name="zero bytes", start=b"", repeated=b"\0"),
    EndlessResponse(name="empty lines", start=b"", repeated=b"\r\n"),
    EndlessResponse(name="header lines", start=_OK, repeated=b"X-A: b\r\n"),
    EndlessResponse(name="header value", start=_OK + b"X-A: ", repeated=b"b"),
    EndlessResponse(
        name="informational responses",
        start=b"",
        repeated=b"HTTP/1.1 103 Early Hints\r\n\r\n",
    ),
)
ENDLESS_BODIES = (
    EndlessResponse(
        name="declared length",
        start=_OK + b"Content-Length: 1000000000000000\r\n\r\n",
        repeated=b"x",
    ),
    EndlessResponse(
        name="chunks", start=_CHUNKED, repeated=_chunk(b"x" * 1_000)
    ),
    EndlessResponse(name="no framing", start=_UNFRAMED, repeated=b"x"),
    EndlessResponse(
        name="server error",
        start=_ERROR + b"Connection: close\r\n\r\n",
        repeated=b"x",
    ),
    EndlessResponse(
        name="chunk extension", start=_CHUNKED + b"1;", repeated=b"x"
    ),
    EndlessResponse(
        name="chunk extensions",
        start=_CHUNKED,
        repeated=b"1;" + b"x" * 1_000 + b"\r\na\r\n",
    ),
    EndlessResponse(
        name="trailers", start=_CHUNKED + b"0\r\n", repeated=b"X-A: b\r\n"
    ),
)
ENDLESS_STREAMS = (
    EndlessResponse(
        name="event", start=_UNFRAMED + b"id: 1\ndata: ", repeated=b"x"
    ),
    EndlessResponse(
        name="event in tiny chunks",
        start=_CHUNKED,
        repeated=_chunk(b"x" * 10),
    ),
    EndlessResponse(
        name="lines of one event",
        start=_UNFRAMED + b"id: 1\n",
        repeated=b"data: x\n",
    ),
    EndlessResponse(
        name="comments", start=_UNFRAMED, repeated=b": keep-alive\n\n"
    ),
    EndlessResponse(name="line ends", start=_UNFRAMED, repeated=b"\n"),
)


class EndlessWorker:
    """Answers each request with a response that never ends.

    Args:
        worker_id: ID with which it registers.
        response: What it sends until the connection is closed.
    """

    def __init__(self, worker_id: str, response: EndlessResponse) -> None:
        self.worker_id = worker_id
        self.port = 0
        # Number of requests received, and of connections still open.
        self.requests = 0
        self.open = 0
        # Bytes that have been passed to the operating system in responses.
        self.sent = 0
        self._response = response
        self._block = response.repeated * (
            _BLOCK_BYTES // len(response.repeated)
        )
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, _LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        assert self._server is not None
        self._server.close()

    def entry(self, service: str) -> dict[str, object]:
        """Returns its entry in the platform's store."""
        return {
            "service": service,
            "address": f"{_LOOPBACK}:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open += 1
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._respond(reader, writer)
        finally:
            self.open -= 1
            writer.close()

    async def _respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        found = _ID.search(head)
        block = self._response.first_bytes(found[1] if found else b"id-1")
        for number in itertools.count(1):
            writer.write(block)
            await writer.drain()
            self.sent += len(block)
            block = self.block(number)
            if not block or writer.is_closing():
                return
            # `drain` does not yield while the buffer has room.
            await asyncio.sleep(0)

    def block(self, number: int) -> bytes:
        """Returns a block that follows the start; empty at the end.

        Args:
            number: Its number, from 1.
        """
        return self._block


class NumberedEvents(EndlessWorker):
    """Answers each request with a stream of large, well-formed events.

    Args:
        worker_id: ID with which it registers.
        events: Number of events; None for no end.
    """

    def __init__(self, worker_id: str, events: int | None = None) -> None:
        response = EndlessResponse(
            name="numbered events", start=_UNFRAMED, repeated=b"x"
        )
        super().__init__(worker_id, response)
        self._events = events

    def block(self, number: int) -> bytes:
        """Returns an event; empty after the last one."""
        if self._events is not None and number > self._events:
            return b""
        return b"id: %d\ndata: %s\n\n" % (number, self._block)

"""A small HTTP/1.1 server and client for the stand-ins of the review."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

LOOPBACK = "127.0.0.1"
_MAX_HEAD_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class Message:
    """A request or a response that has been read completely."""

    # The first line, without its end.
    line: str
    # By lower-case name.
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.line.split(" ")[1])

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.line.split(" ")[1]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """A response to be sent."""

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


# Returns the response; None closes the connection without one.
Handler = Callable[[Message], Awaitable[Reply | None]]


def encode(line: str, headers: dict[str, str], body: bytes) -> bytes:
    """Returns a message with a Content-Length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [line, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads the head of a message.

    Raises:
        ConnectionError: If the connection ends before the end of the head.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("the connection ended") from error
    line, *rest = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers: dict[str, str] = {}
    for field in rest:
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    return line, headers


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a message whose body has a length, chunks, or no bytes.

    Raises:
        ConnectionError: If the connection ends before the end of the message.
    """
    line, headers = await read_head(reader)
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(
                int(headers.get("content-length", "0"))
            )
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("the message was cut off") from error
    return Message(line=line, headers=headers, body=body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"0", 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


async def serve(handler: Handler, port: int = 0) -> asyncio.Server:
    """Starts a server on loopback."""

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_message(reader)
                reply = await handler(request)
                if reply is None:
                    break
                line = f"HTTP/1.1 {reply.status} -"
                writer.write(encode(line, reply.headers, reply.body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(
        on_connection, LOOPBACK, port, limit=_MAX_HEAD_BYTES, backlog=512
    )


def port_of(server: asyncio.Server) -> int:
    """Returns the port of a server."""
    return int(server.sockets[0].getsockname()[1])


async def exchange(
    port: int,
    line: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 30.0,
) -> Message:
    """Sends a request on a new connection and returns the response.

    Raises:
        OSError: If there is no complete response.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(
            LOOPBACK, port, limit=_MAX_HEAD_BYTES
        )
        try:
            writer.write(encode(line, headers, body))
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()

"""Clients that do not behave as HTTP clients should."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Self

from trefoilpitch.gateway import ListenAddress
from trefoilpitch.platform.tests.memory.daemon import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
)

# How often a client whose connection is closed tries again.
_ROUNDS = 3
# How long a crowd sends before the checks; its connections then stay open.
_SENDING_S = 6.0
_MB = 1_024 * 1_024
_SMALL_PIECE_BYTES = 512
_CHUNK_BYTES = 1_024
_OVER_LIMIT_BYTES = 64 * _MB
_TINY_CHUNKS = 20_000
_SLOW_PAUSE_S = 0.2
_PIPELINED_BYTES = 2 * _MB
_ECHOED_BYTES = 2 * _MB
# Room for the request line and the fields of every request.
_USUAL_HEAD_BYTES = 512
# The shortest names and values of which each is an object of its own.
_SHORT_FIELDS = ["ab:12"] * (
    (MAX_HEADER_BYTES - _USUAL_HEAD_BYTES) // len("ab: 12\r\n")
)

_request_numbers = itertools.count()


class Client:
    """One raw connection, and where it sends its requests."""

    def __init__(
        self,
        target: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._target = target
        self.reader = reader
        self._writer = writer

    def head(self, *fields: str, method: str = "POST") -> bytes:
        """Returns the head of a legal request with additional fields."""
        lines = (
            f"{method} {self._target} HTTP/1.1",
            "Host: api.example",
            f"X-Trefoilpitch-Request-Attempt-Id: m-{next(_request_numbers)}",
            "X-Trefoilpitch-Deadline-Ms: 8000",
            "Api-Key: key-a",
            *fields,
        )
        return "\r\n".join((*lines, "", "")).encode()

    async def send(self, data: bytes) -> None:
        """Sends data; waits while the daemon does not read.

        The store and the upstream of the test get a turn in any case.
        """
        self._writer.write(data)
        await self._writer.drain()
        await asyncio.sleep(0)

    def close(self) -> None:
        self._writer.transport.abort()


Behaviour = Callable[[Client], Awaitable[None]]


class Crowd:
    """Clients that all behave in one way; closes them when it exits.

    Args:
        address: Where they connect.
        target: The target of their requests.
    """

    def __init__(self, address: ListenAddress, target: str) -> None:
        self._address = address
        self._target = target
        self._clients: list[Client] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._clients:
            client.close()

    async def send(self, count: int, behaviour: Behaviour) -> None:
        """Lets clients send until all have ended, or for some seconds."""
        self._tasks = [
            asyncio.create_task(self._run(behaviour)) for _ in range(count)
        ]
        await asyncio.wait(self._tasks, timeout=_SENDING_S)

    async def _run(self, behaviour: Behaviour) -> None:
        for _ in range(_ROUNDS):
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection(
                    self._address.host, self._address.port
                )
                client = Client(self._target, reader, writer)
                self._clients.append(client)
                await behaviour(client)
                await _wait_until_closed(reader)


async def _wait_until_closed(reader: asyncio.StreamReader) -> None:
    while await reader.read(_MB):
        pass


async def _stay() -> None:
    """Keeps the connection open without reading from it."""
    await asyncio.Event().wait()


async def body_in_one_piece(client: Client) -> None:
    """Sends all but the last byte of the largest body at once."""
    head = client.head(f"Content-Length: {MAX_BODY_BYTES}")
    await client.send(head + b"x" * (MAX_BODY_BYTES - 1))


async def body_in_small_pieces(client: Client) -> None:
    """Sends all but the last byte of the largest body in small pieces."""
    await client.send(client.head(f"Content-Length: {MAX_BODY_BYTES}"))
    piece = b"x" * _SMALL_PIECE_BYTES
    for _ in range(MAX_BODY_BYTES // _SMALL_PIECE_BYTES - 1):
        await client.send(piece)
    await client.send(piece[:-1])


async def body_in_chunks(client: Client) -> None:
    """Sends the largest body in chunks, without the last one."""
    await client.send(client.head("Transfer-Encoding: chunked"))
    chunk = b"%x\r\n%s\r\n" % (_CHUNK_BYTES, b"x" * _CHUNK_BYTES)
    for _ in range(MAX_BODY_BYTES // _CHUNK_BYTES - 1):
        await client.send(chunk)


async def declared_body_over_limit(client: Client) -> None:
    """Declares and sends a body of many times the permitted size."""
    await client.send(client.head(f"Content-Length: {_OVER_LIMIT_BYTES}"))
    for _ in range(_OVER_LIMIT_BYTES // _MB):
        await client.send(b"x" * _MB)


async def chunked_body_over_limit(client: Client) -> None:
    """Sends a body of many times the permitted size in large chunks."""
    await client.send(client.head("Transfer-Encoding: chunked"))
    for _ in range(_OVER_LIMIT_BYTES // _MB):
        await client.send(b"%x\r\n%s\r\n" % (_MB, b"x" * _MB))


async def many_short_fields(client: Client) -> None:
    """Sends a legal head of very many fields, and a part of its body."""
    head = client.head(*_SHORT_FIELDS, "Content-Length: 10")
    await client.send(head + b"x")


async def many_short_fields_pipelined(client: Client) -> None:
    """Sends many such requests in a row and reads no response."""
    request = client.head(*_SHORT_FIELDS, method="GET")
    await client.send(request * (_PIPELINED_BYTES // len(request)))
    await _stay()


async def many_tiny_chunks(client: Client) -> None:
    """Sends a body in chunks of two bytes, without the last one."""
    await client.send(client.head("Transfer-Encoding: chunked"))
    await client.send(b"2\r\nxx\r\n" * _TINY_CHUNKS)


async def pipelined_without_reading(client: Client) -> None:
    """Sends many small requests in a row and reads no response."""
    request = client.head(method="GET")
    await client.send(request * (_PIPELINED_BYTES // len(request)))
    await _stay()


async def large_response_unread(client: Client) -> None:
    """Sends a body that the upstream echoes, and reads no response."""
    head = client.head(f"Content-Length: {_ECHOED_BYTES}")
    await client.send(head + b"x" * _ECHOED_BYTES)
    await _stay()


async def large_response_read_slowly(client: Client) -> None:
    """Sends a body that the upstream echoes, and reads a little at a time."""
    head = client.head(f"Content-Length: {_ECHOED_BYTES}")
    await client.send(head + b"x" * _ECHOED_BYTES)
    while await client.reader.read(1_000):
        await asyncio.sleep(_SLOW_PAUSE_S)


async def silence(client: Client) -> None:
    """Sends nothing."""


async def half_a_head(client: Client) -> None:
    """Stops inside the head."""
    await client.send(client.head()[:-20])


async def slow_head(client: Client) -> None:
    """Sends a head byte by byte."""
    for number in client.head():
        await client.send(bytes([number]))
        await asyncio.sleep(_SLOW_PAUSE_S)


async def slow_body(client: Client) -> None:
    """Sends a body of the largest size byte by byte."""
    await client.send(client.head(f"Content-Length: {MAX_BODY_BYTES}"))
    while True:
        await client.send(b"x")
        await asyncio.sleep(_SLOW_PAUSE_S)

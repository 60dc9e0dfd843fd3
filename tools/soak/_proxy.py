"""A loopback TCP proxy that injects faults into its connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from types import TracebackType
from typing import Self

_HOST = "127.0.0.1"
_CHUNK_BYTES = 64 * 1024
_DELAY_S = 0.15
_POLL_INTERVAL_S = 0.02


class LinkFault(enum.Enum):
    """A fault of all connections of a link."""

    # Each chunk is delayed.
    DELAYED = "delayed"
    # Open connections are reset, and new ones when they are accepted.
    RESET = "reset"
    # Requests are forwarded, responses are held back.
    ONE_WAY = "one_way"
    # Data is held back in both directions, without closing connections.
    SILENT = "silent"


class FaultProxy:
    """Forwards connections to a port on loopback.

    Data that a fault holds back is forwarded once the fault has ended.

    Args:
        target_port: The port that connections are forwarded to.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = 0
        self._fault: LinkFault | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._accept, _HOST, 0)
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
        self._reset_all()
        for task in self._tasks:
            task.cancel()

    def set_fault(self, fault: LinkFault | None) -> None:
        """Starts a fault or, with None, ends the current one."""
        self._fault = fault
        if fault is LinkFault.RESET:
            self._reset_all()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._fault is LinkFault.RESET:
            writer.transport.abort()
            return
        await self._wait_while_held(LinkFault.SILENT)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                _HOST, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        request_faults = (LinkFault.SILENT,)
        response_faults = (LinkFault.SILENT, LinkFault.ONE_WAY)
        await asyncio.gather(
            self._pump(reader, target_writer, request_faults),
            self._pump(target_reader, writer, response_faults),
        )
        self._writers -= {writer, target_writer}

    async def _wait_while_held(self, *blocking_faults: LinkFault) -> None:
        while self._fault in blocking_faults:
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_faults: tuple[LinkFault, ...],
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                await self._wait_while_held(*blocking_faults)
                if self._fault is LinkFault.DELAYED:
                    await asyncio.sleep(_DELAY_S)
                writer.write(data)
                await writer.drain()
            await self._wait_while_held(*blocking_faults)
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()
            # The reader's peer sends nothing more after EOF, so the connection
            # to the other peer is closed as well.
            writer.close()
        except OSError:
            # A reset on one side is propagated to the other.
            writer.transport.abort()

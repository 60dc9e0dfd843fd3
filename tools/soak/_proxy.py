"""A loopback proxy that spoils the connections through it."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from types import TracebackType
from typing import Self

_HOST = "127.0.0.1"
_CHUNK_BYTES = 64 * 1024
_DELAY_S = 0.15
_POLL_S = 0.02


class LinkFault(enum.Enum):
    """What happens to the connections of a link."""

    # Each part arrives later.
    DELAYED = "delayed"
    # Connections are reset, also new ones.
    RESET = "reset"
    # Requests pass, answers are held back.
    ONE_WAY = "one_way"
    # Nothing passes, and nothing says so.
    SILENT = "silent"


class FaultProxy:
    """Forwards connections to an address on loopback.

    Bytes that a fault holds back arrive once it has ended.

    Args:
        target_port: Where connections go.
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
        """Begins or, with None, ends a fault."""
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
        await self._pass(LinkFault.SILENT)
        try:
            there, back = await asyncio.open_connection(_HOST, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back}
        both = (LinkFault.SILENT,)
        answers = (LinkFault.SILENT, LinkFault.ONE_WAY)
        await asyncio.gather(
            self._pump(reader, back, both), self._pump(there, writer, answers)
        )
        self._writers -= {writer, back}

    async def _pass(self, *holding: LinkFault) -> None:
        while self._fault in holding:
            await asyncio.sleep(_POLL_S)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        holding: tuple[LinkFault, ...],
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                await self._pass(*holding)
                if self._fault is LinkFault.DELAYED:
                    await asyncio.sleep(_DELAY_S)
                writer.write(data)
                await writer.drain()
            await self._pass(*holding)
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()
            # A peer that has ended its side sends nothing more.
            writer.close()
        except OSError:
            # A reset on one side is passed on to the other.
            writer.transport.abort()

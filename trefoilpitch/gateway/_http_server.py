"""HTTP/1.1 server for callers and peers."""

from __future__ import annotations

import asyncio
import socket
from types import TracebackType
from typing import Self

from trefoilpitch.gateway._caller_connection import CallerConnection
from trefoilpitch.gateway._server_state import (
    Handler,
    HttpRequest,
    Responder,
    ServerState,
)

__all__ = ["Handler", "HttpRequest", "HttpServer", "Responder", "ServerState"]

# Connections that wait to be accepted, and those accepted in one turn of the
# event loop, so that no more descriptors are open than the budget permits.
_BACKLOG = 512
_ACCEPTED_PER_TURN = 16


def _bind(host: str, port: int) -> socket.socket:
    """Returns a socket that is bound to an IP address."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, port))
    except BaseException:
        listening.close()
        raise
    return listening


class HttpServer:
    """A listening socket; closes all connections when the context exits."""

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._server: asyncio.Server | None = None

    @property
    def state(self) -> ServerState:
        """State that all connections share."""
        return self._state

    @property
    def finished(self) -> bool:
        """Whether all requests are handled and their responses are sent."""
        unsent = any(c.unsent for c in self._state.connections)
        return not (self._state.active or unsent)

    async def listen(self, host: str, port: int) -> int:
        """Starts to accept connections and returns the bound port.

        Raises:
            OSError: If the address is in use or not available.
        """
        loop = asyncio.get_running_loop()
        listening = _bind(host, port)
        try:
            self._server = await loop.create_server(
                lambda: CallerConnection(self._state),
                sock=listening,
                backlog=_ACCEPTED_PER_TURN,
            )
            # The loop takes the backlog for the connections to accept in a row.
            listening.listen(_BACKLOG)
        except BaseException:
            listening.close()
            raise
        bound: tuple[str, int] = listening.getsockname()
        return bound[1]

    def stop_listening(self) -> None:
        """Stops accepting connections; open ones remain."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Closes all connections without a request in progress."""
        for connection in list(self._state.connections):
            connection.close_if_idle()

    def refuse_incomplete(self) -> None:
        """Refuses all requests that have not arrived completely."""
        for connection in list(self._state.connections):
            connection.refuse_if_incomplete()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop_listening()
        for connection in list(self._state.connections):
            connection.abort()

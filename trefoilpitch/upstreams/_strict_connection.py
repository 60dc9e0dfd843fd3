"""A connection that takes replies more strictly than http.client.

http.client takes headers that the end of the connection cuts off for whole
ones, so that a cut reply may pass for a whole one with fewer headers. A reply
whose announced length is too short looks whole as well, and what is left over
would be taken for the start of the next reply.
"""

from __future__ import annotations

import contextlib
import http.client
import io
import socket
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection


class _SocketReader(io.RawIOBase):
    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self._raw = sock.makefile("rb", buffering=0)
        self.at_eof = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        return 0 if self.at_eof else self._raw.readinto(buffer)

    def close(self) -> None:
        self._raw.close()
        super().close()


class _ResponseReader(io.BufferedReader):
    """Refuses cut lines, and remembers what was unread when it was closed."""

    def __init__(self, sock: socket.socket) -> None:
        self._source = _SocketReader(sock)
        self._excess = False
        super().__init__(self._source)

    @property
    def excess(self) -> bool:
        if not self.closed:
            self._source.at_eof = True
            self._excess = bool(self.peek(1))
        return self._excess

    def readline(self, size: int | None = -1, /) -> bytes:
        line = super().readline(size)
        too_long = size is not None and 0 <= size <= len(line)
        if not line.endswith(b"\n") and not too_long:
            raise http.client.IncompleteRead(line)
        return line

    def close(self) -> None:
        if not self.closed:
            self._excess = self.excess
        super().close()


class StrictConnection(HTTPConnection):
    """A connection of urllib3 that can tell what followed the last reply.

    Args:
        host: IP number.
        port: TCP port.
    """

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self._reader: _ResponseReader | None = None
        self._raw_response: http.client.HTTPResponse | None = None

    def response_class(  # type: ignore[override]
        self, sock: socket.socket, *args: Any, **kwargs: Any
    ) -> http.client.HTTPResponse:
        """Makes the object that reads the next reply."""
        response = http.client.HTTPResponse(sock, *args, **kwargs)
        response.fp.close()
        self._reader = _ResponseReader(sock)
        response.fp = self._reader
        self._raw_response = response
        return response

    def getresponse(  # type: ignore[override]
        self,
    ) -> urllib3.HTTPResponse:
        """Reads the headers of the next reply.

        Raises:
            HeaderParsingError: If a line of the headers is malformed.
        """
        response = super().getresponse()
        raw = self._raw_response
        if raw is not None and raw.msg.defects:
            raise urllib3.exceptions.HeaderParsingError(raw.msg.defects, None)
        return response

    def dispose(self) -> None:
        """Ends the connection, also while something still holds its reply.

        Closing alone leaves the socket open until the reply's reader is
        closed or collected.
        """
        sock: socket.socket | None = self.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.close()
        if self._reader is not None:
            self._reader.close()

    def has_excess(self) -> bool:
        """Whether bytes followed the end of the last reply so far."""
        if self._reader is not None and self._reader.excess:
            return True
        sock: socket.socket | None = self.sock
        if sock is None:
            return False
        with contextlib.suppress(OSError):
            return bool(_peek(sock))
        return False


def _peek(sock: socket.socket) -> bytes:
    timeout_s = sock.gettimeout()
    sock.setblocking(False)
    try:
        return sock.recv(1, socket.MSG_PEEK)
    finally:
        sock.settimeout(timeout_s)

"""An HTTP connection that parses responses more strictly than http.client.

http.client accepts headers that are truncated by the end of the connection, so
a truncated response can pass for a complete one with fewer headers. It also
accepts a response that is longer than its Content-Length, and the excess would
be read as the start of the next response.
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
    """Reads a socket; reports the end of the stream while ``at_eof`` is set."""

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
    """Rejects truncated lines and detects unread bytes, also after closing."""

    def __init__(self, sock: socket.socket) -> None:
        self._source = _SocketReader(sock)
        self._excess = False
        super().__init__(self._source)

    @property
    def excess(self) -> bool:
        """Whether bytes were buffered but not read."""
        if not self.closed:
            # Limits peek to the buffer; it would otherwise read the socket.
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
    """A urllib3 connection that detects bytes after the last response.

    Args:
        host: IP address.
        port: TCP port.
        **options: Options of urllib3's connection.
    """

    def __init__(
        self, host: str, port: int | None = None, **options: Any
    ) -> None:
        super().__init__(host, port, **options)
        self._reader: _ResponseReader | None = None
        self._raw_response: http.client.HTTPResponse | None = None

    def response_class(  # type: ignore[override]
        self, sock: socket.socket, *args: Any, **kwargs: Any
    ) -> http.client.HTTPResponse:
        """Creates the object that reads the next response."""
        response = http.client.HTTPResponse(sock, *args, **kwargs)
        response.fp.close()
        self._reader = _ResponseReader(sock)
        response.fp = self._reader
        self._raw_response = response
        return response

    def getresponse(  # type: ignore[override]
        self,
    ) -> urllib3.HTTPResponse:
        """Reads the headers of the next response.

        Raises:
            HeaderParsingError: If a header line is malformed.
        """
        response = super().getresponse()
        raw = self._raw_response
        if raw is not None and raw.msg.defects:
            raise urllib3.exceptions.HeaderParsingError(raw.msg.defects, None)
        return response

    def dispose(self) -> None:
        """Closes the connection, even while its response is referenced.

        ``close`` alone leaves the socket open until the response's reader is
        closed or garbage-collected.
        """
        sock: socket.socket | None = self.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.close()
        if self._reader is not None:
            self._reader.close()

    def has_excess(self) -> bool:
        """Whether bytes have arrived after the end of the last response."""
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

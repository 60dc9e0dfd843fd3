"""A minimal HTTP client that polls one small resource of an upstream.

A daemon fetches the load reports of many upstreams twice a second each, and a
general HTTP client spends most of that time on parsing headers that nobody
reads. This client supports only simple responses: a status line, well-formed
header fields and a body delimited by Content-Length. It rejects any other
response as unsupported, and the caller falls back to the general client.
"""

from __future__ import annotations

import dataclasses
import re
import socket
import threading

from returns.result import Failure, Result, Success

from trefoilpitch.clock import Clock
from trefoilpitch.retries import Execution
from trefoilpitch.upstreams._connection_pool import MAX_IDLE_MS
from trefoilpitch.upstreams._exceptions import (
    ConnectError,
    DeadlineExceededError,
    IncompleteReplyError,
    ReplyTooLargeError,
    UpstreamError,
)

_MAX_HEAD_BYTES = 16 << 10
_READ_BYTES = 1 << 16
_MS_PER_S = 1_000
_HEAD_END = b"\r\n\r\n"
_BODILESS = frozenset({204, 304})
_FIRST_FINAL_STATUS = 200
_STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-5][0-9]{2})(?: [^\r\n]*)?")
_FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\r\n\0]*?)[ \t]*")
_LENGTH = re.compile(rb"[0-9]{1,15}")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FastGetResponse:
    """A complete response."""

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _ResponseHead:
    status: int
    # Content-Length, in bytes.
    length: int
    # Whether the upstream announced that it closes the connection.
    closes_connection: bool


class _UnsupportedResponseError(Exception):
    """The response is not simple or not valid; the general client decides."""


class _NoResponseError(Exception):
    """The connection ended before the first byte of the response."""


class FastGetClient:
    """Fetches one path of one upstream; safe to use from many threads.

    Args:
        upstream: The upstream's name.
        address: IP address and port.
        path: Path of the resource.
        clock: Measures deadlines.
        connect_ms: Connect timeout, in milliseconds.
        max_bytes: Limit on the body's size.
    """

    def __init__(
        self,
        *,
        upstream: str,
        address: str,
        path: str,
        clock: Clock,
        connect_ms: int,
        max_bytes: int,
    ) -> None:
        self._upstream = upstream
        host, _, port = address.rpartition(":")
        self._target = (host.strip("[]"), int(port))
        self._clock = clock
        self._connect_ms = connect_ms
        self._max_bytes = max_bytes
        self._request = (
            f"GET {path} HTTP/1.1\r\nHost: {address}\r\n"
            "Accept-Encoding: identity\r\n\r\n"
        ).encode()
        self._lock = threading.Lock()
        # The idle connection and the monotonic time since which it is idle.
        self._idle: tuple[socket.socket, int] | None = None
        self._closed = False

    def fetch(
        self, deadline_ms: int
    ) -> Result[FastGetResponse, UpstreamError] | None:
        """Fetches the resource.

        Args:
            deadline_ms: Monotonic time by which the response must be
                complete.

        Returns:
            The response or the error; None if the response is not simple.
        """
        try:
            reused = self._take_idle()
            if reused is not None:
                try:
                    return Success(self._exchange(reused, deadline_ms))
                except _NoResponseError:
                    # The upstream has closed the idle connection; a GET is
                    # safe to send again on a new one.
                    pass
            return self._fetch_on_new_connection(deadline_ms)
        except _UnsupportedResponseError:
            return None
        except UpstreamError as error:
            return Failure(error)

    def close(self) -> None:
        """Closes the idle connection; one in use closes after its response."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, None
        if idle is not None:
            idle[0].close()

    def _fetch_on_new_connection(
        self, deadline_ms: int
    ) -> Result[FastGetResponse, UpstreamError]:
        try:
            connection = self._connect(deadline_ms)
        except OSError as error:
            detail = f"cannot connect: {error!r}"
            return Failure(ConnectError(self._upstream, detail))
        try:
            return Success(self._exchange(connection, deadline_ms))
        except _NoResponseError:
            detail = "connection closed before the response"
            return Failure(IncompleteReplyError(self._upstream, detail))

    def _connect(self, deadline_ms: int) -> socket.socket:
        remaining_s = self._remaining_s(deadline_ms, is_sent=False)
        timeout_s = min(self._connect_ms / _MS_PER_S, remaining_s)
        connection = socket.create_connection(self._target, timeout_s)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _exchange(
        self, connection: socket.socket, deadline_ms: int
    ) -> FastGetResponse:
        """Sends the request and reads the response.

        The connection becomes the idle one, or is closed.
        """
        is_reusable = False
        try:
            remaining_s = self._remaining_s(deadline_ms, is_sent=False)
            connection.settimeout(remaining_s)
            connection.sendall(self._request)
            head, body = self._read(connection, deadline_ms)
            is_reusable = not head.closes_connection and self._put_idle(
                connection
            )
            return FastGetResponse(status=head.status, body=body)
        except TimeoutError as error:
            raise self._deadline_error(is_sent=True) from error
        except (BrokenPipeError, ConnectionResetError) as error:
            raise _NoResponseError from error
        except OSError as error:
            detail = f"response truncated: {error!r}"
            raise IncompleteReplyError(self._upstream, detail) from error
        finally:
            if not is_reusable:
                connection.close()

    def _read(
        self, connection: socket.socket, deadline_ms: int
    ) -> tuple[_ResponseHead, bytes]:
        data = b""
        while (end := data.find(_HEAD_END)) < 0:
            if len(data) > _MAX_HEAD_BYTES:
                raise _UnsupportedResponseError
            data += self._receive(connection, deadline_ms, has_begun=bool(data))
        head = _parse_head(data[:end])
        if head.length > self._max_bytes:
            detail = f"response body exceeds {self._max_bytes} bytes"
            raise ReplyTooLargeError(self._upstream, detail)
        body = data[end + len(_HEAD_END) :]
        while len(body) < head.length:
            body += self._receive(connection, deadline_ms, has_begun=True)
        if len(body) > head.length:
            detail = "response is followed by bytes beyond its Content-Length"
            raise IncompleteReplyError(self._upstream, detail)
        return head, body

    def _receive(
        self, connection: socket.socket, deadline_ms: int, *, has_begun: bool
    ) -> bytes:
        connection.settimeout(self._remaining_s(deadline_ms, is_sent=True))
        try:
            data = connection.recv(_READ_BYTES)
        except ConnectionResetError:
            data = b""
        if data:
            return data
        if not has_begun:
            raise _NoResponseError
        raise IncompleteReplyError(self._upstream, "response truncated")

    def _remaining_s(self, deadline_ms: int, *, is_sent: bool) -> float:
        remaining_ms = deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            raise self._deadline_error(is_sent=is_sent)
        return remaining_ms / _MS_PER_S

    def _deadline_error(self, *, is_sent: bool) -> DeadlineExceededError:
        execution = Execution.UNKNOWN if is_sent else Execution.NOT_RUN
        detail = "deadline passed before the response was complete"
        return DeadlineExceededError(
            self._upstream, detail, execution=execution
        )

    def _take_idle(self) -> socket.socket | None:
        with self._lock:
            idle, self._idle = self._idle, None
        if idle is None:
            return None
        connection, since_ms = idle
        idle_ms = self._clock.now_ms() - since_ms
        if idle_ms <= MAX_IDLE_MS and _is_idle(connection):
            return connection
        connection.close()
        return None

    def _put_idle(self, connection: socket.socket) -> bool:
        """Makes a connection the idle one, unless there is one already."""
        with self._lock:
            if self._closed or self._idle is not None:
                return False
            self._idle = (connection, self._clock.now_ms())
            return True


def _is_idle(connection: socket.socket) -> bool:
    """Returns whether the connection is open and has no unread bytes."""
    connection.settimeout(0)
    try:
        connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _parse_head(data: bytes) -> _ResponseHead:
    lines = data.split(b"\r\n")
    status_line = _STATUS_LINE.fullmatch(lines[0])
    if status_line is None:
        raise _UnsupportedResponseError
    status = int(status_line[1])
    if status < _FIRST_FINAL_STATUS or status in _BODILESS:
        raise _UnsupportedResponseError
    lengths: list[bytes] = []
    closes_connection = False
    for line in lines[1:]:
        field = _FIELD.fullmatch(line)
        if field is None:
            raise _UnsupportedResponseError
        match field[1].lower():
            case b"content-length":
                lengths.append(field[2])
            case b"transfer-encoding":
                raise _UnsupportedResponseError
            case b"connection":
                closes_connection = field[2].lower() != b"keep-alive"
    if len(lengths) != 1 or not _LENGTH.fullmatch(lengths[0]):
        raise _UnsupportedResponseError
    return _ResponseHead(
        status=status,
        length=int(lengths[0]),
        closes_connection=closes_connection,
    )

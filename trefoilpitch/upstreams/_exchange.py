"""One HTTP request and its response on one connection."""

from __future__ import annotations

import contextlib
import enum
import http.client
import socket
import threading
from collections.abc import Callable, Iterator, Mapping

import urllib3

from trefoilpitch.clock import Clock
from trefoilpitch.retries import Execution
from trefoilpitch.upstreams._deadlines import DeadlineMonitor
from trefoilpitch.upstreams._exceptions import (
    CancelledError,
    ConnectError,
    DeadlineExceededError,
    IncompleteReplyError,
    UpstreamError,
)
from trefoilpitch.upstreams._http_request import HttpRequest
from trefoilpitch.upstreams._strict_connection import StrictConnection
from trefoilpitch.upstreams._types import Timeouts

_READ_BYTES = 1 << 16
_MS_PER_S = 1000
_TRANSPORT_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    # http.client and its header parser raise these for some malformed
    # responses.
    ValueError,
    AttributeError,
)


class _AbortReason(enum.Enum):
    DEADLINE = "deadline"
    CANCELLED = "cancelled"


class Exchange:
    """One request, from connecting to the end of its response.

    One thread sends the request and reads the response; any thread may cancel.

    Args:
        upstream: The upstream's name.
        request: The request to send.
        timeouts: Time limits for the phases.
        clock: Measures deadlines.
        deadline_monitor: Aborts the exchange when it is overdue.
        release: Called with the connection and whether it can be reused.
    """

    def __init__(
        self,
        *,
        upstream: str,
        request: HttpRequest,
        timeouts: Timeouts,
        clock: Clock,
        deadline_monitor: DeadlineMonitor,
        release: Callable[[StrictConnection, bool], None],
    ) -> None:
        self._upstream = upstream
        self._request = request
        self._timeouts = timeouts
        self._clock = clock
        self._deadline_monitor = deadline_monitor
        self._release = release
        self._lock = threading.Lock()
        self._connection: StrictConnection | None = None
        # Stored separately because the connection drops its reference to the
        # socket early when the upstream announces that it will close.
        self._socket: socket.socket | None = None
        self._raw_response: urllib3.BaseHTTPResponse | None = None
        self._abort_reason: _AbortReason | None = None
        self._is_sent = False
        self._is_complete = False
        self._due_ms: int | None = request.deadline_ms

    @property
    def due_ms(self) -> int | None:
        """Monotonic time by which the current phase must end."""
        return self._due_ms

    @property
    def status(self) -> int:
        """The response's HTTP status."""
        return self._response.status

    @property
    def method(self) -> str:
        """The request's HTTP method."""
        return self._request.method

    @property
    def headers(self) -> Mapping[str, str]:
        """The response's headers; names are case-insensitive."""
        return self._response.headers

    @property
    def _response(self) -> urllib3.BaseHTTPResponse:
        if self._raw_response is None:
            raise RuntimeError("the response headers have not been read")
        return self._raw_response

    def expire(self) -> None:
        """Aborts because the current phase is overdue."""
        self._abort(_AbortReason.DEADLINE)

    def cancel(self) -> None:
        """Aborts at the caller's request; does nothing once ended."""
        self._abort(_AbortReason.CANCELLED)

    def open(self, connection: StrictConnection) -> UpstreamError | None:
        """Connects, sends the request and reads the response headers.

        Args:
            connection: The connection; released by ``close``.

        Returns:
            The error, or None on success.
        """
        self._connection = connection
        failure = self._connect(connection)
        if failure is not None:
            return failure
        try:
            self._send(connection)
            self._raw_response = connection.getresponse()
        except _TRANSPORT_ERRORS as error:
            return self._to_upstream_error(error)
        self._begin_phase(self._timeouts.chunk_gap_ms)
        return None

    def read(self) -> Iterator[bytes]:
        """Yields the body as it is received.

        Raises:
            UpstreamError: If the body is truncated or followed by excess
                bytes, or if the exchange is aborted.
        """
        try:
            for data in self._read_raw():
                self._due_ms = self._phase_end_ms(self._timeouts.chunk_gap_ms)
                yield data
        except _TRANSPORT_ERRORS as error:
            raise self._to_upstream_error(error) from error
        if self._abort_reason is not None:
            raise self._to_upstream_error(None)
        if self._connection is not None and self._connection.has_excess():
            detail = "unexpected bytes follow the end of the response"
            raise IncompleteReplyError(self._upstream, detail)
        self._is_complete = True

    def close(self) -> None:
        """Releases the connection, reusable only after a complete response."""
        with self._lock:
            connection, self._connection = self._connection, None
            self._due_ms = None
            reusable = self._is_complete and self._abort_reason is None
        if connection is not None:
            if self._raw_response is not None and not reusable:
                self._raw_response.close()
            self._release(connection, reusable)

    def _connect(self, connection: StrictConnection) -> UpstreamError | None:
        if connection.is_closed:
            try:
                connection.timeout = self._connect_timeout_s()
                connection.connect()
            except _TRANSPORT_ERRORS as error:
                detail = f"cannot connect: {error!r}"
                return ConnectError(self._upstream, detail)
            connection.timeout = None
            connection.sock.settimeout(None)
        with self._lock:
            self._socket = connection.sock
        if self._clock.now_ms() >= self._request.deadline_ms:
            self.expire()
        return (
            None
            if self._abort_reason is None
            else self._to_upstream_error(None)
        )

    def _connect_timeout_s(self) -> float:
        remaining_ms = self._request.deadline_ms - self._clock.now_ms()
        timeout_ms = min(self._timeouts.connect_ms, remaining_ms)
        return max(timeout_ms, 1) / _MS_PER_S

    def _send(self, connection: StrictConnection) -> None:
        self._begin_phase(self._timeouts.first_byte_ms)
        self._is_sent = True
        # An upstream may refuse a request and close before it has read the
        # whole body; its response is still readable.
        with contextlib.suppress(BrokenPipeError):
            connection.request(
                self._request.method,
                self._request.path,
                body=self._request.body,
                headers=self._request.headers,
                preload_content=False,
                decode_content=False,
            )

    def _read_raw(self) -> Iterator[bytes]:
        response = self._response
        while data := response.read1(_READ_BYTES, decode_content=False):
            yield data

    def _begin_phase(self, phase_ms: int) -> None:
        self._due_ms = self._phase_end_ms(phase_ms)
        self._deadline_monitor.add(self)

    def _phase_end_ms(self, phase_ms: int) -> int:
        phase_end_ms = self._clock.now_ms() + phase_ms
        return min(phase_end_ms, self._request.deadline_ms)

    def _abort(self, reason: _AbortReason) -> None:
        with self._lock:
            if self._due_ms is None or self._abort_reason is not None:
                return
            self._abort_reason = reason
            if self._socket is not None:
                with contextlib.suppress(OSError):
                    self._socket.shutdown(socket.SHUT_RDWR)

    def _to_upstream_error(self, error: Exception | None) -> UpstreamError:
        execution = Execution.UNKNOWN if self._is_sent else Execution.NOT_RUN
        if self._abort_reason is _AbortReason.DEADLINE:
            detail = "timed out before the response was complete"
            return DeadlineExceededError(
                self._upstream, detail, execution=execution
            )
        if self._abort_reason is _AbortReason.CANCELLED:
            detail = "cancelled by the caller"
            return CancelledError(self._upstream, detail, execution=execution)
        detail = f"response truncated or malformed: {error!r}"
        return IncompleteReplyError(self._upstream, detail, execution=execution)

"""One request on one connection."""

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
from trefoilpitch.upstreams._checked_connection import CheckedConnection
from trefoilpitch.upstreams._deadlines import DeadlineWatch
from trefoilpitch.upstreams._exceptions import (
    CancelledError,
    ConnectError,
    DeadlineExceededError,
    IncompleteReplyError,
    UpstreamError,
)
from trefoilpitch.upstreams._http_request import HttpRequest
from trefoilpitch.upstreams._nodes import Timeouts

_READ_BYTES = 1 << 16
_MS_PER_S = 1000
_TRANSPORT_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    # http.client and its header parser let some malformed replies through
    # as errors of these kinds.
    ValueError,
    AttributeError,
)


class _Abort(enum.Enum):
    DEADLINE = "deadline"
    CANCELLED = "cancelled"


class Exchange:
    """One request, from connecting to the end of its reply.

    Only the thread that sends it reads it; any thread may cancel it.

    Args:
        upstream: The upstream's name.
        request: What is sent.
        timeouts: How long each phase may take.
        clock: Measures deadlines.
        watch: Expires the exchange.
        release: Takes the connection back, with whether it can be reused.
    """

    def __init__(
        self,
        *,
        upstream: str,
        request: HttpRequest,
        timeouts: Timeouts,
        clock: Clock,
        watch: DeadlineWatch,
        release: Callable[[CheckedConnection, bool], None],
    ) -> None:
        self._upstream = upstream
        self._request = request
        self._timeouts = timeouts
        self._clock = clock
        self._watch = watch
        self._release = release
        self._lock = threading.Lock()
        self._connection: CheckedConnection | None = None
        # Kept because a connection lets go of its socket early when the
        # upstream announces that it will close.
        self._socket: socket.socket | None = None
        self._response: urllib3.BaseHTTPResponse | None = None
        self._abort: _Abort | None = None
        self._sent = False
        self._complete = False
        self._due_ms: int | None = request.deadline_ms

    @property
    def due_ms(self) -> int | None:
        """Monotonic time by which the current phase must end."""
        return self._due_ms

    @property
    def status(self) -> int:
        """The reply's HTTP status."""
        return self._reply.status

    @property
    def method(self) -> str:
        """The request's HTTP method."""
        return self._request.method

    @property
    def headers(self) -> Mapping[str, str]:
        """The reply's header fields; names compare without case."""
        return self._reply.headers

    @property
    def _reply(self) -> urllib3.BaseHTTPResponse:
        if self._response is None:
            raise RuntimeError("the reply has not begun")
        return self._response

    def expire(self) -> None:
        """Aborts because time ran out."""
        self._abort_with(_Abort.DEADLINE)

    def cancel(self) -> None:
        """Aborts on the caller's wish; does nothing once ended."""
        self._abort_with(_Abort.CANCELLED)

    def open(self, connection: CheckedConnection) -> UpstreamError | None:
        """Connects, sends the request and reads the reply's headers.

        Args:
            connection: The connection, given back by ``close``.

        Returns:
            Why there is no reply, or None if there is.
        """
        self._connection = connection
        failure = self._connect(connection)
        if failure is not None:
            return failure
        try:
            self._send(connection)
            self._response = connection.getresponse()
        except _TRANSPORT_ERRORS as error:
            return self._failure(error)
        self._begin_phase(self._timeouts.chunk_gap_ms)
        return None

    def read(self) -> Iterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            UpstreamError: If the body ends early, is followed by more than
                was announced, or time runs out.
        """
        try:
            for data in self._read_raw():
                self._due_ms = self._limit(self._timeouts.chunk_gap_ms)
                yield data
        except _TRANSPORT_ERRORS as error:
            raise self._failure(error) from error
        if self._abort is not None:
            raise self._failure(None)
        if self._connection is not None and self._connection.has_excess():
            detail = "bytes follow the announced end of the reply"
            raise IncompleteReplyError(self._upstream, detail)
        self._complete = True

    def close(self) -> None:
        """Gives the connection back, or closes it if the reply is not whole."""
        with self._lock:
            connection, self._connection = self._connection, None
            self._due_ms = None
            reusable = self._complete and self._abort is None
        if connection is not None:
            if self._response is not None and not reusable:
                self._response.close()
            self._release(connection, reusable)

    def _connect(self, connection: CheckedConnection) -> UpstreamError | None:
        if connection.is_closed:
            try:
                connection.timeout = self._connect_timeout_s()
                connection.connect()
            except _TRANSPORT_ERRORS as error:
                detail = f"no connection: {error!r}"
                return ConnectError(self._upstream, detail)
            connection.timeout = None
            connection.sock.settimeout(None)
        with self._lock:
            self._socket = connection.sock
        if self._clock.now_ms() >= self._request.deadline_ms:
            self.expire()
        return None if self._abort is None else self._failure(None)

    def _connect_timeout_s(self) -> float:
        remaining_ms = self._request.deadline_ms - self._clock.now_ms()
        timeout_ms = min(self._timeouts.connect_ms, remaining_ms)
        return max(timeout_ms, 1) / _MS_PER_S

    def _send(self, connection: CheckedConnection) -> None:
        self._begin_phase(self._timeouts.first_byte_ms)
        self._sent = True
        # An upstream may refuse before it has taken the whole body.
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
        response = self._reply
        while data := response.read1(_READ_BYTES, decode_content=False):
            yield data

    def _begin_phase(self, phase_ms: int) -> None:
        self._due_ms = self._limit(phase_ms)
        self._watch.add(self)

    def _limit(self, phase_ms: int) -> int:
        phase_end_ms = self._clock.now_ms() + phase_ms
        return min(phase_end_ms, self._request.deadline_ms)

    def _abort_with(self, reason: _Abort) -> None:
        with self._lock:
            if self._due_ms is None or self._abort is not None:
                return
            self._abort = reason
            if self._socket is not None:
                with contextlib.suppress(OSError):
                    self._socket.shutdown(socket.SHUT_RDWR)

    def _failure(self, error: Exception | None) -> UpstreamError:
        execution = Execution.UNKNOWN if self._sent else Execution.NOT_RUN
        if self._abort is _Abort.DEADLINE:
            detail = "no whole reply in time"
            return DeadlineExceededError(
                self._upstream, detail, execution=execution
            )
        if self._abort is _Abort.CANCELLED:
            detail = "cancelled"
            return CancelledError(self._upstream, detail, execution=execution)
        detail = f"the reply ended early: {error!r}"
        return IncompleteReplyError(self._upstream, detail, execution=execution)

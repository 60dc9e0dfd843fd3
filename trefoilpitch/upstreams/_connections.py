"""A bounded pool of connections to one upstream.

The pool drives urllib3's connections itself rather than its pool manager, so
that what was sent when a failure comes is known, an exchange can be aborted
from another thread, and nothing is ever retried or redirected.
"""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import http.client
import socket
import threading
from collections.abc import Iterator, Mapping

import urllib3
from returns.result import Failure, Result, Success
from urllib3.connection import HTTPConnection

from trefoilpitch.clock import Clock
from trefoilpitch.retries import Execution
from trefoilpitch.upstreams._deadlines import DeadlineWatch
from trefoilpitch.upstreams._exceptions import (
    CancelledError,
    ConnectError,
    DeadlineExceededError,
    IncompleteReplyError,
    PoolExhaustedError,
    UpstreamError,
)
from trefoilpitch.upstreams._nodes import Timeouts

_READ_BYTES = 1 << 16
_TRANSPORT_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HttpRequest:
    """What goes over the wire."""

    # The HTTP method.
    method: str
    # Path and query.
    path: str
    # Header fields.
    headers: Mapping[str, str]
    # The body; None sends none.
    body: bytes | None
    # Monotonic time by which the reply must be whole, in milliseconds.
    deadline_ms: int


class _Abort(enum.Enum):
    DEADLINE = "deadline"
    CANCELLED = "cancelled"


class Exchange:
    """One request on one connection, from connecting to the reply's end.

    Only the thread that sends it reads it; any thread may cancel it.

    Args:
        pool: Gets the connection back.
        request: What is sent.
        timeouts: How long each phase may take.
    """

    def __init__(
        self, pool: ConnectionPool, request: HttpRequest, timeouts: Timeouts
    ) -> None:
        self._pool = pool
        self._request = request
        self._timeouts = timeouts
        self._lock = threading.Lock()
        self._connection: HTTPConnection | None = None
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

    def open(self, connection: HTTPConnection) -> Result[None, UpstreamError]:
        """Connects, sends the request and reads the reply's headers."""
        self._connection = connection
        failure = self._connect(connection)
        if failure is not None:
            return Failure(failure)
        self._begin_phase(self._timeouts.first_byte_ms)
        try:
            self._send(connection)
            self._response = connection.getresponse()
        except _TRANSPORT_ERRORS as error:
            return Failure(self.failure(error))
        return Success(None)

    def read(self) -> Iterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            UpstreamError: If the body ends early or time runs out.
        """
        try:
            for data in self._read_raw():
                self._due_ms = self._limit(self._timeouts.chunk_gap_ms)
                yield data
        except _TRANSPORT_ERRORS as error:
            raise self.failure(error) from error
        if self._abort is not None:
            raise self.failure(None)
        self._complete = True

    def close(self) -> None:
        """Gives the connection back, or closes it if the reply is not whole."""
        with self._lock:
            connection, self._connection = self._connection, None
            self._due_ms = None
        if connection is not None:
            reusable = self._complete and self._keeps_alive()
            self._pool.release(connection, reusable=reusable)

    def failure(self, error: Exception | None) -> UpstreamError:
        """Turns a failure of the transport into one of this package."""
        upstream = self._pool.upstream
        execution = Execution.UNKNOWN if self._sent else Execution.NOT_RUN
        if self._abort is _Abort.DEADLINE:
            return DeadlineExceededError(
                upstream, "no whole reply in time", execution=execution
            )
        if self._abort is _Abort.CANCELLED:
            return CancelledError(upstream, "cancelled", execution=execution)
        detail = f"the reply ended early: {error!r}"
        return IncompleteReplyError(upstream, detail, execution=execution)

    def _connect(self, connection: HTTPConnection) -> UpstreamError | None:
        try:
            if connection.is_closed:
                connection.timeout = self._connect_timeout_s()
                connection.connect()
        except _TRANSPORT_ERRORS as error:
            detail = f"no connection: {error!r}"
            return ConnectError(self._pool.upstream, detail)
        if self._abort is not None:
            return self.failure(None)
        return None

    def _connect_timeout_s(self) -> float:
        remaining_ms = self._request.deadline_ms - self._pool.clock.now_ms()
        timeout_ms = min(self._timeouts.connect_ms, remaining_ms)
        return max(timeout_ms, 1) / 1000

    def _send(self, connection: HTTPConnection) -> None:
        if connection.sock is not None:
            connection.sock.settimeout(None)
        self._sent = True
        # A refusal may arrive before the whole body was taken.
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
        if isinstance(response, urllib3.HTTPResponse) and response.chunked:
            yield from response.read_chunked(decode_content=False)
            return
        while data := response.read1(_READ_BYTES, decode_content=False):
            yield data

    def _begin_phase(self, phase_ms: int) -> None:
        self._due_ms = self._limit(phase_ms)
        self._pool.watch.add(self)

    def begin_body(self) -> None:
        """Limits the time between reads from now on."""
        self._begin_phase(self._timeouts.chunk_gap_ms)

    def _limit(self, phase_ms: int) -> int:
        phase_end_ms = self._pool.clock.now_ms() + phase_ms
        return min(phase_end_ms, self._request.deadline_ms)

    def _keeps_alive(self) -> bool:
        if self._response is None or self._abort is not None:
            return False
        return self._response.headers.get("Connection", "").lower() != "close"

    def _abort_with(self, reason: _Abort) -> None:
        with self._lock:
            if self._connection is None or self._abort is not None:
                return
            self._abort = reason
            sock = self._connection.sock
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


class ConnectionPool:
    """At most a fixed number of connections to one upstream.

    Args:
        upstream: The upstream's name.
        address: IP number and port.
        max_connections: Most connections in use at once.
        timeouts: How long each phase of an exchange may take.
        clock: Measures deadlines.
        watch: Expires exchanges; shared by many pools.
    """

    def __init__(
        self,
        *,
        upstream: str,
        address: str,
        max_connections: int,
        timeouts: Timeouts,
        clock: Clock,
        watch: DeadlineWatch,
    ) -> None:
        self._upstream = upstream
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._timeouts = timeouts
        self._clock = clock
        self._slots = threading.BoundedSemaphore(max_connections)
        self._idle: list[HTTPConnection] = []
        self._lock = threading.Lock()
        self._closed = False
        self._watch = watch

    @property
    def upstream(self) -> str:
        """The upstream's name."""
        return self._upstream

    @property
    def clock(self) -> Clock:
        """Measures deadlines."""
        return self._clock

    @property
    def watch(self) -> DeadlineWatch:
        """Expires exchanges."""
        return self._watch

    def send(self, request: HttpRequest) -> Result[Exchange, UpstreamError]:
        """Sends a request and reads the reply's headers.

        Args:
            request: What to send.

        Returns:
            The exchange, which the caller must close, or why there is none.
        """
        if not self._slots.acquire(blocking=False):
            detail = "all connections are in use"
            return Failure(PoolExhaustedError(self._upstream, detail))
        exchange = Exchange(self, request, self._timeouts)
        try:
            opened = exchange.open(self._take())
        except BaseException:
            exchange.close()
            raise
        if isinstance(opened, Failure):
            exchange.close()
            return Failure(opened.failure())
        exchange.begin_body()
        return Success(exchange)

    def release(self, connection: HTTPConnection, *, reusable: bool) -> None:
        """Takes a connection back, for use again or to be closed."""
        with self._lock:
            keep = reusable and not self._closed
            if keep:
                self._idle.append(connection)
        if not keep:
            connection.close()
        self._slots.release()

    def close(self) -> None:
        """Closes idle connections; exchanges under way end on their own."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def _take(self) -> HTTPConnection:
        while True:
            with self._lock:
                connection = self._idle.pop() if self._idle else None
            if connection is None:
                return HTTPConnection(self._host, self._port)
            if connection.is_connected:
                return connection
            connection.close()

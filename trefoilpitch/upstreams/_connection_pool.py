"""A bounded pool of connections to one upstream.

The pool uses urllib3's connections but not its pools. It thereby knows whether
a request was sent when an error occurs, can abort an exchange from another
thread, and never retries a request or follows a redirect on its own.
"""

from __future__ import annotations

import threading

from returns.result import Failure, Result, Success

from trefoilpitch.clock import Clock
from trefoilpitch.upstreams._cancellation import Cancellation
from trefoilpitch.upstreams._deadlines import DeadlineMonitor
from trefoilpitch.upstreams._exceptions import (
    InvalidRequestError,
    PoolExhaustedError,
    UpstreamError,
)
from trefoilpitch.upstreams._exchange import Exchange
from trefoilpitch.upstreams._http_request import HttpRequest
from trefoilpitch.upstreams._stats import ClientStats, OutcomeCounter
from trefoilpitch.upstreams._strict_connection import StrictConnection
from trefoilpitch.upstreams._types import Timeouts

# Longest idle time after which a connection is reused. An upstream may close an
# idle connection just as a request is sent on it, which leaves unknown whether
# the request ran; servers commonly close after 5 s.
MAX_IDLE_MS = 4_000


class ConnectionPool:
    """A pool with a fixed limit on the connections to one upstream.

    Args:
        upstream: The upstream's name.
        address: IP address and port.
        max_connections: Limit on connections in use at once.
        timeouts: Time limits for the phases of an exchange.
        clock: Measures deadlines.
        deadline_monitor: Aborts overdue exchanges; shared by many pools.
    """

    def __init__(
        self,
        *,
        upstream: str,
        address: str,
        max_connections: int,
        timeouts: Timeouts,
        clock: Clock,
        deadline_monitor: DeadlineMonitor,
    ) -> None:
        self._upstream = upstream
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._timeouts = timeouts
        self._clock = clock
        self._deadline_monitor = deadline_monitor
        self._max_connections = max_connections
        # Each with the monotonic time since which it is idle.
        self._idle: list[tuple[StrictConnection, int]] = []
        self._lock = threading.Lock()
        self._closed = False
        self._in_use = 0
        self._opened = 0
        self._outcomes = OutcomeCounter()

    @property
    def upstream(self) -> str:
        """The upstream's name."""
        return self._upstream

    @property
    def outcomes(self) -> OutcomeCounter:
        """Counts the outcomes of requests."""
        return self._outcomes

    @property
    def stats(self) -> ClientStats:
        """Counts since the pool was created, and its current connections."""
        with self._lock:
            return ClientStats(
                upstream=self._upstream,
                connections_in_use=self._in_use,
                connections_idle=len(self._idle),
                connections_opened=self._opened,
                successes=self._outcomes.successes,
                failures=self._outcomes.failures,
            )

    def send(
        self, request: HttpRequest, cancellation: Cancellation | None = None
    ) -> Result[Exchange, UpstreamError]:
        """Sends a request and reads the response headers.

        Args:
            request: The request to send.
            cancellation: Cancels the exchange from another thread.

        Returns:
            The exchange, which the caller must close, or the error.
        """
        opened = self._send(request, cancellation)
        if isinstance(opened, Failure):
            self._outcomes.record_failure(opened.failure())
        return opened

    def _send(
        self, request: HttpRequest, cancellation: Cancellation | None
    ) -> Result[Exchange, UpstreamError]:
        invalid_reason = request.invalid_reason()
        if invalid_reason is not None:
            return Failure(InvalidRequestError(self._upstream, invalid_reason))
        if not self._reserve():
            detail = "all connections are in use"
            return Failure(PoolExhaustedError(self._upstream, detail))
        exchange = self._exchange(request)
        try:
            if cancellation is not None:
                cancellation.attach(exchange)
            failure = exchange.open(self._checkout())
        except BaseException:
            exchange.close()
            raise
        if failure is not None:
            exchange.close()
            return Failure(failure)
        return Success(exchange)

    def close(self) -> None:
        """Closes idle connections; exchanges in flight are not aborted."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, []
        for connection, _ in idle:
            connection.dispose()

    def _exchange(self, request: HttpRequest) -> Exchange:
        return Exchange(
            upstream=self._upstream,
            request=request,
            timeouts=self._timeouts,
            clock=self._clock,
            deadline_monitor=self._deadline_monitor,
            release=self._release,
        )

    def _reserve(self) -> bool:
        with self._lock:
            if self._in_use >= self._max_connections:
                return False
            self._in_use += 1
            return True

    def _checkout(self) -> StrictConnection:
        while True:
            with self._lock:
                if not self._idle:
                    self._opened += 1
                    return StrictConnection(self._host, self._port)
                connection, since_ms = self._idle.pop()
            idle_ms = self._clock.now_ms() - since_ms
            if idle_ms <= MAX_IDLE_MS and connection.is_connected:
                return connection
            connection.dispose()

    def _release(self, connection: StrictConnection, reusable: bool) -> None:
        with self._lock:
            self._in_use -= 1
            is_kept = reusable and not self._closed and connection.is_connected
            if is_kept:
                self._idle.append((connection, self._clock.now_ms()))
        if not is_kept:
            connection.dispose()

"""Client of a plain service."""

from __future__ import annotations

from types import TracebackType
from typing import Protocol, Self

from returns.result import Failure, Result

from trefoilpitch.clock import Clock
from trefoilpitch.upstreams._cancellation import Cancellation
from trefoilpitch.upstreams._connection_pool import ConnectionPool
from trefoilpitch.upstreams._deadlines import DeadlineMonitor
from trefoilpitch.upstreams._exceptions import (
    InvalidRequestError,
    UpstreamError,
)
from trefoilpitch.upstreams._http_request import HttpRequest
from trefoilpitch.upstreams._reports import (
    LoadReportClient,
    create_load_report_client,
)
from trefoilpitch.upstreams._responses import (
    CONNECTION_HEADERS,
    INCARNATION_HEADER,
    REQUEST_ID_HEADER,
    send_and_read,
)
from trefoilpitch.upstreams._stats import ClientStats
from trefoilpitch.upstreams._types import (
    LoadReport,
    ServiceRequest,
    ServiceResponse,
    Timeouts,
)

DEFAULT_MAX_BODY_BYTES = 4 << 20
_CONTROL_CONNECTIONS = 1
_RESERVED_HEADERS = CONNECTION_HEADERS | {
    REQUEST_ID_HEADER.lower(),
    INCARNATION_HEADER.lower(),
}


class ServiceClient(Protocol):
    """Calls one plain service; safe to use from many threads."""

    def __enter__(self) -> Self: ...

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None: ...

    @property
    def stats(self) -> ClientStats:
        """Counts of calls and connections; load reports are not counted."""

    def call(
        self,
        request: ServiceRequest,
        cancellation: Cancellation | None = None,
    ) -> Result[ServiceResponse, UpstreamError]:
        """Makes one call; never sends it twice.

        Args:
            request: The call.
            cancellation: Cancels the call from another thread.

        Returns:
            The complete response, or the error. A complete response with an
            error status is an ``ErrorReplyError`` that holds the body.
        """

    def load_report(
        self, *, deadline_ms: int
    ) -> Result[LoadReport, UpstreamError]:
        """Fetches the service's current load report."""


class _HttpServiceClient:
    def __init__(
        self,
        pool: ConnectionPool,
        control: ConnectionPool,
        reports: LoadReportClient,
        max_body_bytes: int,
    ) -> None:
        self._pool = pool
        self._control = control
        self._reports = reports
        self._max_body_bytes = max_body_bytes

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._pool.close()
        self._control.close()
        self._reports.close()

    @property
    def stats(self) -> ClientStats:
        """Counts of calls and connections; load reports are not counted."""
        return self._pool.stats

    def call(
        self,
        request: ServiceRequest,
        cancellation: Cancellation | None = None,
    ) -> Result[ServiceResponse, UpstreamError]:
        """Makes one call; never sends it twice."""
        if len(request.body) > self._max_body_bytes:
            detail = f"request body exceeds {self._max_body_bytes} bytes"
            return Failure(InvalidRequestError(self._pool.upstream, detail))
        http_request = HttpRequest(
            method=request.method,
            path=request.path,
            headers=_request_headers(request),
            body=request.body or None,
            deadline_ms=request.deadline_ms,
        )
        return send_and_read(
            self._pool,
            http_request,
            request.request_id,
            self._max_body_bytes,
            cancellation,
        )

    def load_report(
        self, *, deadline_ms: int
    ) -> Result[LoadReport, UpstreamError]:
        """Fetches the service's current load report."""
        return self._reports.fetch(deadline_ms)


def open_service_client(
    *,
    upstream: str,
    address: str,
    clock: Clock,
    deadline_monitor: DeadlineMonitor,
    max_connections: int = 64,
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    timeouts: Timeouts | None = None,
) -> ServiceClient:
    """Creates a client of a plain service; connects on first use.

    Args:
        upstream: The upstream's name.
        address: IP address and port.
        clock: Measures deadlines.
        deadline_monitor: Aborts overdue exchanges; shared by many clients.
        max_connections: Limit on calls in flight.
        max_body_bytes: Limit on the body of a request or a response.
        timeouts: Time limits for the phases of a call.

    Returns:
        The client, a context manager that closes idle connections.
    """
    timeouts = timeouts or Timeouts()

    def pool(connections: int) -> ConnectionPool:
        return ConnectionPool(
            upstream=upstream,
            address=address,
            max_connections=connections,
            timeouts=timeouts,
            clock=clock,
            deadline_monitor=deadline_monitor,
        )

    control = pool(_CONTROL_CONNECTIONS)
    reports = create_load_report_client(
        control, address=address, clock=clock, timeouts=timeouts
    )
    return _HttpServiceClient(
        pool(max_connections), control, reports, max_body_bytes
    )


def _request_headers(request: ServiceRequest) -> dict[str, str]:
    headers = {
        name: value
        for name, value in request.headers
        if name.lower() not in _RESERVED_HEADERS
    }
    headers[REQUEST_ID_HEADER] = request.request_id
    if request.upstream_incarnation:
        headers[INCARNATION_HEADER] = request.upstream_incarnation
    return headers

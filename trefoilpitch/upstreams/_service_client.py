"""The client of one plain service."""

from __future__ import annotations

from types import TracebackType
from typing import Protocol, Self

from returns.result import Failure, Result, Success

from trefoilpitch.clock import Clock
from trefoilpitch.upstreams._connections import (
    ConnectionPool,
    Exchange,
    HttpRequest,
)
from trefoilpitch.upstreams._deadlines import DeadlineWatch
from trefoilpitch.upstreams._exceptions import (
    MismatchedReplyError,
    UpstreamError,
)
from trefoilpitch.upstreams._nodes import (
    LoadReport,
    ServiceReply,
    ServiceRequest,
    Timeouts,
)
from trefoilpitch.upstreams._replies import (
    REQUEST_ID_HEADER,
    classify_error,
    read_whole,
)
from trefoilpitch.upstreams._reports import decode_load_report

DEFAULT_MAX_BODY_BYTES = 4 << 20
_LOAD_PATH = "/v1/load"
_FIRST_ERROR_STATUS = 400
_CONNECTION_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length"}
)


class ServiceClient(Protocol):
    """Calls one plain service; safe to use from many threads."""

    def __enter__(self) -> Self: ...

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None: ...

    def call(
        self, request: ServiceRequest
    ) -> Result[ServiceReply, UpstreamError]:
        """Makes one call, sent at most once.

        Returns:
            The whole reply, or the failure and what it proves. A whole reply
            with an error status is ``ErrorReplyError``, with the body.

        Raises:
            ValueError: If the body exceeds the limit.
        """

    def load_report(
        self, *, deadline_ms: int
    ) -> Result[LoadReport, UpstreamError]:
        """Fetches the service's last load report."""


class _HttpServiceClient:
    def __init__(self, pool: ConnectionPool, max_body_bytes: int) -> None:
        self._pool = pool
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

    def call(
        self, request: ServiceRequest
    ) -> Result[ServiceReply, UpstreamError]:
        """Makes one call, sent at most once."""
        if len(request.body) > self._max_body_bytes:
            raise ValueError(f"the body exceeds {self._max_body_bytes} bytes")
        wire = HttpRequest(
            method=request.method,
            path=request.path,
            headers={
                **dict(request.headers),
                REQUEST_ID_HEADER: request.request_id,
            },
            body=request.body or None,
            deadline_ms=request.deadline_ms,
        )
        return self._exchange(wire, request.request_id)

    def load_report(
        self, *, deadline_ms: int
    ) -> Result[LoadReport, UpstreamError]:
        """Fetches the service's last load report."""
        wire = HttpRequest(
            method="GET",
            path=_LOAD_PATH,
            headers={REQUEST_ID_HEADER: "load"},
            body=None,
            deadline_ms=deadline_ms,
        )
        reply = self._exchange(wire, "load")
        upstream = self._pool.upstream
        return reply.bind(lambda it: decode_load_report(upstream, it.body))

    def _exchange(
        self, wire: HttpRequest, request_id: str
    ) -> Result[ServiceReply, UpstreamError]:
        sent = self._pool.send(wire)
        if isinstance(sent, Failure):
            return Failure(sent.failure())
        exchange = sent.unwrap()
        try:
            return self._read(exchange, request_id)
        finally:
            exchange.close()

    def _read(
        self, exchange: Exchange, request_id: str
    ) -> Result[ServiceReply, UpstreamError]:
        upstream = self._pool.upstream
        limit = self._max_body_bytes
        if exchange.status >= _FIRST_ERROR_STATUS:
            return Failure(
                classify_error(exchange, upstream, request_id, limit)
            )
        answered_id = exchange.headers.get(REQUEST_ID_HEADER)
        if answered_id != request_id:
            detail = f"the reply to request {answered_id!r} arrived"
            return Failure(MismatchedReplyError(upstream, detail))
        body = read_whole(exchange, upstream, limit)
        if isinstance(body, Failure):
            return Failure(body.failure())
        return Success(
            ServiceReply(
                status=exchange.status,
                body=body.unwrap(),
                headers=_end_to_end_headers(exchange),
            )
        )


def open_service_client(
    *,
    upstream: str,
    address: str,
    clock: Clock,
    watch: DeadlineWatch,
    max_connections: int = 64,
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    timeouts: Timeouts | None = None,
) -> ServiceClient:
    """Makes a client of one plain service; connects on first use.

    Args:
        upstream: The upstream's name.
        address: IP number and port.
        clock: Measures deadlines.
        watch: Expires exchanges; shared by many clients.
        max_connections: Most calls under way at once.
        max_body_bytes: Largest body of a request or a reply.
        timeouts: How long each phase of a call may take.

    Returns:
        The client, a context manager that closes idle connections.
    """
    pool = ConnectionPool(
        upstream=upstream,
        address=address,
        max_connections=max_connections,
        timeouts=timeouts or Timeouts(),
        clock=clock,
        watch=watch,
    )
    return _HttpServiceClient(pool, max_body_bytes)


def _end_to_end_headers(exchange: Exchange) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in exchange.headers.items()
        if name.lower() not in _CONNECTION_HEADERS
    )

"""Reads complete responses and classifies error responses."""

from __future__ import annotations

import re
from collections.abc import Mapping

from returns.result import Failure, Result, Success

from trefoilpitch.upstreams._cancellation import Cancellation
from trefoilpitch.upstreams._connection_pool import ConnectionPool
from trefoilpitch.upstreams._exceptions import (
    ErrorReplyError,
    IncompleteReplyError,
    MismatchedReplyError,
    OverloadedError,
    RefusedError,
    ReplyTooLargeError,
    UpstreamError,
)
from trefoilpitch.upstreams._exchange import Exchange
from trefoilpitch.upstreams._http_request import HttpRequest
from trefoilpitch.upstreams._types import ServiceResponse

REQUEST_ID_HEADER = "Request-Id"
NOT_RUN_HEADER = "Not-Run"
# Hop-by-hop headers and other framing headers, in lower case; not forwarded.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
INCARNATION_HEADER = "Upstream-Incarnation"
_PRECONDITION_FAILED = 412
_REFUSAL_STATUSES = frozenset({_PRECONDITION_FAILED, 429, 503})
# An intermediary may send these without knowing whether the request ran.
_INCONCLUSIVE_STATUSES = frozenset({408, 429, 502, 503, 504})
_FIRST_ERROR_STATUS = 400
_MS_PER_S = 1000
# Statuses whose responses have no body, whatever their headers say.
_BODILESS_STATUSES = frozenset({204, 304})
_DECIMAL = re.compile(r"[0-9]{1,15}")


def read_body(
    exchange: Exchange, upstream: str, max_bytes: int
) -> Result[bytes, UpstreamError]:
    """Reads the body of a response, which must be delimited.

    A body that only the end of the connection delimits is rejected, because
    truncation would go unnoticed.

    Args:
        exchange: The exchange, with the response headers read.
        upstream: The upstream's name.
        max_bytes: Limit on the body's size.

    Returns:
        The complete body, or the error.
    """
    if not _is_delimited(exchange):
        detail = "response has neither a valid length nor chunked encoding"
        return Failure(IncompleteReplyError(upstream, detail))
    parts: list[bytes] = []
    size = 0
    try:
        for part in exchange.read():
            size += len(part)
            if size > max_bytes:
                detail = f"response body exceeds {max_bytes} bytes"
                return Failure(ReplyTooLargeError(upstream, detail))
            parts.append(part)
    except UpstreamError as error:
        return Failure(error)
    return Success(b"".join(parts))


def send_and_read(
    pool: ConnectionPool,
    request: HttpRequest,
    request_id: str,
    max_bytes: int,
    cancellation: Cancellation | None = None,
) -> Result[ServiceResponse, UpstreamError]:
    """Sends a request and reads its complete response.

    Args:
        pool: Connections to the upstream.
        request: The request to send.
        request_id: The Request-Id that the response must echo.
        max_bytes: Limit on the size of the response body.
        cancellation: Cancels the exchange from another thread.

    Returns:
        The complete response, or the error.
    """
    sent = pool.send(request, cancellation)
    if isinstance(sent, Failure):
        return Failure(sent.failure())
    exchange = sent.unwrap()
    try:
        response = _read_response(
            exchange, pool.upstream, request_id, max_bytes
        )
    finally:
        exchange.close()
    if isinstance(response, Failure):
        pool.outcomes.record_failure(response.failure())
    else:
        pool.outcomes.record_success()
    return response


def classify_error(
    exchange: Exchange, upstream: str, request_id: str, max_bytes: int
) -> UpstreamError:
    """Converts an error response into an error with what it shows.

    ``Not-Run`` is trusted only in a complete response that echoes the
    request's identifier: a response to another request that was delivered to
    this one says nothing about whether this one ran.
    """
    body = read_body(exchange, upstream, max_bytes)
    if isinstance(body, Failure):
        error: UpstreamError = body.failure()
        return error
    status = exchange.status
    headers = exchange.headers
    if headers.get(REQUEST_ID_HEADER) != request_id:
        detail = f"status {status} without this request's Request-Id"
        return MismatchedReplyError(upstream, detail)
    retry_after_ms = _retry_after_ms(headers)
    if status in _REFUSAL_STATUSES and _is_marked_not_run(headers):
        detail = f"refused with status {status} and Not-Run"
        return RefusedError(upstream, detail, retry_after_ms=retry_after_ms)
    if status in _INCONCLUSIVE_STATUSES:
        detail = f"status {status} leaves open whether the request ran"
        return OverloadedError(upstream, detail, retry_after_ms=retry_after_ms)
    return ErrorReplyError(
        upstream, f"status {status}", status=status, body=body.unwrap()
    )


def _read_response(
    exchange: Exchange, upstream: str, request_id: str, max_bytes: int
) -> Result[ServiceResponse, UpstreamError]:
    if exchange.status >= _FIRST_ERROR_STATUS:
        return Failure(
            classify_error(exchange, upstream, request_id, max_bytes)
        )
    echoed_id = exchange.headers.get(REQUEST_ID_HEADER)
    if echoed_id != request_id:
        detail = f"received the response to request {echoed_id!r}"
        return Failure(MismatchedReplyError(upstream, detail))
    body = read_body(exchange, upstream, max_bytes)
    return body.map(
        lambda data: ServiceResponse(
            status=exchange.status,
            body=data,
            headers=_end_to_end_headers(exchange.headers),
        )
    )


def _end_to_end_headers(
    headers: Mapping[str, str],
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in CONNECTION_HEADERS
    )


def _is_delimited(exchange: Exchange) -> bool:
    if exchange.method == "HEAD" or exchange.status in _BODILESS_STATUSES:
        return True
    coding = exchange.headers.get("Transfer-Encoding", "").lower()
    length = exchange.headers.get("Content-Length")
    if length is None:
        return coding == "chunked"
    return not coding and _DECIMAL.fullmatch(length) is not None


def _is_marked_not_run(headers: Mapping[str, str]) -> bool:
    return headers.get(NOT_RUN_HEADER, "").lower() == "true"


def _retry_after_ms(headers: Mapping[str, str]) -> int | None:
    value = headers.get("Retry-After", "")
    return int(value) * _MS_PER_S if _DECIMAL.fullmatch(value) else None

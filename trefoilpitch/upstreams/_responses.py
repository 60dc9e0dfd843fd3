"""Reads whole replies and classifies those that report errors."""

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
# Header fields that concern one connection only, in lower case.
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
# A gateway on the way may send these without knowing what became of a request.
_INCONCLUSIVE_STATUSES = frozenset({408, 429, 502, 503, 504})
_FIRST_ERROR_STATUS = 400
_MS_PER_S = 1000
# Statuses whose replies have no body, whatever their headers say.
_BODILESS_STATUSES = frozenset({204, 304})
_DECIMAL = re.compile(r"[0-9]{1,15}")


def read_body(
    exchange: Exchange, upstream: str, max_bytes: int
) -> Result[bytes, UpstreamError]:
    """Reads a reply's body, whose end must be marked.

    Args:
        exchange: The exchange, with the headers read.
        upstream: The upstream's name.
        max_bytes: Largest body in bytes.

    Returns:
        The whole body, or why it is not whole.
    """
    if not _is_delimited(exchange):
        detail = "the reply has no valid length and no end marker"
        return Failure(IncompleteReplyError(upstream, detail))
    parts: list[bytes] = []
    size = 0
    try:
        for part in exchange.read():
            size += len(part)
            if size > max_bytes:
                detail = f"the reply exceeds {max_bytes} bytes"
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
    """Sends a request and reads its whole reply.

    Args:
        pool: Connections to the upstream.
        request: What to send.
        request_id: What the reply must echo.
        max_bytes: Largest body of the reply in bytes.
        cancellation: Cancels the exchange from another thread.

    Returns:
        The whole reply, or the failure and what it proves.
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
    """Turns an error reply into the failure that it proves.

    A refusal counts as such only if it is whole and names this request: a
    refusal of another request that was delivered to this one proves nothing.
    """
    body = read_body(exchange, upstream, max_bytes)
    if isinstance(body, Failure):
        error: UpstreamError = body.failure()
        return error
    status = exchange.status
    headers = exchange.headers
    if headers.get(REQUEST_ID_HEADER) != request_id:
        detail = f"status {status} does not name this request"
        return MismatchedReplyError(upstream, detail)
    retry_after_ms = _retry_after_ms(headers)
    if status in _REFUSAL_STATUSES and _is_marked_not_run(headers):
        detail = f"refused with status {status}"
        return RefusedError(upstream, detail, retry_after_ms=retry_after_ms)
    if status in _INCONCLUSIVE_STATUSES:
        detail = f"status {status} does not say whether the request ran"
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
        detail = f"the reply to request {echoed_id!r} arrived"
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

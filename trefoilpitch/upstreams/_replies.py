"""Reads whole replies and classifies those that report errors."""

from __future__ import annotations

from collections.abc import Mapping

from returns.result import Failure, Result, Success

from trefoilpitch.upstreams._connections import Exchange
from trefoilpitch.upstreams._exceptions import (
    ErrorReplyError,
    IncompleteReplyError,
    MismatchedReplyError,
    OverloadedError,
    RefusedError,
    ReplyTooLargeError,
    UpstreamError,
)

REQUEST_ID_HEADER = "Request-Id"
NOT_RUN_HEADER = "Not-Run"
_REFUSAL_STATUSES = frozenset({429, 503})
# A gateway on the way may send these without knowing what became of a request.
_INCONCLUSIVE_STATUSES = frozenset({408, 429, 502, 503, 504})
_MS_PER_S = 1000


def read_whole(
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
    if not _has_marked_end(exchange.headers):
        detail = "the reply has neither a length nor an end marker"
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


def classify_error(
    exchange: Exchange, upstream: str, request_id: str, max_bytes: int
) -> UpstreamError:
    """Turns an error reply into the failure that it proves.

    A refusal counts as such only if it is whole and names this request: a
    refusal of another request that was delivered to this one proves nothing.
    """
    body = read_whole(exchange, upstream, max_bytes)
    if isinstance(body, Failure):
        error: UpstreamError = body.failure()
        return error
    status = exchange.status
    headers = exchange.headers
    if headers.get(REQUEST_ID_HEADER) != request_id:
        detail = f"status {status} does not name this request"
        return MismatchedReplyError(upstream, detail)
    retry_after_ms = _retry_after_ms(headers)
    if status in _REFUSAL_STATUSES and _says_not_run(headers):
        detail = f"refused with status {status}"
        return RefusedError(upstream, detail, retry_after_ms=retry_after_ms)
    if status in _INCONCLUSIVE_STATUSES:
        detail = f"status {status} does not say whether the request ran"
        return OverloadedError(upstream, detail, retry_after_ms=retry_after_ms)
    return ErrorReplyError(
        upstream, f"status {status}", status=status, body=body.unwrap()
    )


def _has_marked_end(headers: Mapping[str, str]) -> bool:
    chunked = headers.get("Transfer-Encoding", "").lower() == "chunked"
    return chunked or headers.get("Content-Length", "").isdigit()


def _says_not_run(headers: Mapping[str, str]) -> bool:
    return headers.get(NOT_RUN_HEADER, "").lower() == "true"


def _retry_after_ms(headers: Mapping[str, str]) -> int | None:
    value = headers.get("Retry-After", "")
    return int(value) * _MS_PER_S if value.isdecimal() else None

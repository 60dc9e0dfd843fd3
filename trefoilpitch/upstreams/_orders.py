"""Encodes orders to engines and decodes the responses."""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.upstreams._exceptions import (
    ErrorReplyError,
    IncompleteReplyError,
    StaleFencingError,
    UpstreamError,
)
from trefoilpitch.upstreams._reports import parse_version
from trefoilpitch.upstreams._types import Order, OrderResponse

_CONFLICT = 409


class _WireOrderResponse(msgspec.Struct, frozen=True):
    versions: list[str]
    role: str


def encode_order(order: Order) -> bytes:
    """Encodes the body of ``POST /v1/orders``."""
    version = str(order.version) if order.version is not None else ""
    return msgspec.json.encode(
        {
            "kind": order.kind.value,
            "version": version,
            "role": order.role,
            "fencing_number": order.fencing_number,
        }
    )


def decode_order_response(
    upstream: str, data: bytes
) -> Result[OrderResponse, UpstreamError]:
    """Decodes the response of ``POST /v1/orders``."""
    try:
        wire = msgspec.json.decode(data, type=_WireOrderResponse)
        versions = frozenset(map(parse_version, wire.versions))
    except (msgspec.MsgspecError, ValueError) as error:
        detail = f"malformed response to an order: {error}"
        return Failure(IncompleteReplyError(upstream, detail))
    return Success(OrderResponse(versions=versions, role=wire.role))


def to_order_error(error: UpstreamError) -> UpstreamError:
    """Maps status 409 to ``StaleFencingError``; returns other errors as is."""
    if isinstance(error, ErrorReplyError) and error.status == _CONFLICT:
        return StaleFencingError(error.upstream, "stale fencing number")
    return error

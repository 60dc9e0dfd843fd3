"""Encodes orders to engines and decodes their replies."""

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
    """Decodes the reply to ``POST /v1/orders``."""
    try:
        wire = msgspec.json.decode(data, type=_WireOrderResponse)
        versions = frozenset(map(parse_version, wire.versions))
    except (msgspec.MsgspecError, ValueError) as error:
        detail = f"the reply to an order is malformed: {error}"
        return Failure(IncompleteReplyError(upstream, detail))
    return Success(OrderResponse(versions=versions, role=wire.role))


def to_order_error(error: UpstreamError) -> UpstreamError:
    """Recognises the refusal of an order with an old fencing number."""
    if isinstance(error, ErrorReplyError) and error.status == _CONFLICT:
        return StaleFencingError(error.upstream, "the fencing number is old")
    return error

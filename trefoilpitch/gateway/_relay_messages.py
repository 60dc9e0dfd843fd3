"""Messages between daemons that relay requests to upstreams.

A relayed request is the request as the upstream gets it, with headers that name
the upstream and the time left. Callers are authenticated before: no API key is
relayed. A response says whether it is the upstream's or reports a failure; one
that says neither comes from a server that has not understood the request.
"""

from __future__ import annotations

import dataclasses

from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._exceptions import BadRequestError, ExchangeError
from trefoilpitch.gateway._http_client import Headers, ResponseHead
from trefoilpitch.gateway._http_server import HttpRequest
from trefoilpitch.gateway._upstream_links import Reachability
from trefoilpitch.retries import FailureKind

_PREFIX = b"trefoilpitch-relay-"
# Id of the upstream, and Unix milliseconds of its start.
_UPSTREAM = _PREFIX + b"upstream"
_STARTED = _PREFIX + b"started-ms"
# Name of the daemon that has the caller.
_ORIGIN = _PREFIX + b"origin"
# Milliseconds that the origin waits for the response.
_TIMEOUT = _PREFIX + b"timeout-ms"
# Digest of the whole request, by which daemons know it.
_FINGERPRINT = _PREFIX + b"fingerprint"
# In the responses of upstreams.
_FORWARDED = _PREFIX + b"forwarded"
# Whether only the end of its connection delimits an upstream's response; the
# relay itself sends it in chunks.
_UNDELIMITED = _PREFIX + b"undelimited"
_FRAMING = frozenset({b"content-length", b"transfer-encoding"})
# The kind of a failure, and its description for the log.
_FAILURE = _PREFIX + b"failure"
_DETAIL = _PREFIX + b"detail"
# What a probe has shown.
_REACHABILITY = _PREFIX + b"reachability"
# A request with an order that asks only whether the upstream is running.
PROBE_TARGET = b"/v1/probe"
_OK = 200
_BAD_REQUEST = 400
# Bounds of the numbers, far above what is in use.
_MAX_DIGITS = 15
# Replaces control characters, which do not belong into headers.
_PRINTABLE = bytes(c if 0x20 <= c < 0x7F else 0x3F for c in range(256))
_REACHABILITIES = {result.value for result in Reachability}
_FAILURE_KINDS = {kind.value: kind for kind in FailureKind}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelayOrder:
    """To which upstream a request is relayed, and for how long."""

    upstream_id: str
    # Unix milliseconds of the upstream's start, as the origin knows it.
    started_wall_ms: int
    # The daemon that has the caller.
    origin: str
    # How long the origin waits for the response.
    timeout_ms: int
    # Digest of the whole request; None from an origin of an earlier build, and
    # in an order without a request.
    fingerprint: int | None = None


def is_relayed(request: HttpRequest) -> bool:
    """Returns whether a peer asks to relay a request to an upstream."""
    return request.header(_UPSTREAM) is not None


def relay_headers(
    headers: Headers,
    entry: UpstreamEntry,
    *,
    origin: str,
    timeout_ms: int,
    fingerprint: int | None = None,
) -> Headers:
    """Returns the headers of a request that a peer relays.

    Args:
        headers: The request's headers for the upstream.
        entry: The upstream.
        origin: Name of this VM.
        timeout_ms: How long this daemon waits for the response.
        fingerprint: Digest of the whole request; None if there is no request.
    """
    order = [
        (_UPSTREAM, entry.upstream_id.encode()),
        (_STARTED, str(entry.started_wall_ms).encode()),
        (_ORIGIN, origin.encode()),
        (_TIMEOUT, str(timeout_ms).encode()),
    ]
    if fingerprint is not None:
        order.append((_FINGERPRINT, str(fingerprint).encode()))
    return [*without_relay_headers(headers), *order]


def without_relay_headers(headers: Headers) -> Headers:
    """Removes the headers of this protocol, also those of a caller."""
    return [
        (name, value)
        for name, value in headers
        if not name.lower().startswith(_PREFIX)
    ]


def decode_order(request: HttpRequest) -> RelayOrder:
    """Decodes the order of a relayed request.

    Raises:
        BadRequestError: If a header is missing, repeated or malformed.
    """
    return RelayOrder(
        upstream_id=_text(request, _UPSTREAM),
        started_wall_ms=_number(request, _STARTED),
        origin=_text(request, _ORIGIN),
        timeout_ms=max(1, _number(request, _TIMEOUT)),
        fingerprint=None
        if request.header(_FINGERPRINT) is None
        else _number(request, _FINGERPRINT),
    )


def failure_headers(error: ExchangeError) -> Headers:
    """Returns the headers of a response that reports a failure."""
    detail = error.detail.encode("ascii", "replace").translate(_PRINTABLE)
    return [
        (_FAILURE, error.kind.value.encode()),
        (_DETAIL, detail.strip()),
    ]


def forwarded_headers(headers: Headers, *, delimited: bool) -> Headers:
    """Returns the headers of an upstream's response for the origin.

    Args:
        headers: The headers of the response.
        delimited: See `ResponseHead.is_delimited`.
    """
    marks = [(_FORWARDED, b"1")]
    if not delimited:
        marks.append((_UNDELIMITED, b"1"))
    return [*without_relay_headers(headers), *marks]


def decode_relayed_head(head: ResponseHead) -> ResponseHead:
    """Returns the head of an upstream's response, as the upstream sent it.

    Raises:
        ExchangeError: If the relay reports a failure, or did not understand
            the request.
    """
    kind = head.header(_FAILURE)
    if kind is not None:
        raise ExchangeError(
            _FAILURE_KINDS.get(kind, FailureKind.MALFORMED_RESPONSE),
            head.header(_DETAIL) or "",
        )
    if head.header(_FORWARDED) is None:
        raise ExchangeError(
            FailureKind.MALFORMED_RESPONSE, f"status {head.status} of the relay"
        )
    undelimited = head.header(_UNDELIMITED) is not None
    headers = tuple(
        (name, value)
        for name, value in without_relay_headers(head.headers)
        if not (undelimited and name in _FRAMING)
    )
    return ResponseHead(status=head.status, headers=headers)


def probe_headers(result: Reachability) -> Headers:
    """Returns the headers of a response to a probe."""
    return [(_REACHABILITY, result.value.encode())]


def decode_probe_result(head: ResponseHead) -> Reachability:
    """Decodes a response to a probe."""
    text = head.header(_REACHABILITY)
    if head.status != _OK or text not in _REACHABILITIES:
        return Reachability.UNKNOWN
    return Reachability(text)


def _text(request: HttpRequest, name: bytes) -> str:
    values = [v for n, v in request.headers if n.lower() == name]
    if len(values) != 1 or not values[0]:
        raise BadRequestError(_BAD_REQUEST, f"invalid {name.decode()}")
    return values[0].decode("latin-1")


def _number(request: HttpRequest, name: bytes) -> int:
    text = _text(request, name)
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS):
        raise BadRequestError(_BAD_REQUEST, f"invalid {name.decode()}")
    return int(text)

"""Receives one request after the other, within the limits."""

from __future__ import annotations

import dataclasses

import h11

from trefoilpitch.fleet import RequestLimits
from trefoilpitch.gateway._body_buffer import BodyBuffer
from trefoilpitch.gateway._exceptions import GatewayError
from trefoilpitch.gateway._memory_budget import HeldKind, Outcome
from trefoilpitch.gateway._memory_guard import (
    ConnectionAccount,
    RefusalReason,
)
from trefoilpitch.gateway._request_timer import RequestTimer
from trefoilpitch.gateway._server_state import HttpRequest, ServerState

_BAD_REQUEST = 400
_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431
_UNAVAILABLE = 503
# Bytes of a header line besides name and value: colon, space and CRLF.
_LINE_BYTES = 4
# Memory of a header field besides its bytes.
_FIELD_BYTES = 256
# The workspace of larger bodies is determined before they are received.
_ORDINARY_BODY_BYTES = 64 * 1024


class RequestRefusedError(GatewayError):
    """A request exceeds a limit; it has not run.

    Args:
        status: Status of the response; None to close the connection without.
        reason: Why, for the metrics.
        detail: Why, for the caller and the log.
    """

    def __init__(
        self, status: int | None, reason: RefusalReason, detail: str
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail


class RequestReceiver:
    """Collects the requests of one connection from the parser's events.

    Args:
        state: State that all connections of the server share.
        account: The connection's account.
        timer: Knows the limits of the request.
    """

    def __init__(
        self,
        state: ServerState,
        account: ConnectionAccount,
        timer: RequestTimer,
    ) -> None:
        self._state = state
        self._account = account
        self._timer = timer
        self._head: HttpRequest | None = None
        self._body = BodyBuffer(0, state.guard.clients)

    @property
    def head(self) -> HttpRequest | None:
        """The request that is being received, without its body."""
        return self._head

    def hold(self, kind: HeldKind, size: int) -> None:
        """Accounts for what the connection holds.

        Raises:
            RequestRefusedError: If the budget has no room for it.
        """
        outcome = self._state.guard.hold(self._account, kind, size)
        status = _UNAVAILABLE if self._head is not None else None
        if outcome is Outcome.OVER_SHARE:
            raise RequestRefusedError(
                status if self._state.answers_over_share else None,
                RefusalReason.OVER_SHARE,
                "the address holds too much",
            )
        if outcome is Outcome.NO_ROOM:
            raise RequestRefusedError(
                status, RefusalReason.NO_ROOM, "no memory for the request"
            )

    def begin(self, event: h11.Request, arrived_ms: int) -> None:
        """Begins a request, and reserves what its body needs if it is known.

        Raises:
            RequestRefusedError: If it exceeds a limit.
        """
        names = [name for name, _ in event.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # Conflicting framing headers allow request smuggling.
            raise RequestRefusedError(
                _BAD_REQUEST,
                RefusalReason.MALFORMED,
                "two framings of the body",
            )
        # The parser only limits heads that arrive in several segments.
        size = _head_bytes(event)
        if size > self._timer.limit(_max_header_bytes):
            raise RequestRefusedError(
                _HEAD_TOO_LARGE,
                RefusalReason.HEAD_TOO_LARGE,
                "the head is too large",
            )
        self._head = _decode_head(event, arrived_ms)
        if not self._state.guard.admits_fields(len(names)):
            raise RequestRefusedError(
                _UNAVAILABLE,
                RefusalReason.MANY_FIELDS,
                "too many fields at the moment",
            )
        self.hold(HeldKind.HEAD, size + len(names) * _FIELD_BYTES)
        self._begin_body(self._head, _declared_bytes(event))

    def add(self, event: h11.Data) -> None:
        """Adds a part of the body.

        Raises:
            RequestRefusedError: If it exceeds a limit.
        """
        body = self._body
        body.add(event.data, begins_chunk=event.chunk_start)
        self._check_size(body.size)
        if body.fragmented and self._state.guard.limited:
            raise RequestRefusedError(
                _BAD_REQUEST,
                RefusalReason.SMALL_CHUNKS,
                "the chunks are too small",
            )
        self.hold(HeldKind.BODY, body.reserved)

    def take_window(self) -> bool:
        """Ends a window of time; returns whether enough bytes arrived in it."""
        return self._body.take_window()

    def complete(self) -> HttpRequest:
        """Returns the request, whose bytes are held until `release`."""
        assert self._head is not None
        request = dataclasses.replace(self._head, body=self._body.take())
        self._head = None
        return request

    def release(self) -> None:
        """Releases what is held for the latest request."""
        self._head = None
        self._body = BodyBuffer(0, self._state.guard.clients)
        guard = self._state.guard
        guard.hold(self._account, HeldKind.HEAD, 0)
        guard.hold(self._account, HeldKind.BODY, 0)
        self._account.workspace = None

    def _begin_body(self, head: HttpRequest, declared: int | None) -> None:
        """Prepares for a body of a known length, or in chunks."""
        self._check_size(declared or 0)
        if declared is None or declared > _ORDINARY_BODY_BYTES:
            self._account.workspace = self._state.workspace(head)
        self._body = BodyBuffer(declared, self._state.guard.clients)
        self.hold(HeldKind.BODY, self._body.reserved)

    def _check_size(self, size: int) -> None:
        if size > self._timer.limit(_max_body_bytes):
            raise RequestRefusedError(
                _TOO_LARGE,
                RefusalReason.BODY_TOO_LARGE,
                "the body is too large",
            )


def _decode_head(event: h11.Request, arrived_ms: int) -> HttpRequest:
    return HttpRequest(
        method=bytes(event.method),
        target=bytes(event.target),
        headers=tuple(
            (bytes(name), bytes(value))
            for name, value in event.headers.raw_items()
        ),
        body=b"",
        arrived_ms=arrived_ms,
    )


def _declared_bytes(head: h11.Request) -> int | None:
    """Returns the length of the body; None if it arrives in chunks."""
    for name, value in head.headers:
        if name == b"transfer-encoding":
            return None
        if name == b"content-length":
            return int(value)
    return 0


def _head_bytes(head: h11.Request) -> int:
    lines = sum(
        len(name) + len(value) + _LINE_BYTES for name, value in head.headers
    )
    return len(head.method) + len(head.target) + lines


def _max_header_bytes(limits: RequestLimits) -> int:
    return limits.max_header_bytes


def _max_body_bytes(limits: RequestLimits) -> int:
    return limits.max_body_bytes

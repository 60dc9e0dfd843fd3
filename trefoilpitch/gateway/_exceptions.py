"""Errors of the request path."""

from __future__ import annotations

from trefoilpitch.retries import FailureKind


class GatewayError(Exception):
    """Base of the errors of this package."""


class ExchangeError(GatewayError):
    """A request to another process failed.

    Args:
        kind: How it failed.
        detail: What was seen, for logs.
    """

    def __init__(self, kind: FailureKind, detail: str) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail


class CallerDisconnectedError(GatewayError):
    """The caller has closed its connection."""


class PeerReplyError(GatewayError):
    """Another daemon's answer can't be read."""


class BadRequestError(GatewayError):
    """A caller's request can't be read.

    Args:
        status: The HTTP status that says so.
        detail: What is wrong.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail

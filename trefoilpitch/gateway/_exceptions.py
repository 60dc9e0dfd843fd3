"""Exceptions of the request path."""

from __future__ import annotations

from trefoilpitch.retries import FailureKind

# Details may quote what another process has sent.
_MAX_DETAIL_CHARS = 300


class GatewayError(Exception):
    """Base class of this package's exceptions."""


class ExchangeError(GatewayError):
    """An HTTP exchange with another process failed.

    Args:
        kind: How it failed.
        detail: Description for logs; only its start is kept.
    """

    def __init__(self, kind: FailureKind, detail: str) -> None:
        detail = detail[:_MAX_DETAIL_CHARS]
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail

    def copy(self) -> ExchangeError:
        """Returns one to raise, if this one is kept.

        An exception that is raised refers to the frames that it has passed, and
        to all that they hold.
        """
        return ExchangeError(self.kind, self.detail)


class CallerDisconnectedError(GatewayError):
    """The caller has closed its connection."""


class PeerReplyError(GatewayError):
    """A reply of a peer daemon cannot be decoded."""


class BadRequestError(GatewayError):
    """A caller's request cannot be decoded.

    Args:
        status: The HTTP status of the response.
        detail: What is wrong, for logs.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail

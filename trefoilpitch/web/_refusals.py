"""What the HTTP server refuses before the application sees it."""

from __future__ import annotations

from typing import Any

import waitress.parser
import waitress.utilities

from trefoilpitch.web._problems import Outcome, Problem

_KEY_FIELD = b"idempotency-key"
_KEY_NAME = "IDEMPOTENCY_KEY"
_BAD_REQUEST = 400
# Code and title by the HTTP status.
_KINDS = {
    400: ("malformed-request", "the request is not valid HTTP"),
    413: ("body-too-large", "the body is too large"),
    431: ("headers-too-large", "the header fields are too large"),
    500: ("internal", "the request failed for a fault of this VM"),
    501: ("unknown-transfer-coding", "the transfer coding is not known"),
}


class Parser(waitress.parser.HTTPRequestParser):  # type: ignore[misc]
    """Notes whether a request that it refuses carries a key."""

    has_key = False

    def received(self, data: bytes) -> int:
        """Takes bytes in; returns how many of them belong to the request."""
        in_head = self.body_rcv is None
        head = self.header_plus
        consumed: int = super().received(data)
        if self.error is not None:
            self.has_key = _KEY_NAME in self.headers
            if in_head:
                # The fields after the faulty one were not taken in.
                self.has_key |= _KEY_FIELD in (head + data).lower()
        return consumed


def refusal_of(request: Any) -> Problem:
    """Returns the problem that a request of the server's parser ends in.

    Args:
        request: The request, whose error is set.
    """
    error = request.error
    status = error.code if error.code in _KINDS else _BAD_REQUEST
    code, title = _KINDS[status]
    return Problem(
        status=status,
        code=code,
        title=title,
        detail=str(error.body),
        outcome=_outcome(request),
    )


def _outcome(request: Any) -> Outcome:
    """Returns what is known of a refused request.

    One that failed within the application may have run, and so may an
    earlier one with the same key.
    """
    if isinstance(request.error, waitress.utilities.InternalServerError):
        return Outcome.UNKNOWN
    return Outcome.UNKNOWN if request.has_key else Outcome.NOT_RUN

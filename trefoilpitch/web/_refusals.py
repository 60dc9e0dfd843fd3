"""Requests that the HTTP server refuses before the application."""

from __future__ import annotations

from typing import Any

import waitress.parser
import waitress.utilities

from trefoilpitch.web._problems import Outcome, Problem

_KEY_HEADER_BYTES = b"idempotency-key"
_KEY_HEADER = "IDEMPOTENCY_KEY"
_BAD_REQUEST = 400
# Problem code and title by HTTP status.
_PROBLEMS_BY_STATUS = {
    400: ("malformed-request", "the request is not valid HTTP"),
    413: ("body-too-large", "the body is too large"),
    431: ("headers-too-large", "the header fields are too large"),
    500: ("internal", "the request failed for a fault of this VM"),
    501: ("unknown-transfer-coding", "the transfer coding is not known"),
}


class Parser(waitress.parser.HTTPRequestParser):  # type: ignore[misc]
    """Detects whether a refused request has an idempotency key."""

    has_key = False

    def received(self, data: bytes) -> int:
        """Parses bytes; returns how many of them belong to the request."""
        in_head = self.body_rcv is None
        head = self.header_plus
        consumed: int = super().received(data)
        if self.error is not None:
            self.has_key = _KEY_HEADER in self.headers
            if in_head:
                # The header fields after the malformed one are not parsed,
                # so the raw bytes are searched for the key.
                self.has_key |= _KEY_HEADER_BYTES in (head + data).lower()
        return consumed


def refusal_problem(request: Any) -> Problem:
    """Returns the problem that describes why a request was refused.

    Args:
        request: A request of :class:`Parser` whose error is set.
    """
    error = request.error
    status = error.code if error.code in _PROBLEMS_BY_STATUS else _BAD_REQUEST
    code, title = _PROBLEMS_BY_STATUS[status]
    return Problem(
        status=status,
        code=code,
        title=title,
        detail=str(error.body),
        outcome=_outcome(request),
    )


def _outcome(request: Any) -> Outcome:
    """Returns whether a refused request may have run.

    A request that failed inside the application may have run. So may an
    earlier request with the same idempotency key.
    """
    if isinstance(request.error, waitress.utilities.InternalServerError):
        return Outcome.UNKNOWN
    return Outcome.UNKNOWN if request.has_key else Outcome.NOT_RUN

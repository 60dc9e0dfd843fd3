"""Errors of requests to upstreams.

Each error states whether the request can have run (``Execution``), which
decides whether it may be retried. The class names are values of the
``result`` label of the metric ``trefoilpitch_upstream_requests``.
"""

from __future__ import annotations

from typing import ClassVar

from trefoilpitch.retries import Execution


class UpstreamError(Exception):
    """A request that did not end in a complete, successful response.

    Args:
        upstream: The upstream's name.
        detail: What was observed; for logs.
        execution: Whether the request ran; the class's default if None.
        retry_after_ms: Delay that the upstream requested, from Retry-After.
    """

    default_execution: ClassVar[Execution] = Execution.UNKNOWN

    def __init__(
        self,
        upstream: str,
        detail: str,
        *,
        execution: Execution | None = None,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(f"{upstream}: {detail}")
        self._upstream = upstream
        self._detail = detail
        self._execution = execution or self.default_execution
        self._retry_after_ms = retry_after_ms

    @property
    def upstream(self) -> str:
        """The upstream's name."""
        return self._upstream

    @property
    def detail(self) -> str:
        """What was observed; for logs."""
        return self._detail

    @property
    def execution(self) -> Execution:
        """Whether the request ran, as far as the failure shows."""
        return self._execution

    @property
    def retry_after_ms(self) -> int | None:
        """Delay that the upstream requested; None if it named none."""
        return self._retry_after_ms


class InvalidRequestError(UpstreamError):
    """The request is not valid HTTP or is too large; nothing was sent."""

    default_execution = Execution.NOT_RUN


class ConnectError(UpstreamError):
    """No connection could be established, so nothing was sent."""

    default_execution = Execution.NOT_RUN


class PoolExhaustedError(UpstreamError):
    """All connections to the upstream are in use, so nothing was sent."""

    default_execution = Execution.NOT_RUN


class RefusedError(UpstreamError):
    """The upstream refused the request and marked it as not run."""

    default_execution = Execution.NOT_RUN


class OverloadedError(UpstreamError):
    """An overload or gateway status that leaves execution unknown.

    The response has status 408, 429, 502, 503 or 504 and does not say
    whether the request ran.
    """


class ErrorReplyError(UpstreamError):
    """The upstream sent a complete response that reports an error.

    Args:
        upstream: The upstream's name.
        detail: What was observed; for logs.
        status: The HTTP status of the response.
        body: The body of the response.
    """

    default_execution = Execution.RAN

    def __init__(
        self, upstream: str, detail: str, *, status: int, body: bytes = b""
    ) -> None:
        super().__init__(upstream, detail)
        self._status = status
        self._body = body

    @property
    def status(self) -> int:
        """The HTTP status of the response."""
        return self._status

    @property
    def body(self) -> bytes:
        """The body of the response."""
        return self._body


class DeadlineExceededError(UpstreamError):
    """The deadline or a phase timeout passed before the response ended."""


class CancelledError(UpstreamError):
    """The caller cancelled the request before its response ended."""


class IncompleteReplyError(UpstreamError):
    """The response is truncated or malformed."""


class MismatchedReplyError(UpstreamError):
    """The response echoes another request identifier or model version."""


class ReplyTooLargeError(UpstreamError):
    """The response exceeds the limit on its size."""


class ResumeError(UpstreamError):
    """A response could not be resumed.

    Its execution is always unknown: the error of the attempt to resume says
    nothing about the original request, which may have run.

    Args:
        cause: Why the attempt to resume failed.
    """

    def __init__(self, cause: UpstreamError) -> None:
        super().__init__(
            cause.upstream, cause.detail, retry_after_ms=cause.retry_after_ms
        )
        self._cause = cause

    @property
    def cause(self) -> UpstreamError:
        """Why the attempt to resume failed."""
        return self._cause


class ResponseGoneError(ResumeError):
    """The engine no longer holds the response that was to be resumed."""


class StaleFencingError(UpstreamError):
    """The engine has seen a higher fencing number and rejects the order."""

    default_execution = Execution.NOT_RUN

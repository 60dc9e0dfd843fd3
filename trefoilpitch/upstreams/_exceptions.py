"""Failures of upstreams, each with what it proves about execution."""

from __future__ import annotations

from typing import ClassVar

from trefoilpitch.retries import Execution


class UpstreamError(Exception):
    """A request that did not end in a whole answer.

    Args:
        upstream: The upstream's name.
        detail: What was observed, for people.
        execution: What the failure proves; the class's default if absent.
        retry_after_ms: How long the upstream asks to be left alone.
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
        """What was observed, for people."""
        return self._detail

    @property
    def execution(self) -> Execution:
        """What the failure proves about execution."""
        return self._execution

    @property
    def retry_after_ms(self) -> int | None:
        """How long the upstream asks to be left alone, if it says so."""
        return self._retry_after_ms


class InvalidRequestError(UpstreamError):
    """The request cannot be sent as HTTP or is too large; nothing was sent."""

    default_execution = Execution.NOT_RUN


class ConnectError(UpstreamError):
    """No connection was made, so no byte was sent."""

    default_execution = Execution.NOT_RUN


class PoolExhaustedError(UpstreamError):
    """All connections to the upstream are in use, so no byte was sent."""

    default_execution = Execution.NOT_RUN


class RefusedError(UpstreamError):
    """The upstream refused the request and says that it did not run it."""

    default_execution = Execution.NOT_RUN


class OverloadedError(UpstreamError):
    """The upstream is overloaded and does not say whether it ran anything."""


class ErrorReplyError(UpstreamError):
    """The upstream sent a whole reply that reports an error.

    Args:
        upstream: The upstream's name.
        detail: What was observed, for people.
        status: The HTTP status of the reply.
        body: The body of the reply.
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
        """The HTTP status of the reply."""
        return self._status

    @property
    def body(self) -> bytes:
        """The body of the reply."""
        return self._body


class DeadlineExceededError(UpstreamError):
    """Time ran out while the request was under way."""


class CancelledError(UpstreamError):
    """The caller cancelled the request while it was under way."""


class IncompleteReplyError(UpstreamError):
    """The reply ended early, or what arrived is not a valid reply."""


class MismatchedReplyError(UpstreamError):
    """The reply belongs to another request or another version."""


class ReplyTooLargeError(UpstreamError):
    """The reply exceeds the limit on its size."""


class ResumeError(UpstreamError):
    """An answer could not be resumed.

    Whatever stood in the way of attaching again proves nothing about the
    request itself, which may have run.

    Args:
        cause: What stood in the way.
    """

    def __init__(self, cause: UpstreamError) -> None:
        super().__init__(
            cause.upstream, cause.detail, retry_after_ms=cause.retry_after_ms
        )
        self._cause = cause

    @property
    def cause(self) -> UpstreamError:
        """What stood in the way."""
        return self._cause


class ResponseGoneError(ResumeError):
    """The engine does not hold the answer that was to be resumed."""


class StaleFencingError(UpstreamError):
    """The engine has seen a higher fencing number and ignores the order."""

    default_execution = Execution.NOT_RUN

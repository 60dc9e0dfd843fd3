"""Problem documents (RFC 9457)."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

PROBLEM_TYPE = "application/problem+json"
_MS_PER_S = 1_000


class Outcome(enum.Enum):
    """What is known about a request that got no successful response."""

    # It is proven that no part of it ran on any upstream.
    NOT_RUN = "not_run"
    # It may have run on an upstream.
    UNKNOWN = "unknown"
    # It ran, and its response cannot be delivered.
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """A refusal or a failure, as reported to the caller."""

    status: int
    # Machine-readable name of the kind of problem, in kebab case.
    code: str
    # What happened, as one line of text.
    title: str
    # What the caller can do about it.
    detail: str = ""
    # None if the problem arises outside request handling.
    outcome: Outcome | None = None
    # Delay before a retry, in milliseconds; None if a retry is no use.
    retry_after_ms: int | None = None
    # Empty if the failure has no request id.
    request_id: str = ""

    @property
    def retry_after_s(self) -> int | None:
        """The retry delay in whole seconds, rounded up."""
        if self.retry_after_ms is None:
            return None
        return max(1, -(-self.retry_after_ms // _MS_PER_S))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Document:
    type: str
    title: str
    status: int
    code: str
    detail: str
    outcome: str | None
    request_id: str
    retry_after_ms: int | None


def encode_problem(problem: Problem) -> bytes:
    """Returns a problem as a JSON document."""
    outcome = problem.outcome.value if problem.outcome else None
    document = _Document(
        type=f"urn:trefoilpitch:problem:{problem.code}",
        title=problem.title,
        status=problem.status,
        code=problem.code,
        detail=problem.detail,
        outcome=outcome,
        request_id=problem.request_id,
        retry_after_ms=problem.retry_after_ms,
    )
    return msgspec.json.encode(document)

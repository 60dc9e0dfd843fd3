"""Problem documents as RFC 9457 describes them."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

PROBLEM_TYPE = "application/problem+json"
_MS_PER_S = 1_000


class Outcome(enum.Enum):
    """What is known about a request that got no answer."""

    # Nothing of it ran on any upstream; proven.
    NOT_RUN = "not_run"
    # It may have run.
    UNKNOWN = "unknown"
    # It ran, and its answer cannot be delivered.
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """A refusal or a failure, as the caller sees it."""

    # The HTTP status.
    status: int
    # Short name of the kind of problem, for programs.
    code: str
    # What happened, in one line.
    title: str
    # What the caller can do about it.
    detail: str = ""
    # What is known about the request; None outside request handling.
    outcome: Outcome | None = None
    # When a retry is worth while, in milliseconds; None where it is not.
    retry_after_ms: int | None = None
    # The request that failed.
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

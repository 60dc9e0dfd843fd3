"""Counts of what became of the requests to one upstream."""

from __future__ import annotations

import collections
import dataclasses
import threading

from trefoilpitch.retries import Execution
from trefoilpitch.upstreams._exceptions import UpstreamError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailureCount:
    """How often requests failed in one way."""

    # Name of the class of the error.
    kind: str
    # What the failures proved about execution.
    execution: Execution
    # How often.
    count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientStats:
    """What a client has done since it was made, and what it holds now."""

    # The upstream's name.
    upstream: str
    # Connections in use, each by one request.
    connections_in_use: int
    # Connections kept to be used again.
    connections_idle: int
    # Connections made so far.
    connections_opened: int
    # Requests that ended in a whole answer or reply.
    successes: int
    # Requests that failed, by kind and what that proved.
    failures: tuple[FailureCount, ...]


class OutcomeCounter:
    """Counts outcomes; safe to use from many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._successes = 0
        self._failures: collections.Counter[tuple[str, Execution]] = (
            collections.Counter()
        )

    @property
    def successes(self) -> int:
        """Requests that ended in a whole answer or reply."""
        return self._successes

    @property
    def failures(self) -> tuple[FailureCount, ...]:
        """Requests that failed, by kind and what that proved."""
        with self._lock:
            counts = list(self._failures.items())
        return tuple(
            FailureCount(kind=kind, execution=execution, count=count)
            for (kind, execution), count in counts
        )

    def record_success(self) -> None:
        """Counts a whole answer or reply."""
        with self._lock:
            self._successes += 1

    def record_failure(self, error: UpstreamError) -> None:
        """Counts a failure."""
        with self._lock:
            self._failures[type(error).__name__, error.execution] += 1

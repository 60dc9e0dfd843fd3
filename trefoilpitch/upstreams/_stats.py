"""Counts the outcomes of the requests to one upstream."""

from __future__ import annotations

import collections
import dataclasses
import threading

from trefoilpitch.retries import Execution
from trefoilpitch.upstreams._exceptions import UpstreamError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailureCount:
    """The number of failures of one kind."""

    # Class name of the error; exported as the ``result`` label of a metric.
    kind: str
    # Whether the requests ran, as far as the failures show.
    execution: Execution
    count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientStats:
    """Counts since the client was created, and its current connections."""

    # The upstream's name.
    upstream: str
    # Connections in use, each by one request.
    connections_in_use: int
    # Idle connections in the pool.
    connections_idle: int
    # Connections opened so far.
    connections_opened: int
    # Requests that ended in a complete response.
    successes: int
    # Failed requests by error class and execution.
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
        """Requests that ended in a complete response."""
        return self._successes

    @property
    def failures(self) -> tuple[FailureCount, ...]:
        """Failed requests by error class and execution."""
        with self._lock:
            counts = list(self._failures.items())
        return tuple(
            FailureCount(kind=kind, execution=execution, count=count)
            for (kind, execution), count in counts
        )

    def record_success(self) -> None:
        """Counts a complete response."""
        with self._lock:
            self._successes += 1

    def record_failure(self, error: UpstreamError) -> None:
        """Counts a failed request."""
        with self._lock:
            self._failures[type(error).__name__, error.execution] += 1

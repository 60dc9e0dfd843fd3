"""The work of one request at the upstreams that it is sent to."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._work_tracking import (
    RequestCost,
    TrackedAttempt,
    WorkTracker,
)

# Tokens that one event of a stream holds.
_TOKENS_PER_EVENT = 10
_OK = 200


class RequestWork:
    """Tracks the attempts of one request.

    Args:
        tracker: Estimates costs and remaining work.
        load: Estimates the number of requests at an upstream.
        cost: Returns what the cost of the request depends on as it runs now.
        clock: Provides monotonic time.
        permitted_pause_ms: Longest pause between the events of its response;
            0 for no limit.
    """

    def __init__(
        self,
        tracker: WorkTracker,
        load: Callable[[str], int],
        cost: Callable[[], RequestCost],
        clock: Clock,
        permitted_pause_ms: int,
    ) -> None:
        self._tracker = tracker
        self._load = load
        self._cost = cost
        self._clock = clock
        self._permitted_pause_ms = permitted_pause_ms
        # Monotonic time of the last part of the response.
        self._last_ms = 0
        # The last attempt at each upstream.
        self._attempts: dict[str, TrackedAttempt] = {}

    @contextlib.contextmanager
    def counted(self, entry: UpstreamEntry) -> Iterator[None]:
        """Counts the work of an attempt at its upstream."""
        upstream_id = entry.upstream_id
        attempt = self._tracker.begin(
            entry, self._cost(), self._load(upstream_id)
        )
        self._attempts[upstream_id] = attempt
        try:
            yield
        finally:
            self._tracker.end(attempt)

    def responded(self, entry: UpstreamEntry, started_ms: int) -> None:
        """Records the first part of a response.

        Args:
            entry: The upstream.
            started_ms: Monotonic time when the request was sent.
        """
        attempt = self._attempts.get(entry.upstream_id)
        if attempt is not None:
            attempt.started_ms = started_ms
            self._last_ms = self._clock.now_ms()
            self._tracker.responded(attempt, self._load(entry.upstream_id))

    def events_arrived(self, entry: UpstreamEntry, count: int) -> None:
        """Records events of a stream after the first part."""
        now_ms = self._clock.now_ms()
        if self._permitted_pause_ms > 0:
            pause_ms = now_ms - self._last_ms
            self._tracker.record_pause(
                entry.upstream_id, pause_ms / self._permitted_pause_ms
            )
        self._last_ms = now_ms
        attempt = self._attempts.get(entry.upstream_id)
        if attempt is not None:
            attempt.ticket.events += count

    def completed(self, entry: UpstreamEntry, status: int) -> None:
        """Learns from a complete response."""
        attempt = self._attempts.get(entry.upstream_id)
        if attempt is not None and status == _OK:
            tokens = attempt.ticket.events * _TOKENS_PER_EVENT
            self._tracker.complete(attempt, tokens)

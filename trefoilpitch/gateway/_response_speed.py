"""Judges whether one response is slow, as evidence on its version."""

from __future__ import annotations

from collections.abc import Callable

from trefoilpitch.gateway._health import ExpectedLatencies
from trefoilpitch.gateway._rollouts import ResponseQuality

# Events after the first ones over which the pace of a stream is measured.
_PACE_EVENTS = 8


class ResponseSpeed:
    """Compares one response with what is expected of its kind.

    It is slow if its first part, or its pace from then on, takes several times
    as long as expected. That is evidence as soon as the time is over, whether
    or not the response arrives later: quick responses are evidence before slow
    ones, and the slowest are given up.

    Args:
        latencies: Expected latencies and paces.
        latency_key: Kind of request for the first part.
        pace_key: Kind of request for the time per event.
        started_ms: Monotonic time when the request was sent.
        record: Called at most once, as soon as the quality is known.
    """

    def __init__(
        self,
        latencies: ExpectedLatencies,
        *,
        latency_key: str,
        pace_key: str,
        started_ms: int,
        record: Callable[[ResponseQuality], None],
    ) -> None:
        self._latencies = latencies
        self._latency_key = latency_key
        self._pace_key = pace_key
        self._started_ms = started_ms
        self._record = record
        self._recorded = False
        # Monotonic time of the first part; None until it has arrived.
        self._first_ms: int | None = None
        # Events since then.
        self._events = 0

    @property
    def due_ms(self) -> float | None:
        """Monotonic time from which on it is slow without a first part."""
        slow_after_ms = self._latencies.slow_after_ms(self._latency_key)
        if slow_after_ms is None:
            return None
        return self._started_ms + slow_after_ms

    def first_part_arrived(self, now_ms: int) -> None:
        """Judges the first part of the response."""
        self._first_ms = now_ms
        latency_ms = now_ms - self._started_ms
        if self._latencies.is_slow(self._latency_key, latency_ms):
            self._record_once(ResponseQuality.SLOW)

    def events_arrived(self, count: int, now_ms: int) -> None:
        """Judges the pace of a stream once enough events have arrived.

        Args:
            count: Number of new events.
            now_ms: The monotonic time.
        """
        if self._first_ms is None or self._events >= _PACE_EVENTS:
            return
        self._events += count
        if self._events < _PACE_EVENTS:
            return
        pace_ms = (now_ms - self._first_ms) / self._events
        slow = self._latencies.is_slow_pace(self._pace_key, pace_ms)
        self._latencies.record(self._pace_key, pace_ms)
        self._record_once(
            ResponseQuality.SLOW if slow else ResponseQuality.GOOD
        )

    def completed(self) -> None:
        """Records a response that is complete or was replaced in time."""
        if self._first_ms is not None:
            self._record_once(ResponseQuality.GOOD)

    def check_wait(self) -> None:
        """Judges a response whose first part is due: see `due_ms`."""
        if self._first_ms is None:
            self._record_once(ResponseQuality.SLOW)

    def _record_once(self, quality: ResponseQuality) -> None:
        if not self._recorded:
            self._recorded = True
            self._record(quality)

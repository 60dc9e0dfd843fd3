"""Judges whether one response is slow, as evidence on its version."""

from __future__ import annotations

from collections.abc import Callable

from trefoilpitch.gateway._health import ExpectedLatencies
from trefoilpitch.gateway._paces import MeasuredPace
from trefoilpitch.gateway._rollouts import ResponseQuality

# Events after the first ones over which the pace of a stream is measured, and
# the least that do if it ends before.
_PACE_EVENTS = 8
_MIN_PACE_EVENTS = 4


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
        record_pace: Called at most once, for a stream of enough events.
        load: Returns the number of requests at the upstream.
    """

    def __init__(
        self,
        latencies: ExpectedLatencies,
        *,
        latency_key: str,
        pace_key: str,
        started_ms: int,
        record: Callable[[ResponseQuality], None],
        record_pace: Callable[[MeasuredPace], None],
        load: Callable[[], int],
    ) -> None:
        self._latencies = latencies
        self._latency_key = latency_key
        self._pace_key = pace_key
        self._started_ms = started_ms
        self._record = record
        self._recorded = False
        self._record_pace = record_pace
        self._load = load
        # Monotonic time of the first part; None until it has arrived. Load of
        # the upstream then.
        self._first_ms: int | None = None
        self._first_load = 0
        # Events since then, and monotonic time of the last one.
        self._events = 0
        self._last_ms = 0

    @property
    def due_ms(self) -> float | None:
        """Monotonic time from which on it is slow without a first part."""
        slow_after_ms = self._latencies.slow_after_ms(self._latency_key)
        if slow_after_ms is None:
            return None
        return self._started_ms + slow_after_ms

    def first_part_arrived(self, now_ms: int) -> None:
        """Judges the first part of the response."""
        self._first_ms = self._last_ms = now_ms
        self._first_load = self._load()
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
        self._last_ms = now_ms
        if self._events < _PACE_EVENTS:
            return
        pace_ms = self._measure_pace()
        slow = self._latencies.is_slow_pace(self._pace_key, pace_ms)
        self._latencies.record(self._pace_key, pace_ms)
        self._record_once(
            ResponseQuality.SLOW if slow else ResponseQuality.GOOD
        )

    def completed(self) -> None:
        """Records a response that is complete or was replaced in time."""
        if self._first_ms is not None:
            self._record_once(ResponseQuality.GOOD)

    def ended(self) -> None:
        """Records the pace of a stream of few events, however it has ended."""
        if _MIN_PACE_EVENTS <= self._events < _PACE_EVENTS:
            self._measure_pace()

    def check_wait(self) -> None:
        """Judges a response whose first part is due: see `due_ms`."""
        if self._first_ms is None:
            self._record_once(ResponseQuality.SLOW)

    def _measure_pace(self) -> float:
        assert self._first_ms is not None
        pace_ms = (self._last_ms - self._first_ms) / self._events
        self._record_pace(
            MeasuredPace(
                key=self._pace_key,
                pace_ms=pace_ms,
                load=(self._first_load + self._load()) / 2,
            )
        )
        return pace_ms

    def _record_once(self, quality: ResponseQuality) -> None:
        if not self._recorded:
            self._recorded = True
            self._record(quality)

"""Counters and latency histograms of one process."""

from __future__ import annotations

import dataclasses
import threading
from typing import TYPE_CHECKING, TypeAlias

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from prometheus_client.registry import Collector

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_MS = 1_000
_PERCENTILES = (50.0, 95.0, 99.0)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Label:
    """A dimension of a counter and its value."""

    # The dimension's name.
    name: str
    # Its value.
    value: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LatencySummary:
    """Percentiles of one latency, in milliseconds."""

    # Number of recorded values.
    count: int
    # Median.
    p50_ms: float
    # 95th percentile.
    p95_ms: float
    # 99th percentile.
    p99_ms: float
    # Largest value.
    max_ms: float


Series: TypeAlias = tuple[str, tuple[Label, ...]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MetricsSnapshot:
    """All values at one moment."""

    # Counters by name and labels.
    counters: dict[Series, int]
    # Gauges by name.
    gauges: dict[str, float]
    # Latencies by name.
    latencies: dict[str, LatencySummary]


class Metrics:
    """Counts events and records latencies; safe for use by many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: dict[Series, int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, HdrHistogram] = {}
        self._included: list[Collector] = []

    def include(self, collector: Collector) -> None:
        """Renders another collector's metrics as well."""
        self._included.append(collector)

    def count(self, name: str, *labels: Label, by: int = 1) -> None:
        """Adds to a counter.

        Args:
            name: The counter, without namespace and without ``_total``.
            *labels: Dimensions; always the same ones for the same counter.
            by: What to add.
        """
        series = (name, labels)
        with self._lock:
            self._counters[series] = self._counters.get(series, 0) + by

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a value that may go up and down."""
        with self._lock:
            self._gauges[name] = value

    def observe_ms(self, name: str, value_ms: float) -> None:
        """Records one latency, in milliseconds."""
        value_us = max(_LOWEST_US, int(value_ms * _US_PER_MS))
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = _create_histogram()
                self._histograms[name] = histogram
            histogram.record_value(min(value_us, _HIGHEST_US))

    def counters(self) -> dict[str, int]:
        """Returns every counter by its name and labels."""
        with self._lock:
            counted = dict(self._counters)
        return {_series_name(series): counted[series] for series in counted}

    def latencies(self) -> dict[str, LatencySummary]:
        """Returns the percentiles of every latency."""
        with self._lock:
            return {
                name: _summarise(histogram)
                for name, histogram in self._histograms.items()
            }

    def render(self) -> bytes:
        """Returns everything in the Prometheus text format."""
        # The library takes a seventh of a daemon's start and a fifth of its
        # memory; most daemons are never asked.
        from trefoilpitch.metrics._exposition import (  # noqa: PLC0415
            render_metrics,
        )

        return render_metrics(self.snapshot(), self._included)

    def snapshot(self) -> MetricsSnapshot:
        """Returns all values at this moment."""
        with self._lock:
            counters = dict(self._counters)
            gauges = dict(self._gauges)
        return MetricsSnapshot(
            counters=counters, gauges=gauges, latencies=self.latencies()
        )


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)


def _series_name(series: Series) -> str:
    name, labels = series
    if not labels:
        return name
    shown = ",".join(f"{label.name}={label.value}" for label in labels)
    return f"{name}{{{shown}}}"


def _summarise(histogram: HdrHistogram) -> LatencySummary:
    p50, p95, p99 = (
        histogram.get_value_at_percentile(percentile) / _US_PER_MS
        for percentile in _PERCENTILES
    )
    return LatencySummary(
        count=histogram.get_total_count(),
        p50_ms=p50,
        p95_ms=p95,
        p99_ms=p99,
        max_ms=histogram.get_max_value() / _US_PER_MS,
    )

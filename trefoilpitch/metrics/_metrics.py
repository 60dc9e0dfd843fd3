"""Counters, gauges and latency histograms of one process."""

from __future__ import annotations

import dataclasses
import threading
from typing import TYPE_CHECKING, TypeAlias

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from prometheus_client.registry import Collector

# Range of the histograms: 1 microsecond to 1 hour. Values outside are clamped.
_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_MS = 1_000
_PERCENTILES = (50.0, 95.0, 99.0)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Label:
    """A label of a counter: its name and value."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LatencySummary:
    """Summary of one latency histogram, in milliseconds."""

    # Number of recorded values.
    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


# A counter's name and its labels, which together identify a time series.
Series: TypeAlias = tuple[str, tuple[Label, ...]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MetricsSnapshot:
    """All values at one point in time."""

    counters: dict[Series, int]
    # By metric name.
    gauges: dict[str, float]
    # By metric name.
    latencies: dict[str, LatencySummary]


class Metrics:
    """A thread-safe registry of counters, gauges and latency histograms."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: dict[Series, int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, HdrHistogram] = {}
        self._included: list[Collector] = []

    def include(self, collector: Collector) -> None:
        """Adds a collector whose metrics `render` includes."""
        self._included.append(collector)

    def count(self, name: str, *labels: Label, by: int = 1) -> None:
        """Increments a counter.

        Args:
            name: The counter, without the namespace and the suffix ``_total``.
            *labels: Its labels; a counter must always have the same ones.
            by: The increment.
        """
        series = (name, labels)
        with self._lock:
            self._counters[series] = self._counters.get(series, 0) + by

    def set_gauge(self, name: str, value: float) -> None:
        """Sets the current value of a gauge."""
        with self._lock:
            self._gauges[name] = value

    def observe_ms(self, name: str, value_ms: float) -> None:
        """Records a value in the latency histogram of that name."""
        value_us = max(_LOWEST_US, int(value_ms * _US_PER_MS))
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = _create_histogram()
                self._histograms[name] = histogram
            histogram.record_value(min(value_us, _HIGHEST_US))

    def counters(self) -> dict[str, int]:
        """Returns all counters, keyed as ``name{label=value,...}``."""
        with self._lock:
            counters = dict(self._counters)
        return {_series_name(series): counters[series] for series in counters}

    def latencies(self) -> dict[str, LatencySummary]:
        """Returns summaries of all latency histograms by name."""
        with self._lock:
            return {
                name: _summarise(histogram)
                for name, histogram in self._histograms.items()
            }

    def render(self) -> bytes:
        """Renders all metrics in the Prometheus text format."""
        # Imported lazily: the library takes a seventh of a daemon's start-up
        # time and a fifth of its memory, and most daemons are never scraped.
        from trefoilpitch.metrics._exposition import (  # noqa: PLC0415
            render_metrics,
        )

        return render_metrics(self.snapshot(), self._included)

    def snapshot(self) -> MetricsSnapshot:
        """Returns a copy of all current values."""
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

"""Counters, gauges and latency histograms with Prometheus exposition."""

from trefoilpitch.metrics._metrics import Label, LatencySummary, Metrics

__all__ = ["Label", "LatencySummary", "Metrics"]

"""Counters and latencies, for Prometheus and for the state dump."""

from trefoilpitch.metrics._metrics import Label, LatencySummary, Metrics

__all__ = ["Label", "LatencySummary", "Metrics"]

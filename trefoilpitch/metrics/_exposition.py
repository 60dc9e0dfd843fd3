"""Renders metrics in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from trefoilpitch.metrics._metrics import (
    LatencySummary,
    MetricsSnapshot,
    Series,
)

_MS_PER_S = 1_000
_NAMESPACE = "trefoilpitch"


class _SnapshotCollector(Collector):
    """Exposes a snapshot as Prometheus metric families."""

    def __init__(self, snapshot: MetricsSnapshot) -> None:
        self._snapshot = snapshot

    def collect(self) -> Iterator[Metric]:
        """Yields all metric families; called by the Prometheus registry."""
        yield from _counter_families(self._snapshot.counters)
        for name, value in self._snapshot.gauges.items():
            yield GaugeMetricFamily(_qualified_name(name), name, value=value)
        for name, summary in self._snapshot.latencies.items():
            yield _summary_family(name, summary)


def render_metrics(
    snapshot: MetricsSnapshot, included: Iterable[Collector]
) -> bytes:
    """Renders a snapshot, together with the metrics of other collectors.

    Args:
        snapshot: The values to render.
        included: Additional collectors.
    """
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_SnapshotCollector(snapshot))
    for collector in included:
        registry.register(collector)
    return generate_latest(registry)


def _qualified_name(name: str) -> str:
    return f"{_NAMESPACE}_{name}"


def _counter_families(counters: dict[Series, int]) -> Iterator[Metric]:
    families: dict[str, CounterMetricFamily] = {}
    for (name, labels), value in sorted(counters.items()):
        family = families.get(name)
        if family is None:
            names = [label.name for label in labels]
            family = CounterMetricFamily(
                _qualified_name(name), name, labels=names
            )
            families[name] = family
        family.add_metric([label.value for label in labels], value)
    yield from families.values()


def _summary_family(name: str, summary: LatencySummary) -> Metric:
    family = SummaryMetricFamily(_qualified_name(name) + "_seconds", name)
    quantiles = {
        "0.5": summary.p50_ms,
        "0.95": summary.p95_ms,
        "0.99": summary.p99_ms,
    }
    for quantile, value_ms in quantiles.items():
        family.add_sample(
            _qualified_name(name) + "_seconds",
            {"quantile": quantile},
            value_ms / _MS_PER_S,
        )
    count_name = _qualified_name(name) + "_seconds_count"
    family.add_sample(count_name, {}, summary.count)
    return family

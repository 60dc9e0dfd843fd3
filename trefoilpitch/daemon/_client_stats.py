"""Exports the counters of upstream clients as Prometheus metrics."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from trefoilpitch.upstreams import ClientStats

_PREFIX = "trefoilpitch_upstream"
_SUCCEEDED = "success"


class ClientStatsCollector(Collector):
    """Yields one set of series for each upstream that the node tracks.

    A counter restarts at 0 when its upstream is removed and tracked again.

    Args:
        read_stats: Returns the counters of each client.
    """

    def __init__(
        self, read_stats: Callable[[], tuple[ClientStats, ...]]
    ) -> None:
        self._read_stats = read_stats

    def collect(self) -> Iterator[Metric]:
        """Yields every metric; called by the Prometheus library."""
        stats = self._read_stats()
        yield _connections(stats)
        yield _opened(stats)
        yield _requests(stats)


def _connections(stats: tuple[ClientStats, ...]) -> Metric:
    family = GaugeMetricFamily(
        f"{_PREFIX}_connections",
        "Connections to an upstream.",
        labels=["upstream", "state"],
    )
    for one in stats:
        family.add_metric([one.upstream, "in_use"], one.connections_in_use)
        family.add_metric([one.upstream, "idle"], one.connections_idle)
    return family


def _opened(stats: tuple[ClientStats, ...]) -> Metric:
    family = CounterMetricFamily(
        f"{_PREFIX}_connections_opened",
        "Connections made to an upstream.",
        labels=["upstream"],
    )
    for one in stats:
        family.add_metric([one.upstream], one.connections_opened)
    return family


def _requests(stats: tuple[ClientStats, ...]) -> Metric:
    family = CounterMetricFamily(
        f"{_PREFIX}_requests",
        "Requests to an upstream by result and what it says of execution.",
        labels=["upstream", "result", "execution"],
    )
    for one in stats:
        succeeded = [one.upstream, _SUCCEEDED, "ran"]
        family.add_metric(succeeded, one.successes)
        for failure in one.failures:
            execution = failure.execution.value
            failed = [one.upstream, failure.kind, execution]
            family.add_metric(failed, failure.count)
    return family

"""Adaptive concurrency limits of upstreams."""

from __future__ import annotations

from trefoilpitch.bundle import Upstream
from trefoilpitch.coldstart import WorkOutcome
from trefoilpitch.limits import (
    ConcurrencyLimit,
    LimitSettings,
    concurrency_limit,
)

# Latencies are raised to this value, because shorter ones do not indicate
# the load of an upstream.
LATENCY_FLOOR_MS = 200


class AdaptiveConcurrency:
    """A concurrency limit for each upstream; guarded by the directory's lock.

    The upstream's capacity is both the initial and the highest limit.
    """

    def __init__(self) -> None:
        self._limits: dict[str, ConcurrencyLimit] = {}

    def limit(self, upstream: Upstream) -> int:
        """Returns the number of requests that may be in flight."""
        return self._current(upstream).requests

    def finished(
        self,
        upstream: Upstream,
        outcome: WorkOutcome,
        latency_ms: int | None,
        in_flight: int,
    ) -> None:
        """Records how a request ended."""
        settings = LimitSettings(max_limit=upstream.capacity)
        current = self._current(upstream)
        if outcome is WorkOutcome.REFUSED:
            self._limits[upstream.name] = current.failed(settings)
        elif latency_ms is not None:
            latency_ms = max(latency_ms, LATENCY_FLOOR_MS)
            self._limits[upstream.name] = current.finished(
                latency_ms, in_flight, settings
            )

    def _current(self, upstream: Upstream) -> ConcurrencyLimit:
        existing = self._limits.get(upstream.name)
        return existing or concurrency_limit(upstream.capacity)

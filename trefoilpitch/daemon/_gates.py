"""Bounds on the work that the node runs on each upstream."""

from __future__ import annotations

from trefoilpitch.bundle import Upstream
from trefoilpitch.coldstart import WorkOutcome
from trefoilpitch.limits import (
    ConcurrencyLimit,
    LimitSettings,
    concurrency_limit,
)

# Latencies below this one are all alike: they tell nothing about the load.
LATENCY_FLOOR_MS = 200


class AdaptiveConcurrency:
    """Adapts the concurrency of each upstream; the directory's lock guards it.

    The first limit is the upstream's capacity, and so is the highest.
    """

    def __init__(self) -> None:
        self._limits: dict[str, ConcurrencyLimit] = {}

    def limit(self, upstream: Upstream) -> int:
        """Returns the requests that may run at once."""
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
        known = self._limits.get(upstream.name)
        return known or concurrency_limit(upstream.capacity)

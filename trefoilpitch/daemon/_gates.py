"""Bounds on the work that the node runs on each upstream."""

from __future__ import annotations

from trefoilpitch.bundle import Upstream
from trefoilpitch.limits import ConcurrencyLimit, concurrency_limit


class AdaptiveConcurrency:
    """Adapts the concurrency of each upstream; the directory's lock guards it.

    The first limit is the upstream's capacity.
    """

    def __init__(self) -> None:
        self._limits: dict[str, ConcurrencyLimit] = {}

    def limit(self, upstream: Upstream) -> int:
        """Returns the requests that may run at once."""
        return self._current(upstream).requests

    def finished(
        self, upstream: Upstream, *, succeeded: bool, latency_ms: int
    ) -> None:
        """Records how a request ended."""
        del latency_ms
        if not succeeded:
            self._limits[upstream.name] = self._current(upstream).failed()

    def _current(self, upstream: Upstream) -> ConcurrencyLimit:
        known = self._limits.get(upstream.name)
        return known or concurrency_limit(upstream.capacity)


class NoColdStarts:
    """Treats every upstream as warm."""

    def allowance(self, upstream: str) -> int | None:
        """Returns None: there is no bound."""
        del upstream
        return None

    def started(self, upstream: str) -> None:
        """Does nothing."""

    def finished(self, upstream: str, *, succeeded: bool) -> None:
        """Does nothing."""

"""A simulated fleet whose upstreams announce how many requests they take."""

from __future__ import annotations

import dataclasses
from collections import defaultdict

from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway import LoadReport
from trefoilpitch.gateway.tests.brittle_fleet import (
    BrittleFleet,
    BrittleLoad,
    SimulatedRequest,
)

# Any time of this length may see one and a half times the limit, and some more.
_WINDOW_MS = 4_000
_FACTOR = 1.5
_SLACK = 5
# Time after the first announcement from which that holds, and time after it has
# heard the announcement from which a daemon's requests count.
_CONTACT_MS = 3_000
_HEARD_MS = 500
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitedLoad(BrittleLoad):
    """The traffic and the upstreams of a play."""

    # Requests a second that an upstream takes from all daemons together.
    limit_per_s: float
    # Share of the upstreams that announce it, and from when until when.
    limited_share: float = 1.0
    limited_ms: tuple[int, int] = (2_000, 14_000)


class LimitedFleet(BrittleFleet):
    """Plays a load on a fleet.

    Args:
        load: The traffic and the upstreams.
        seed: Determines all that happens.
    """

    def __init__(self, load: LimitedLoad, seed: int) -> None:
        super().__init__(load, seed, falls=False)
        self._limits = load
        limited = round(load.limited_share * load.upstreams)
        self._limited = set(list(self._upstreams)[:limited])
        # Time and daemon of each request that reached an upstream.
        self.arrivals: defaultdict[str, list[tuple[int, int]]] = defaultdict(
            list
        )
        # When a daemon first heard an upstream's announcement.
        self._heard_ms: dict[tuple[str, int], int] = {}

    def excess(self) -> float:
        """Returns by how many requests the worst time exceeds what it may."""
        load = self._limits
        from_ms, until_ms = load.limited_ms
        allowed = _FACTOR * load.limit_per_s * _WINDOW_MS / _MS_PER_S + _SLACK
        worst = -allowed
        for upstream_id in self._limited:
            counted = [
                time_ms
                for time_ms, daemon in self.arrivals[upstream_id]
                if self._counts(upstream_id, daemon, time_ms)
            ]
            for end_ms in counted:
                if from_ms + _CONTACT_MS <= end_ms < until_ms:
                    start_ms = end_ms - _WINDOW_MS
                    number = sum(start_ms < t <= end_ms for t in counted)
                    worst = max(worst, number - allowed)
        return worst

    def arrived_at_limited(self, from_ms: int, until_ms: int) -> int:
        """Returns how many requests reached limited upstreams in a time."""
        return sum(
            from_ms <= time_ms < until_ms
            for upstream_id in self._limited
            for time_ms, _ in self.arrivals[upstream_id]
        )

    def _counts(self, upstream_id: str, daemon: int, time_ms: int) -> bool:
        heard_ms = self._heard_ms.get((upstream_id, daemon))
        return heard_ms is not None and time_ms >= heard_ms + _HEARD_MS

    def _reach(self, request: SimulatedRequest, entry: UpstreamEntry) -> None:
        arrival = self._clock.now_ms(), request.daemon
        self.arrivals[entry.upstream_id].append(arrival)
        super()._reach(request, entry)

    def _hear(
        self, daemon: int, entry: UpstreamEntry, report: LoadReport
    ) -> None:
        now_ms = self._clock.now_ms()
        from_ms, until_ms = self._limits.limited_ms
        limited = (
            entry.upstream_id in self._limited and from_ms <= now_ms < until_ms
        )
        if limited:
            self._heard_ms.setdefault((entry.upstream_id, daemon), now_ms)
        dispatcher = self._dispatchers[daemon]
        dispatcher.rate_limits.announce(
            entry, self._limits.limit_per_s if limited else None
        )
        dispatcher.record_load(entry, report)

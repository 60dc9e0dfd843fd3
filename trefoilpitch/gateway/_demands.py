"""The demand of all daemons for each service.

Load pattern: callers come to a few daemons, or move between them, and requests
are shorter than the interval of heartbeats. The requests in flight and waiting
at one moment say little about the next second; their average does.

A daemon uses its own demand as its last heartbeat has reported it, so that all
daemons compute the shares from the same figures.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping

from trefoilpitch.clock import Clock
from trefoilpitch.gateway._room_shares import expected_demands

# Demands are collected again after this time: heartbeats are further apart.
_REFRESH_MS = 100
# Time constant of the average.
_AVERAGE_MS = 1_000
# Least average that counts as a demand of one.
_LEAST_DEMAND = 0.25


class FleetDemands:
    """Averages this daemon's demand and collects that of the others.

    Args:
        clock: Provides monotonic time.
        own_name: Name of this VM.
        members: Returns the names of all daemons that may be running.
        peers_demand: Returns the demands for a service that other daemons
            have reported, by name.
        own_demand: Returns this daemon's requests in flight and waiting now,
            by service.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        own_name: str,
        members: Callable[[], Collection[str]],
        peers_demand: Callable[[str], Mapping[str, int]],
        own_demand: Callable[[], Mapping[str, int]],
    ) -> None:
        self._clock = clock
        self._own_name = own_name
        self._members = members
        self._peers_demand = peers_demand
        self._own_demand = own_demand
        # This daemon's averages by service, and their monotonic time.
        self._averages: dict[str, float] = {}
        self._averaged_ms = clock.now_ms()
        # What the last heartbeat has reported; None before the first one.
        self._reported: dict[str, int] | None = None
        # By service: monotonic time of the collection, and the demands.
        self._collected: dict[str, tuple[int, Mapping[str, int]]] = {}

    @property
    def reported(self) -> Mapping[str, int]:
        """What the last heartbeat has reported, by service."""
        return self._reported or {}

    def report(self) -> dict[str, int]:
        """Returns this daemon's demand by service, for a heartbeat."""
        self._update_averages()
        counts = {
            service: math.ceil(average - _LEAST_DEMAND)
            for service, average in self._averages.items()
        }
        self._reported = {s: count for s, count in counts.items() if count}
        return self._reported

    def of_service(self, service: str) -> Mapping[str, int]:
        """Returns the demands of all daemons for a service, by name.

        This daemon's is one at least: it has a request to send.
        """
        now_ms = self._clock.now_ms()
        known = self._collected.get(service)
        if known is not None and now_ms - known[0] < _REFRESH_MS:
            return known[1]
        self._update_averages()
        heard = dict(self._peers_demand(service))
        if self._reported is not None:
            heard[self._own_name] = max(1, self._reported.get(service, 0))
        demands = expected_demands({*self._members(), self._own_name}, heard)
        self._collected[service] = now_ms, demands
        return demands

    def _update_averages(self) -> None:
        now_ms = self._clock.now_ms()
        kept = math.exp((self._averaged_ms - now_ms) / _AVERAGE_MS)
        self._averaged_ms = now_ms
        demand = self._own_demand()
        averages = {
            service: kept * self._averages.get(service, 0.0)
            + (1.0 - kept) * demand.get(service, 0)
            for service in {*self._averages, *demand}
        }
        self._averages = {s: a for s, a in averages.items() if a > 0.01}

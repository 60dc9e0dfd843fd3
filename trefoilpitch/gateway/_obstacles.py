"""Why an upstream cannot get a request at the moment.

Load pattern: upstreams fail, fill up, start cold or ask for less, each in a way
that this daemon learns from responses or from peers. What holds a request back
for the moment does not take the upstream out of service.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from trefoilpitch.fleet import CachedUpstream, FleetView, UpstreamEntry
from trefoilpitch.gateway._demands import FleetDemands
from trefoilpitch.gateway._health import UpstreamHealth
from trefoilpitch.gateway._rate_limits import RateLimits
from trefoilpitch.gateway._rejections import RejectionLimits
from trefoilpitch.gateway._upstream_notices import UpstreamNotices
from trefoilpitch.gateway._work_tracking import RequestCost, WorkTracker

# Requests per slot at which an upstream gets no further requests.
_FULL_LOAD = 3.0


class Obstacle(enum.Enum):
    """Why an upstream cannot get a request at the moment."""

    # This daemon could not connect to it.
    UNREACHABLE = "unreachable"
    # Several requests in a row failed.
    FAILING = "failing"
    # It asked for a pause.
    PAUSED = "paused"
    # This daemon's share of the rate that it takes is used up.
    RATE_LIMITED = "at the rate limit"
    SATURATED = "saturated"
    # Its memory has no room for the prompt.
    OUT_OF_MEMORY = "out of token memory"
    # It is cold, and this daemon's share of its requests is used up.
    COLD = "cold"


class UpstreamObstacles:
    """Examines upstreams for one request.

    Args:
        view: Local copy of the shared fleet state.
        notices: Pauses that upstreams have asked for.
        rejections: Limits of rejections that upstreams have announced.
        rate_limits: Limits of requests that upstreams have announced.
        work: Estimates the memory that requests need.
        demands: The demand of all daemons.
        health: Returns the health record of an upstream.
        load: Estimates the load that all daemons put on an upstream.
        is_relayed: Returns whether peers relay the requests to an upstream.
        has_quota: Returns whether an upstream is warm, or may get another
            request although it is cold.
    """

    def __init__(
        self,
        view: FleetView,
        *,
        notices: UpstreamNotices,
        rejections: RejectionLimits,
        rate_limits: RateLimits,
        work: WorkTracker,
        demands: FleetDemands,
        health: Callable[[str], UpstreamHealth],
        load: Callable[[str], int],
        is_relayed: Callable[[UpstreamEntry], bool],
        has_quota: Callable[[CachedUpstream, int], bool],
    ) -> None:
        self._view = view
        self._notices = notices
        self._rejections = rejections
        self._rate_limits = rate_limits
        self._work = work
        self._demands = demands
        self._health = health
        self._load = load
        self._is_relayed = is_relayed
        self._has_quota = has_quota

    def of(
        self, cached: CachedUpstream, now_ms: int, cost: RequestCost
    ) -> Obstacle | None:
        """Returns the first obstacle of an upstream; None if it has none.

        Args:
            cached: The upstream.
            now_ms: The monotonic time.
            cost: Expected cost of the request.
        """
        entry = cached.entry
        if not self._rate_limits.allows(entry):
            return Obstacle.RATE_LIMITED
        if self._notices.paused_until_ms(entry) > now_ms:
            return Obstacle.PAUSED
        ejection = self._ejection(entry, now_ms)
        if ejection is not None:
            return ejection
        if self._is_saturated(entry):
            return Obstacle.SATURATED
        if not self._work.has_memory(
            entry, cost, self._memory_tokens(entry.service)
        ):
            return Obstacle.OUT_OF_MEMORY
        return None if self._has_quota(cached, now_ms) else Obstacle.COLD

    def available_ms(self, entry: UpstreamEntry, now_ms: int) -> int:
        """Returns when an upstream may be available; `now_ms` if unknown."""
        return max(
            now_ms,
            self._health(entry.upstream_id).ejected_until_ms,
            self._notices.paused_until_ms(entry),
        )

    def _ejection(self, entry: UpstreamEntry, now_ms: int) -> Obstacle | None:
        health = self._health(entry.upstream_id)
        if not health.is_ejected(now_ms):
            return None
        if not health.unreachable:
            return Obstacle.FAILING
        return None if self._is_relayed(entry) else Obstacle.UNREACHABLE

    def _is_saturated(self, entry: UpstreamEntry) -> bool:
        load = self._load(entry.upstream_id)
        return load >= _FULL_LOAD * entry.slots or self._may_be_rejected(
            entry, load
        )

    def _may_be_rejected(self, entry: UpstreamEntry, load: int) -> bool:
        """Returns whether a brittle upstream might have no room."""
        rejections = self._rejections
        if rejections.limit_per_s(entry.service, entry.upstream_id) is None:
            return False
        return not rejections.allows(
            entry.service,
            entry.upstream_id,
            slots=entry.slots,
            in_flight=self._health(entry.upstream_id).in_flight,
            load=load,
            demands=self._demands.of_service(entry.service),
        )

    def _memory_tokens(self, service: str) -> int | None:
        configuration = self._view.configuration
        known = configuration.services.get(service) if configuration else None
        return known.memory_tokens if known else None

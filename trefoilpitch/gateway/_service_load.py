"""What a daemon knows of the load of a service.

Load pattern: capacity is scarce, and the load changes within a second: waves,
bursts, upstreams that leave or return. A daemon sees its own requests at once
and those of its peers as of their last heartbeats.
"""

from __future__ import annotations

import dataclasses
import math
from collections import Counter
from collections.abc import Callable, Collection, Mapping

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import FleetView
from trefoilpitch.gateway._dispatcher import Dispatcher

# Time constant of the rates: short relative to a wave of 11 s, long enough for
# some twenty completions at a busy daemon.
_RATE_MS = 1_000.0
# Time for which a rate derived from all upstreams counts beside the daemon's
# own completions, which are few at a daemon with little to do.
_PRIOR_MS = 500.0
# Completions, weighted by their age, that a forecast needs.
_MIN_COMPLETIONS = 2.0
# Weight of one request in the mean time that requests take.
_MEAN_WEIGHT = 0.05
# How long a description is used; it takes a look at each upstream.
_REFRESH_MS = 100
# Requests per slot that all daemons together have in flight while capacity is
# scarce. What exceeds the slots waits at upstreams, where it keeps slots busy
# that daemons do not know to be free; the rest waits in the daemons, where it
# can still go to any upstream by urgency, or be refused.
PLACES_PER_SLOT = 1.5
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceLoad:
    """The load of a service as one daemon sees it."""

    # Monotonic time of the description.
    measured_ms: int
    # Requests that its available upstreams run concurrently.
    capacity: int
    # Estimated requests of all daemons at these upstreams.
    in_flight: int
    # Requests that this daemon may have in flight; None for no limit.
    share: int | None
    # Places that this daemon's requests get in a second while requests wait; 0
    # if unknown.
    places_per_s: float
    # Requests that came to this daemon in the last second, by priority.
    arrivals_per_s: Mapping[int, float]

    @property
    def is_half_free(self) -> bool:
        """Whether under half of the capacity is in use."""
        return 2 * self.in_flight < self.capacity


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Usable:
    """The upstreams of a service that may get requests now."""

    # Of those that are not cold: slots, and estimated requests of all daemons.
    slots: int
    in_flight: int
    # Cold ones have their own limits, and are not scarce for long.
    any_cold: bool
    # Requests a second that this daemon may send to those that have announced
    # a rate limit, which do not count among the others.
    limited_per_s: float

    @property
    def are_all_limited(self) -> bool:
        """Whether nothing but rate limits decides on the next places."""
        return self.limited_per_s > 0 and not (self.slots or self.any_cold)


class _Rate:
    """Events in a second, where older ones count exponentially less."""

    def __init__(self, now_ms: int) -> None:
        self._count = 0.0
        self._started_ms = now_ms
        self._counted_ms = now_ms

    def add(self, now_ms: int) -> None:
        self._count = self.weight(now_ms) + 1.0
        self._counted_ms = now_ms

    def weight(self, now_ms: int) -> float:
        """Returns the number of events, weighted by their age."""
        elapsed_ms = now_ms - self._counted_ms
        return self._count * math.exp(-elapsed_ms / _RATE_MS)

    def window_ms(self, now_ms: int) -> float:
        """Returns the time that the number refers to."""
        elapsed_ms = now_ms - self._started_ms
        return _RATE_MS * (1.0 - math.exp(-elapsed_ms / _RATE_MS))

    def per_s(self, now_ms: int) -> float:
        window_ms = max(_RATE_MS / 10, self.window_ms(now_ms))
        return _MS_PER_S * self.weight(now_ms) / window_ms


class _Traffic:
    """Rates of one service at this daemon."""

    def __init__(self, now_ms: int) -> None:
        self.completions = _Rate(now_ms)
        self.arrivals: dict[int, _Rate] = {}
        # Mean time that a request is in flight; None before the first one.
        self.mean_ms: float | None = None
        self.description: ServiceLoad | None = None


class ServiceLoads:
    """Describes the load of the services.

    Args:
        view: Local copy of the shared fleet state.
        dispatcher: Knows the upstreams' health and load.
        clock: Provides monotonic time.
        peer_demands: Returns what the peers have in flight and waiting for a
            service, by peer, as of their last heartbeats.
    """

    def __init__(
        self,
        view: FleetView,
        dispatcher: Dispatcher,
        clock: Clock,
        peer_demands: Callable[[str], Collection[int]],
    ) -> None:
        self._view = view
        self._dispatcher = dispatcher
        self._clock = clock
        self._peer_demands = peer_demands
        self._traffic: dict[str, _Traffic] = {}

    def record_arrival(self, service: str, priority: int) -> None:
        """Records a request that needs a place."""
        now_ms = self._clock.now_ms()
        arrivals = self._traffic_of(service).arrivals
        arrivals.setdefault(priority, _Rate(now_ms)).add(now_ms)

    def record_completion(self, service: str, duration_ms: int) -> None:
        """Records a request that has left its upstream after running."""
        traffic = self._traffic_of(service)
        traffic.completions.add(self._clock.now_ms())
        if traffic.mean_ms is None:
            traffic.mean_ms = duration_ms
        else:
            traffic.mean_ms += _MEAN_WEIGHT * (duration_ms - traffic.mean_ms)

    def own_in_flight(self, service: str) -> int:
        """Returns this daemon's requests in flight."""
        return sum(
            self._dispatcher.health(upstream_id).in_flight
            for upstream_id, cached in self._view.upstreams.items()
            if cached.entry.service == service
        )

    def describe(self, service: str, waiting: Counter[int]) -> ServiceLoad:
        """Describes a service's load.

        Args:
            service: The service.
            waiting: This daemon's waiting requests, by priority.
        """
        now_ms = self._clock.now_ms()
        traffic = self._traffic_of(service)
        known = traffic.description
        if known is not None and now_ms - known.measured_ms < _REFRESH_MS:
            return known
        usable = self._usable(service, now_ms)
        demand = self.own_in_flight(service) + waiting.total()
        total = demand + sum(self._peer_demands(service))
        part = demand / max(1, total)
        places = PLACES_PER_SLOT * usable.slots
        scarce = 0 < places < total and not usable.any_cold
        traffic.description = ServiceLoad(
            measured_ms=now_ms,
            capacity=usable.slots,
            in_flight=usable.in_flight,
            share=max(1, round(places * part)) if scarce else None,
            places_per_s=usable.limited_per_s
            if usable.are_all_limited
            else self._places_per_s(traffic, usable.in_flight, part),
            arrivals_per_s={
                priority: rate.per_s(now_ms)
                for priority, rate in traffic.arrivals.items()
            },
        )
        return traffic.description

    def _usable(self, service: str, now_ms: int) -> _Usable:
        """Returns what the service's available upstreams offer."""
        slots = in_flight = 0
        any_cold = False
        limited_per_s = 0.0
        for upstream_id, cached in self._view.upstreams.items():
            entry = cached.entry
            if (
                entry.service != service
                or self._dispatcher.health(upstream_id).is_ejected(now_ms)
                or not self._dispatcher.may_send(entry)
            ):
                continue
            if now_ms < cached.cold_until_ms:
                any_cold = True
                continue
            own_rate_per_s = self._dispatcher.rate_limits.own_rate_per_s(entry)
            if own_rate_per_s is not None:
                limited_per_s += own_rate_per_s
                continue
            slots += entry.slots
            in_flight += self._dispatcher.load(upstream_id)
        return _Usable(
            slots=slots,
            in_flight=in_flight,
            any_cold=any_cold,
            limited_per_s=limited_per_s,
        )

    def _places_per_s(
        self, traffic: _Traffic, in_flight: int, part: float
    ) -> float:
        """Returns the rate of places for this daemon.

        Args:
            traffic: What the daemon has measured.
            in_flight: Requests of all daemons in flight.
            part: Its part of the requests in flight and waiting.
        """
        if traffic.mean_ms is None:
            return 0.0
        now_ms = self._clock.now_ms()
        if traffic.completions.weight(now_ms) < _MIN_COMPLETIONS:
            return 0.0
        # By Little's law.
        prior = in_flight / max(1.0, traffic.mean_ms) * part
        weight = traffic.completions.weight(now_ms)
        window_ms = traffic.completions.window_ms(now_ms)
        per_ms = (weight + prior * _PRIOR_MS) / (window_ms + _PRIOR_MS)
        return _MS_PER_S * per_ms

    def _traffic_of(self, service: str) -> _Traffic:
        traffic = self._traffic.get(service)
        if traffic is None:
            traffic = _Traffic(self._clock.now_ms())
            self._traffic[service] = traffic
        return traffic

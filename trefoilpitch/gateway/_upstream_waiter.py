"""Lets requests wait for an upstream, or refuses them at once.

Load pattern: capacity is scarce, and requests wait for it in the daemons, where
each free place can still be given to the most urgent of them. Waiting takes no
polling by each request.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import random
from collections import Counter, defaultdict
from collections.abc import Callable

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._admission_forecast import (
    Forecast,
    Refuse,
    Tolerance,
    decide,
    forecast,
)
from trefoilpitch.gateway._dispatcher import NoUpstream
from trefoilpitch.gateway._service_load import ServiceLoad, ServiceLoads
from trefoilpitch.gateway._waiting import (
    WaitingQueue,
    WaitingRequest,
    WaitTerms,
)
from trefoilpitch.gateway._workspace_rates import WorkspaceRates

# How often places are offered besides when a request ends here: upstreams also
# become free by other daemons' requests, or as their ejection ends.
_OFFER_INTERVAL_MS = 20
# The same for each choice that an offer takes, so that a long queue costs no
# more.
_OFFER_INTERVAL_PER_CHOICE_MS = 2
# Fraction of the time to begin in time after which a refusal harms a caller.
# The decision to wait is reviewed then, for the last time.
_REVIEW_SHARE = 0.125
_MS_PER_S = 1_000
_OTHERS_WAIT = NoUpstream(
    reason="others wait for an upstream", available_in_ms=0
)
_SHARE_IN_USE = NoUpstream(
    reason="this daemon's share of the capacity is in use", available_in_ms=0
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotInTime(NoUpstream):
    """A request is refused because its wait would be too long."""

    # The forecast; None if there was none when its time was up.
    expected: Forecast | None
    # Whether its workspace sends far more than usual.
    excess: bool


class UpstreamWaiter:
    """The waiting requests of a daemon, by service.

    Args:
        clock: Provides monotonic time.
        loads: Describes the load of services; None for no forecasts.
        rng: Spreads the times at which refused callers come back.
    """

    def __init__(
        self,
        clock: Clock,
        loads: ServiceLoads | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._loads = loads
        self._rng = rng or random.Random(0)
        self._queues: dict[str, WaitingQueue[UpstreamEntry | NoUpstream]] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._workspaces: dict[str, WorkspaceRates] = {}
        # By service, priority and whether requests are in excess.
        self._tolerances: defaultdict[tuple[str, int, bool], Tolerance] = (
            defaultdict(Tolerance)
        )

    def waiting(self) -> dict[str, int]:
        """Returns the number of waiting requests by service."""
        return {service: len(queue) for service, queue in self._queues.items()}

    def record_completion(self, service: str, duration_ms: int) -> None:
        """Records a request that has run at an upstream."""
        if self._loads is not None:
            self._loads.record_completion(service, duration_ms)

    async def wait(
        self,
        service: str,
        choose: Callable[[], UpstreamEntry | NoUpstream],
        terms: WaitTerms,
    ) -> UpstreamEntry | NoUpstream:
        """Returns an upstream at once, or after waiting for one.

        If it is known that none will be available in time, it does not wait,
        unless the response is in progress: it cannot be refused any more, and
        upstreams may start before its deadline.

        Args:
            service: The service.
            choose: Chooses an upstream, or says why there is none.
            terms: When the request gets a place, and until when it may wait.
        """
        terms = self._record_arrival(service, terms)
        choose = functools.partial(self._choose_within_share, service, choose)
        found: UpstreamEntry | NoUpstream = _OTHERS_WAIT
        if not self._offer_place(service):
            found = choose()
        if not isinstance(found, NoUpstream):
            return found
        available_in_ms = found.available_in_ms
        hopeless = (
            available_in_ms is None
            or self._clock.now_ms() + available_in_ms >= terms.latest_begin_ms
        )
        if hopeless and not terms.started:
            return found
        refusal = self._review(service, terms, waits=False)
        if refusal is not None:
            return refusal
        return await self._wait_for_place(service, choose, terms, found)

    def offer_places(self, service: str) -> None:
        """Gives a service's free places to the requests that wait for it.

        One in each turn of the loop, as it counts at its upstream only once the
        request has been resumed.
        """
        if self._offer_place(service):
            asyncio.get_running_loop().call_soon(self.offer_places, service)

    def _offer_place(self, service: str) -> bool:
        queue = self._queues.get(service)
        return queue is not None and queue.offer_place(self._clock.now_ms())

    def _choose_within_share(
        self, service: str, choose: Callable[[], UpstreamEntry | NoUpstream]
    ) -> UpstreamEntry | NoUpstream:
        if self._loads is None:
            return choose()
        share = self._describe(service).share
        if share is not None and self._loads.own_in_flight(service) >= share:
            return _SHARE_IN_USE
        return choose()

    def _describe(self, service: str) -> ServiceLoad:
        assert self._loads is not None
        queue = self._queues.get(service)
        waiting = Counter[int]() if queue is None else queue.by_priority()
        return self._loads.describe(service, waiting)

    def _record_arrival(self, service: str, terms: WaitTerms) -> WaitTerms:
        """Returns the terms with what the workspace's rate says."""
        if self._loads is None:
            return terms
        excess = False
        if terms.workspace is not None and not terms.started:
            now_ms = self._clock.now_ms()
            rates = self._workspaces.get(service)
            if rates is None:
                rates = self._workspaces[service] = WorkspaceRates(now_ms)
            excess = rates.record(terms.workspace, now_ms)
        if not excess:
            # Those in excess overtake no others.
            self._loads.record_arrival(service, terms.priority)
        return dataclasses.replace(terms, excess=excess)

    def _review(
        self, service: str, terms: WaitTerms, *, waits: bool
    ) -> NotInTime | None:
        """Returns why a request is refused; None if it may wait.

        Args:
            service: The service.
            terms: The terms of the request.
            waits: Whether it waits already.
        """
        if self._loads is None or terms.started:
            return None
        now_ms = self._clock.now_ms()
        queue = self._queues.get(service)
        load = self._describe(service)
        ahead = 0 if queue is None else queue.count_ahead(terms)
        expected = forecast(load, terms, ahead=ahead - waits, now_ms=now_ms)
        tolerance = self._tolerances[service, terms.priority, terms.excess]
        decision = decide(
            load,
            expected,
            terms,
            self._rng,
            now_ms=now_ms,
            tolerance=1.0 if waits else tolerance.share(now_ms),
        )
        if not isinstance(decision, Refuse):
            return None
        tolerance.record_refused(now_ms)
        return NotInTime(
            reason="no place is expected before the deadline",
            available_in_ms=decision.retry_after_ms,
            expected=expected,
            excess=terms.excess,
        )

    async def _wait_for_place(
        self,
        service: str,
        choose: Callable[[], UpstreamEntry | NoUpstream],
        terms: WaitTerms,
        found: NoUpstream,
    ) -> UpstreamEntry | NoUpstream:
        """Waits until the request has a place, or is refused.

        Args:
            service: The service.
            choose: Chooses an upstream, or says why there is none.
            terms: The terms of the request.
            found: Why it has no place yet.
        """
        loop = asyncio.get_running_loop()
        granted: asyncio.Future[UpstreamEntry | NoUpstream]
        granted = loop.create_future()

        def choose_place() -> UpstreamEntry | None:
            if granted.done():
                # It gave up waiting or its caller left a moment ago.
                return None
            place = choose()
            return None if isinstance(place, NoUpstream) else place

        def end(refusal: NoUpstream | None) -> None:
            if refusal is not None and not granted.done():
                granted.set_result(refusal)

        def review() -> None:
            if not granted.done():
                end(self._review(service, terms, waits=True))

        def end_unless_forecast() -> None:
            # A refusal now harms more than the late response that it waits for.
            if self._loads is None and not terms.started:
                end(found)

        queue = self._queues.setdefault(service, WaitingQueue())
        ticket = queue.add(
            WaitingRequest(
                terms=terms,
                choose=choose_place,
                grant=granted.set_result,
            )
        )
        self._start_timer(service)
        now_ms = self._clock.now_ms()
        in_time_ms = max(0, terms.latest_begin_ms - now_ms)
        with contextlib.ExitStack() as timers:
            for delay_ms, action in (
                (_REVIEW_SHARE * in_time_ms, review),
                (in_time_ms, end_unless_forecast),
                (
                    max(0, terms.until_ms - now_ms),
                    functools.partial(end, found),
                ),
            ):
                timer = loop.call_later(delay_ms / _MS_PER_S, action)
                timers.callback(timer.cancel)
            timers.callback(queue.remove, ticket)
            return await granted

    def _start_timer(self, service: str) -> None:
        if service in self._timers:
            return
        interval_ms = max(
            _OFFER_INTERVAL_MS,
            _OFFER_INTERVAL_PER_CHOICE_MS * self._queues[service].groups,
        )
        loop = asyncio.get_running_loop()
        self._timers[service] = loop.call_later(
            interval_ms / _MS_PER_S, self._on_timer, service
        )

    def _on_timer(self, service: str) -> None:
        del self._timers[service]
        self.offer_places(service)
        if len(self._queues[service]):
            self._start_timer(service)
        else:
            del self._queues[service]

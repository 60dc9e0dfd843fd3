"""Lets requests wait for an upstream, or refuses them at once.

Load pattern: capacity is scarce, and requests wait for it in the daemons, where
each free place can still be given to the most urgent of them. Waiting takes no
polling by each request.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections import Counter
from collections.abc import Callable

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway._admission_control import AdmissionControl, Waiting
from trefoilpitch.gateway._admission_forecast import Forecast
from trefoilpitch.gateway._dispatcher import NoUpstream
from trefoilpitch.gateway._waiting import (
    WaitingQueue,
    WaitingRequest,
    WaitTerms,
)

# How often places are offered besides when a request ends here: upstreams also
# become free by other daemons' requests, or as their ejection ends.
_OFFER_INTERVAL_MS = 20
# The same for each choice that an offer takes, so that a long queue costs no
# more.
_OFFER_INTERVAL_PER_CHOICE_MS = 2
_MS_PER_S = 1_000
_OTHERS_WAIT = NoUpstream(
    reason="others wait for an upstream", available_in_ms=0
)
_SHARE_IN_USE = NoUpstream(
    reason="this daemon's share of the capacity is in use", available_in_ms=0
)


class UpstreamWaiter:
    """The waiting requests of a daemon, by service.

    Args:
        clock: Provides monotonic time.
        admission: Refuses requests that cannot begin in time; None to let all
            wait.
    """

    def __init__(
        self, clock: Clock, admission: AdmissionControl | None = None
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._queues: dict[str, WaitingQueue[UpstreamEntry | NoUpstream]] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def waiting(self) -> dict[str, int]:
        """Returns the number of waiting requests by service."""
        return {service: len(queue) for service, queue in self._queues.items()}

    def waiting_by_priority(self) -> dict[str, Counter[int]]:
        """Returns the number of waiting requests by service and priority."""
        return {
            service: queue.by_priority()
            for service, queue in self._queues.items()
        }

    def record_arrival(
        self, service: str, priority: int, workspace: str | None
    ) -> bool:
        """Records a caller's request.

        Returns:
            Whether it is in excess of its workspace's usual rate.
        """
        return self._admission is not None and self._admission.record_arrival(
            service, priority, workspace
        )

    def record_completion(self, service: str, duration_ms: int) -> None:
        """Records a request that has run at an upstream."""
        if self._admission is not None:
            self._admission.record_completion(service, duration_ms)

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
        choose = functools.partial(self._choose_within_share, service, choose)
        found: UpstreamEntry | NoUpstream = _OTHERS_WAIT
        if not self._offer_place(service):
            found = choose()
        if not isinstance(found, NoUpstream):
            return found
        if terms.started:
            return await self._wait_for_place(service, choose, terms, found)
        if self._is_hopeless(found, terms):
            return found
        refusal = self._refusal(service, terms, waits=False)
        if refusal is not None:
            return refusal
        return await self._wait_for_place(service, choose, terms, found)

    def _is_hopeless(self, found: NoUpstream, terms: WaitTerms) -> bool:
        """Returns whether it is known that there is no place soon.

        If the upstreams are ejected or paused for longer, the caller knows best
        how to spend the time.
        """
        if found.available_in_ms is None:
            return True
        known = found.available_in_ms > 0
        limit_ms = terms.last_review_ms if known else terms.until_ms
        return self._clock.now_ms() + found.available_in_ms >= limit_ms

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
        admission = self._admission
        if admission is not None and not admission.has_place(
            service, self._by_priority(service)
        ):
            return _SHARE_IN_USE
        return choose()

    def _by_priority(self, service: str) -> Counter[int]:
        queue = self._queues.get(service)
        return Counter() if queue is None else queue.by_priority()

    def _waiting(
        self, service: str, terms: WaitTerms, *, waits: bool
    ) -> Waiting:
        queue = self._queues.get(service)
        ahead = 0 if queue is None else queue.count_ahead(terms) - waits
        return Waiting(by_priority=self._by_priority(service), ahead=ahead)

    def _refusal(
        self, service: str, terms: WaitTerms, *, waits: bool
    ) -> NoUpstream | None:
        if self._admission is None:
            return None
        waiting = self._waiting(service, terms, waits=waits)
        return self._admission.refusal(service, terms, waiting, waits=waits)

    def _forecast(
        self, service: str, terms: WaitTerms, *, waits: bool
    ) -> Forecast | None:
        if self._admission is None:
            return None
        waiting = self._waiting(service, terms, waits=waits)
        return self._admission.forecast(service, terms, waiting)

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

        def end_if(refused: Callable[[], NoUpstream | None]) -> None:
            refusal = None if granted.done() else refused()
            if refusal is not None:
                granted.set_result(refusal)

        now_ms = self._clock.now_ms()
        expected = self._forecast(service, terms, waits=False)
        queue = self._queues.setdefault(service, WaitingQueue())
        ticket = queue.add(
            WaitingRequest(
                terms=terms,
                choose=choose_place,
                grant=granted.set_result,
            )
        )
        self._start_timer(service)
        with contextlib.ExitStack() as stack:
            stack.callback(queue.remove, ticket)
            for time_ms, refused in self._reviews(service, terms, found):
                delay_ms = max(0.0, time_ms - now_ms)
                timer = loop.call_later(delay_ms / _MS_PER_S, end_if, refused)
                stack.callback(timer.cancel)
            place = await granted
        if self._admission is not None:
            waited_ms = self._clock.now_ms() - now_ms
            self._admission.record_wait(waited_ms, expected)
        return place

    def _reviews(
        self, service: str, terms: WaitTerms, found: NoUpstream
    ) -> list[tuple[float, Callable[[], NoUpstream | None]]]:
        """Returns when a request that waits may be refused, and how."""
        end = functools.partial(self._refusal_after_wait, terms, found)
        if not terms.may_be_refused:
            return [(terms.until_ms, end)]

        def review() -> NoUpstream | None:
            if self._forecast(service, terms, waits=True) is None:
                return end()
            return self._refusal(service, terms, waits=True)

        return [(terms.last_review_ms, review), (terms.until_ms, end)]

    def _refusal_after_wait(
        self, terms: WaitTerms, found: NoUpstream
    ) -> NoUpstream:
        if self._admission is None or not terms.may_be_refused:
            return found
        return self._admission.refusal_after_wait(terms, found)

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

"""Lets requests wait for an upstream, without polling by each of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import UpstreamEntry
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


class UpstreamWaiter:
    """The waiting requests of a daemon, by service.

    Args:
        clock: Provides monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queues: dict[str, WaitingQueue[UpstreamEntry]] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def waiting(self) -> dict[str, int]:
        """Returns the number of waiting requests by service."""
        return {service: len(queue) for service, queue in self._queues.items()}

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
        self.offer_places(service)
        found = choose()
        if not isinstance(found, NoUpstream):
            return found
        available_in_ms = found.available_in_ms
        hopeless = (
            available_in_ms is None
            or self._clock.now_ms() + available_in_ms >= terms.until_ms
        )
        if hopeless and not terms.started:
            return found
        place = await self._wait_for_place(service, choose, terms)
        return found if place is None else place

    def offer_places(self, service: str) -> None:
        """Gives a service's free places to the requests that wait for it."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.offer_places(self._clock.now_ms())

    async def _wait_for_place(
        self,
        service: str,
        choose: Callable[[], UpstreamEntry | NoUpstream],
        terms: WaitTerms,
    ) -> UpstreamEntry | None:
        loop = asyncio.get_running_loop()
        granted: asyncio.Future[UpstreamEntry] = loop.create_future()

        def choose_place() -> UpstreamEntry | None:
            if granted.done():
                # It gave up waiting or its caller left a moment ago.
                return None
            found = choose()
            return None if isinstance(found, NoUpstream) else found

        queue = self._queues.setdefault(service, WaitingQueue())
        ticket = queue.add(
            WaitingRequest(
                terms=terms,
                choose=choose_place,
                grant=granted.set_result,
            )
        )
        self._start_timer(service)
        left_ms = terms.until_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0, left_ms) / _MS_PER_S):
                return await granted
        except TimeoutError:
            # The place may have been granted in the same turn.
            missed = not granted.done() or granted.cancelled()
            return None if missed else granted.result()
        finally:
            queue.remove(ticket)

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

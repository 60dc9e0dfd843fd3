"""Tests of the order in which requests wait, under its load patterns."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from trefoilpitch.clock import SystemClock
from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.fleet.tests.fakes import upstream
from trefoilpitch.gateway._dispatcher import NoUpstream
from trefoilpitch.gateway._upstream_waiter import UpstreamWaiter
from trefoilpitch.gateway._waiting import (
    WaitingQueue,
    WaitingRequest,
    WaitTerms,
)

_NOW_MS = 0
_BUSY = NoUpstream(reason="busy", available_in_ms=0)


class _Places:
    """Free places, by the version of the upstream that has them."""

    def __init__(self) -> None:
        self.free = {"v1": 0, "v2": 0}
        self.granted: list[str] = []
        self.choices = 0
        self.queue: WaitingQueue[str] = WaitingQueue()

    def offer(self) -> int:
        """Gives all free places, and returns their number."""
        count = 0
        while self.queue.offer_place(_NOW_MS):
            count += 1
        return count

    def add(
        self,
        name: str,
        *,
        priority: int = 5,
        workspace: str = "w",
        until_ms: int = 100,
        version: str = "v1",
        started: bool = False,
        **fields: object,
    ) -> int:
        def choose() -> str | None:
            self.choices += 1
            if not self.free[version]:
                return None
            self.free[version] -= 1
            return version

        return self.queue.add(
            WaitingRequest(
                terms=WaitTerms(
                    priority=priority,
                    workspace=workspace,
                    until_ms=until_ms,
                    started=started,
                    **fields,  # type: ignore[arg-type]
                ),
                choose=choose,
                grant=lambda place: self.granted.append(name),
            )
        )


def test_urgent_request_gets_the_next_place_whenever_it_came() -> None:
    places = _Places()
    for number in range(50):
        places.add(f"bulk-{number}", priority=7)
    places.add("urgent", priority=0)
    places.free["v1"] = 1
    assert places.offer() == 1
    assert places.granted == ["urgent"]
    assert len(places.queue) == 50


def test_request_that_has_to_start_first_goes_first() -> None:
    places = _Places()
    places.add("later", until_ms=300)
    places.add("sooner", until_ms=200)
    places.free["v1"] = 2
    places.offer()
    assert places.granted == ["sooner", "later"]


def test_response_in_progress_goes_before_newcomers_of_its_priority() -> None:
    places = _Places()
    places.add("urgent", priority=0)
    places.add("newcomer", until_ms=100)
    places.add("in progress", until_ms=9_000, started=True)
    places.free["v1"] = 3
    places.offer()
    assert places.granted == ["urgent", "in progress", "newcomer"]


def test_workspace_that_floods_a_service_does_not_starve_the_others() -> None:
    places = _Places()
    for number in range(200):
        places.add(f"flood-{number}", workspace="large", until_ms=100)
    for number in range(10):
        places.add(f"small-{number}", workspace="small", until_ms=500)
    for _ in range(24):
        places.free["v1"] = 1
        places.offer()
    small = [name for name in places.granted if name.startswith("small")]
    assert len(small) == 10


def test_urgent_request_with_time_left_yields_to_one_that_has_none() -> None:
    """Otherwise a short wave loses the less urgent, and nobody gains."""
    places = _Places()
    places.add("time left", priority=0, since_ms=_NOW_MS, due_ms=1_000)
    places.add("soon", priority=2, since_ms=_NOW_MS - 900, due_ms=100)
    places.free["v1"] = 2
    places.offer()
    assert places.granted == ["soon", "time left"]


def test_urgency_decides_once_all_have_to_begin_soon() -> None:
    places = _Places()
    places.add("less urgent", priority=2, since_ms=_NOW_MS - 990, due_ms=10)
    places.add("urgent", priority=0, since_ms=_NOW_MS - 600, due_ms=400)
    places.free["v1"] = 2
    places.offer()
    assert places.granted == ["urgent", "less urgent"]


def test_late_request_goes_last_until_its_deadline_is_near() -> None:
    """Served first it would make the others late as well."""
    late: dict[str, int] = {"since_ms": -2_000, "due_ms": -1_000}
    places = _Places()
    places.add("lost soon", priority=0, until_ms=100, **late)  # type: ignore[arg-type]
    places.add("late", priority=0, until_ms=9_000, **late)  # type: ignore[arg-type]
    places.add("in time", priority=2, since_ms=_NOW_MS, due_ms=500)
    places.free["v1"] = 3
    places.offer()
    assert places.granted == ["lost soon", "in time", "late"]


def test_workspace_far_over_its_usual_rate_goes_behind_all_others() -> None:
    places = _Places()
    places.add("excess", priority=0, workspace="large", excess=True)
    places.add("usual", priority=7, workspace="small")
    places.free["v1"] = 2
    places.offer()
    assert places.granted == ["usual", "excess"]


@pytest.mark.parametrize("share", ["session", "subject"])
def test_session_or_subject_with_most_requests_does_not_starve_others(
    share: str,
) -> None:
    places = _Places()
    for number in range(100):
        places.add(f"hot-{number}", **{share: "hot"})  # type: ignore[arg-type]
    places.add("none", until_ms=200)
    places.add("other", until_ms=200, **{share: "other"})  # type: ignore[arg-type]
    for _ in range(6):
        places.free["v1"] = 1
        places.offer()
    assert places.granted[-2:] == ["none", "other"]


def test_requests_for_the_same_places_cost_one_choice() -> None:
    places = _Places()
    for number in range(500):
        places.add(f"r-{number}", group=("model", False))
    places.offer()
    assert places.choices == 1
    places.free["v1"] = 2
    places.offer()
    assert places.granted == ["r-0", "r-1"]


def test_place_that_the_first_cannot_use_goes_to_the_next() -> None:
    places = _Places()
    places.add("needs-v2", priority=0, version="v2")
    places.add("needs-v1", priority=5, version="v1")
    places.free["v1"] = 1
    places.offer()
    assert places.granted == ["needs-v1"]


def test_request_that_left_gets_no_place() -> None:
    places = _Places()
    ticket = places.add("left")
    places.add("stays")
    places.queue.remove(ticket)
    places.free["v1"] = 2
    assert places.offer() == 1
    assert places.granted == ["stays"]


def test_newcomer_does_not_overtake_those_that_wait() -> None:
    async def scenario() -> None:
        clock = SystemClock()
        waiter = UpstreamWaiter(clock)
        free = 0

        def choose() -> UpstreamEntry | NoUpstream:
            nonlocal free
            if not free:
                return _BUSY
            free -= 1
            return upstream()

        async def wait(for_ms: int) -> bool:
            found = await waiter.wait(
                "s",
                choose,
                WaitTerms(
                    priority=1,
                    workspace="w",
                    until_ms=clock.now_ms() + for_ms,
                ),
            )
            return not isinstance(found, NoUpstream)

        first = asyncio.create_task(wait(5_000))
        await asyncio.sleep(0)
        assert waiter.waiting() == {"s": 1}
        free = 1
        assert not await wait(1)
        assert await first

    asyncio.run(scenario())


def test_place_is_offered_to_one_request_in_each_turn() -> None:
    """A request counts at its upstream only once its task runs again."""

    async def scenario() -> None:
        clock = SystemClock()
        waiter = UpstreamWaiter(clock)
        in_flight = 1

        def choose() -> UpstreamEntry | NoUpstream:
            return upstream() if in_flight < 1 else _BUSY

        async def run() -> bool:
            nonlocal in_flight
            until_ms = clock.now_ms() + 100
            terms = WaitTerms(priority=1, workspace="w", until_ms=until_ms)
            found = await waiter.wait("s", choose, terms)
            if isinstance(found, NoUpstream):
                return False
            in_flight += 1
            return True

        tasks = [asyncio.create_task(run()) for _ in range(5)]
        await asyncio.sleep(0)
        in_flight = 0
        waiter.offer_places("s")
        assert sum(await asyncio.gather(*tasks)) == 1

    asyncio.run(scenario())


def test_wait_ends_at_once_if_none_can_be_available_in_time() -> None:
    async def scenario() -> None:
        clock = SystemClock()
        waiter = UpstreamWaiter(clock)
        started_ms = clock.now_ms()
        for available_in_ms in (None, 5_000):
            refusal = NoUpstream(
                reason="ejected", available_in_ms=available_in_ms
            )
            found = await waiter.wait(
                "s",
                lambda refusal=refusal: refusal,  # type: ignore[misc]
                WaitTerms(
                    priority=1,
                    workspace=None,
                    until_ms=clock.now_ms() + 2_000,
                ),
            )
            assert found is refusal
        assert clock.now_ms() - started_ms < 1_000
        assert waiter.waiting() == {}

    asyncio.run(scenario())


def test_request_without_a_forecast_gives_up_while_its_caller_can_return() -> (
    None
):
    """One that may have run cannot be refused, and waits on."""

    async def scenario() -> None:
        clock = SystemClock()
        waiter = UpstreamWaiter(clock)
        free = False

        def choose() -> UpstreamEntry | NoUpstream:
            return upstream() if free else _BUSY

        async def wait(*, refusable: bool) -> UpstreamEntry | NoUpstream:
            now_ms = clock.now_ms()
            terms = WaitTerms(
                priority=1,
                workspace="w",
                until_ms=now_ms + 60_000,
                review_ms=now_ms + 20,
                refusable=refusable,
            )
            return await waiter.wait("s", choose, terms)

        may_have_run = asyncio.create_task(wait(refusable=False))
        assert isinstance(await wait(refusable=True), NoUpstream)
        assert not may_have_run.done()
        free = True
        assert isinstance(await may_have_run, UpstreamEntry)

    asyncio.run(scenario())


def test_place_is_not_given_to_a_request_whose_caller_has_just_left() -> None:
    async def scenario() -> None:
        clock = SystemClock()
        waiter = UpstreamWaiter(clock)
        free = False

        def choose() -> UpstreamEntry | NoUpstream:
            return upstream() if free else _BUSY

        terms = WaitTerms(
            priority=1, workspace="w", until_ms=clock.now_ms() + 5_000
        )
        task = asyncio.create_task(waiter.wait("s", choose, terms))
        await asyncio.sleep(0)
        free = True
        task.cancel()
        waiter.offer_places("s")
        with contextlib.suppress(asyncio.CancelledError):
            await task
        assert task.cancelled()
        assert waiter.waiting() == {"s": 0}

    asyncio.run(scenario())


def test_cost_of_a_long_queue_is_bounded_while_no_upstream_is_left() -> None:
    """Many responses in progress wait for the upstreams to start again."""

    async def scenario() -> None:
        clock = SystemClock()
        waiter = UpstreamWaiter(clock)
        choices = 0

        def choose() -> UpstreamEntry | NoUpstream:
            nonlocal choices
            choices += 1
            return NoUpstream(reason="none", available_in_ms=None)

        terms = WaitTerms(
            priority=1,
            workspace="w",
            until_ms=clock.now_ms() + 1_000,
            started=True,
        )
        waits = [waiter.wait("s", choose, terms) for _ in range(100)]
        tasks = [asyncio.create_task(wait) for wait in waits]
        await asyncio.sleep(0)
        choices = 0
        await asyncio.gather(*tasks)
        assert choices <= 600

    asyncio.run(scenario())

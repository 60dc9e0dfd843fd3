"""Following the store through its outages."""

from __future__ import annotations

import asyncio
import random

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import (
    FleetView,
    HistoryLostError,
    Item,
    ItemBatch,
    StoreUnavailableError,
)
from trefoilpitch.fleet.tests.fakes import InMemoryCodec, upstream
from trefoilpitch.gateway import _follower
from trefoilpitch.gateway._follower import StoreFollower
from trefoilpitch.gateway._peers import (
    heartbeat_interval_ms,
    silence_ms,
    watches_store,
)

_REMOVAL = ItemBatch(items=(Item(key="u", value=None, revision=9),), revision=9)
_NOTHING = ItemBatch(items=(), revision=1)
_AWAY = StoreUnavailableError("down")


class _Store:
    """Answers one scripted step a call; ends the follower after the last."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.listing: ItemBatch | Exception = _NOTHING
        self.steps: list[tuple[int, ItemBatch | Exception]] = []
        self.calls: list[tuple[str, int]] = []

    async def read_all(self) -> ItemBatch:
        self.calls.append(("list", 0))
        if isinstance(self.listing, Exception):
            raise self.listing
        return self.listing

    async def watch(self, after: int, wait_ms: int) -> ItemBatch:
        self.calls.append(("watch", wait_ms))
        if not self.steps:
            raise asyncio.CancelledError
        elapsed_ms, result = self.steps.pop(0)
        self._clock.advance(elapsed_ms)
        if isinstance(result, Exception):
            raise result
        return result


class _World:
    def __init__(self) -> None:
        self.clock = ManualClock(100_000)
        self.codec = InMemoryCodec()
        self.view = FleetView(self.codec, lambda change: None)
        self.store = _Store(self.clock)
        self.watching = True
        self.follower = StoreFollower(
            self.store,  # type: ignore[arg-type]
            self.view,
            self.clock,
            random.Random(1),
            should_watch=lambda: self.watching,
            ask_peers=self._ask_peers,
            on_change=lambda: None,
        )
        item = self.codec.item("u", upstream(), 1)
        self.store.listing = ItemBatch(items=(item,), revision=1)
        self.from_peer: ItemBatch | None = None

    async def _ask_peers(self) -> ItemBatch | None:
        return self.from_peer

    def follow(self) -> None:
        with pytest.raises(asyncio.CancelledError):
            asyncio.run(self.follower.run())


def test_entries_are_listed_once_and_then_watched() -> None:
    world = _World()
    world.store.steps = [(10, _NOTHING), (10, _NOTHING)]
    world.follow()
    names = [name for name, _ in world.store.calls]
    assert names == ["list", "watch", "watch", "watch"]
    assert set(world.view.upstreams) == {"u"}


def test_lost_history_is_listed_anew() -> None:
    world = _World()
    world.store.steps = [(10, HistoryLostError()), (10, _NOTHING)]
    world.follow()
    names = [name for name, _ in world.store.calls]
    assert names == ["list", "watch", "list", "watch", "watch"]


def test_listing_that_is_refused_is_asked_for_once_a_round() -> None:
    # All daemons start while the store refuses: each call that none serves
    # counts against the calls of the whole fleet.
    world = _World()
    listed = world.store.listing
    world.store.listing = _AWAY
    rounds: list[int] = []

    async def ask_peers() -> ItemBatch | None:
        rounds.append(len(world.store.calls))
        if len(rounds) == 3:
            world.store.listing = listed
        return None

    world.follower = StoreFollower(
        world.store,  # type: ignore[arg-type]
        world.view,
        world.clock,
        random.Random(1),
        should_watch=lambda: True,
        ask_peers=ask_peers,
        on_change=lambda: None,
    )
    world.follow()
    assert rounds == [1, 2, 3]
    assert set(world.view.upstreams) == {"u"}


def test_daemon_without_a_listing_asks_again_when_a_peer_knows_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # All daemons are killed in an outage. The first to see its end tells the
    # others by its heartbeat; none waits for the end of its own pause.
    monkeypatch.setattr(_follower, "_MIN_BACKOFF_MS", 600_000)
    world = _World()
    listed = world.store.listing
    world.store.listing = _AWAY

    async def scenario() -> None:
        task = asyncio.create_task(world.follower.run())
        async with asyncio.timeout(10):
            while not world.store.calls:
                await asyncio.sleep(0)
            world.store.listing = listed
            world.follower.note_news()
            with pytest.raises(asyncio.CancelledError):
                await task

    asyncio.run(scenario())
    assert set(world.view.upstreams) == {"u"}


def test_daemon_that_starts_in_an_outage_learns_from_a_peer() -> None:
    world = _World()
    world.from_peer = world.store.listing  # type: ignore[assignment]
    world.store.listing = _AWAY
    world.store.steps = [(10, _AWAY)]
    world.follow()
    assert set(world.view.upstreams) == {"u"}
    # What a peer knows need not be the newest.
    assert not world.follower.is_current()


def test_removal_right_after_a_long_outage_may_be_a_lapse() -> None:
    world = _World()
    world.store.steps = [(10, _AWAY), (5_000, _NOTHING), (100, _REMOVAL)]
    world.follow()
    assert "u" in world.view.upstreams
    world.view.expire(world.clock.now_ms() + 2_300)
    assert world.view.upstreams == {}


def test_removal_after_a_short_outage_is_none() -> None:
    """Entries lapse after three missed heartbeats, not in a blink."""
    world = _World()
    world.store.steps = [(10, _AWAY), (500, _REMOVAL)]
    world.follow()
    assert world.view.upstreams == {}


def test_removal_some_seconds_after_an_outage_is_none() -> None:
    """A daemon alone was turned away; a scale-in follows its return."""
    world = _World()
    world.store.steps = [(10, _AWAY), (9_000, _NOTHING), (3_400, _REMOVAL)]
    world.follow()
    assert world.view.upstreams == {}


def test_end_of_an_outage_is_noticed_before_removals_count(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A daemon alone is turned away for long while peers bring changes."""
    delays_ms: list[float] = []

    async def sleep(delay_s: float) -> None:
        delays_ms.append(delay_s * 1_000)
        world.follower.confirm()

    monkeypatch.setattr(asyncio, "sleep", sleep)
    world = _World()
    world.store.steps = [(10, _AWAY)] * 200
    world.follow()
    # A removal binds two seconds after it, and counts from three seconds
    # after the store's return on; half a second goes to a connection that
    # hangs, and the grace follows.
    connect_ms, grace_ms, contact_ms, drain_ms = 500, 2_300, 3_000, 2_000
    assert max(delays_ms) + connect_ms + grace_ms < contact_ms + drain_ms


def test_first_watch_after_an_outage_answers_soon() -> None:
    world = _World()
    world.store.steps = [(10, _AWAY), (10, _NOTHING)]
    world.follow()
    waits = [wait_ms for name, wait_ms in world.store.calls if name == "watch"]
    assert waits[1] < 100 < waits[0]
    assert waits[2] == waits[0]


def test_view_counts_as_current_only_for_a_while() -> None:
    world = _World()
    assert not world.follower.is_current()
    world.follow()
    assert world.follower.is_current()
    world.clock.advance(10_000)
    assert not world.follower.is_current()
    world.follower.confirm()
    assert world.follower.is_current()


@pytest.mark.parametrize("members", [1, 6, 9, 12, 79, 387])
def test_some_daemons_watch_and_all_of_a_small_fleet(members: int) -> None:
    names = {f"vm-{number}" for number in range(members)}
    watchers = {name for name in names if watches_store(name, names - {name})}
    assert len(watchers) == min(members, 9)


def test_others_watch_when_the_watchers_are_gone() -> None:
    names = {f"vm-{number}" for number in range(79)}
    first = {name for name in names if watches_store(name, names - {name})}
    left = names - first
    second = {name for name in left if watches_store(name, left - {name})}
    assert len(second) == 9


@pytest.mark.parametrize("members", [1, 6, 9, 79, 387])
def test_silence_is_longer_than_three_heartbeats(members: int) -> None:
    assert silence_ms(members) >= 3 * heartbeat_interval_ms(members)
    # The directory has to forget a dead daemon within this time at least.
    assert silence_ms(members) < 6_000

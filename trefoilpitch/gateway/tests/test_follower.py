"""Tests of following the store, in particular through outages."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.fleet import (
    FleetView,
    HistoryLostError,
    Item,
    ItemBatch,
    StoreUnavailableError,
    StoreVersion,
)
from trefoilpitch.fleet.tests.fakes import InMemoryCodec, upstream
from trefoilpitch.gateway import _follower
from trefoilpitch.gateway._follower import StoreFollower
from trefoilpitch.gateway._peers import (
    heartbeat_interval_ms,
    peer_timeout_ms,
    watch_wait_ms,
    watches_store,
)

_REMOVAL = ItemBatch(items=(Item(key="u", value=None, revision=9),), revision=9)
_NOTHING = ItemBatch(items=(), revision=1)
_APPLY_MS = 2_000
# Waits of the first watch after a change, and of the others.
_FIRST_WAIT_MS = 1_000
_WAIT_MS = 3_000
_UNAVAILABLE = StoreUnavailableError("down")


class _Store:
    """Returns one scripted result per call; cancels the follower at the end."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.era = 0
        self.listing: ItemBatch | Exception = _NOTHING
        self.steps: list[tuple[int, ItemBatch | Exception]] = []
        self.calls: list[tuple[str, int]] = []
        # Called before a watch returns a scripted result.
        self.on_watch: Callable[[int], None] = lambda elapsed_ms: None

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
        self.on_watch(elapsed_ms)
        if isinstance(result, Exception):
            raise result
        return result


class _FollowerHarness:
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
            apply_ms=_APPLY_MS,
            should_watch=lambda: self.watching,
            watch_wait_ms=self._watch_wait_ms,
            fetch_from_peers=self._fetch_from_peers,
            on_change=lambda: None,
        )
        item = self.codec.item("u", upstream(), 1)
        self.store.listing = ItemBatch(items=(item,), revision=1)
        self.from_peer: ItemBatch | None = None

    def _watch_wait_ms(self, in_step: bool) -> int:
        return _FIRST_WAIT_MS if in_step else _WAIT_MS

    async def _fetch_from_peers(self) -> ItemBatch | None:
        return self.from_peer

    def follow(self) -> None:
        with pytest.raises(asyncio.CancelledError):
            asyncio.run(self.follower.run())


def test_store_is_listed_once_and_then_watched() -> None:
    harness = _FollowerHarness()
    harness.store.steps = [(10, _NOTHING), (10, _NOTHING)]
    harness.follow()
    names = [name for name, _ in harness.store.calls]
    assert names == ["list", "watch", "watch", "watch"]
    assert set(harness.view.upstreams) == {"u"}


def test_store_is_listed_again_after_lost_history() -> None:
    harness = _FollowerHarness()
    harness.store.steps = [(10, HistoryLostError()), (10, _NOTHING)]
    harness.follow()
    names = [name for name, _ in harness.store.calls]
    assert names == ["list", "watch", "list", "watch", "watch"]


def _listing(harness: _FollowerHarness, era: int, revision: int) -> ItemBatch:
    item = harness.codec.item("u", upstream(), revision)
    return ItemBatch(items=(item,), revision=revision, era=era, complete=True)


def test_store_is_listed_again_in_a_newer_era() -> None:
    harness = _FollowerHarness()
    harness.store.listing = _listing(harness, 1, 9)
    changes = ItemBatch(items=(), revision=4, era=2)
    harness.store.steps = [(10, changes)]

    def restore(elapsed_ms: int) -> None:
        harness.store.listing = _listing(harness, 2, 4)

    harness.store.on_watch = restore
    harness.follow()
    names = [name for name, _ in harness.store.calls]
    assert names == ["list", "watch", "list", "watch"]
    assert harness.view.version == StoreVersion(2, 4)


def test_response_of_an_older_era_than_a_peers_is_ignored() -> None:
    harness = _FollowerHarness()
    harness.store.listing = _listing(harness, 1, 9)
    gone = Item(key="u", value=None, revision=12)
    late = ItemBatch(items=(gone,), revision=12, era=1)
    harness.store.steps = [(10, late)]

    def restore(elapsed_ms: int) -> None:
        harness.follower.apply_from_peer(_listing(harness, 2, 4), "peer")

    harness.store.on_watch = restore
    harness.follow()
    assert harness.view.version == StoreVersion(2, 4)
    assert set(harness.view.upstreams) == {"u"}


def test_peer_in_an_older_era_changes_nothing() -> None:
    harness = _FollowerHarness()
    harness.store.listing = _listing(harness, 2, 4)
    harness.follow()
    gone = Item(key="u", value=None, revision=99)
    batch = ItemBatch(items=(gone,), revision=99, era=1)
    harness.follower.apply_from_peer(batch, "peer")
    assert harness.view.version == StoreVersion(2, 4)
    assert set(harness.view.upstreams) == {"u"}


def test_refused_listing_is_requested_once_per_retry() -> None:
    # All daemons start while the store refuses requests. Refused calls count
    # against the fleet's rate limit as well.
    harness = _FollowerHarness()
    listed = harness.store.listing
    harness.store.listing = _UNAVAILABLE
    calls_before_fetch: list[int] = []

    async def fetch_from_peers() -> ItemBatch | None:
        calls_before_fetch.append(len(harness.store.calls))
        if len(calls_before_fetch) == 3:
            harness.store.listing = listed
        return None

    harness.follower = StoreFollower(
        harness.store,  # type: ignore[arg-type]
        harness.view,
        harness.clock,
        random.Random(1),
        apply_ms=_APPLY_MS,
        should_watch=lambda: True,
        watch_wait_ms=lambda in_step: _WAIT_MS,
        fetch_from_peers=fetch_from_peers,
        on_change=lambda: None,
    )
    harness.follow()
    assert calls_before_fetch == [1, 2, 3]
    assert set(harness.view.upstreams) == {"u"}


def test_daemon_without_listing_retries_when_a_peer_is_ahead(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # All daemons are killed in an outage. The heartbeat of the first one that
    # detects its end must interrupt the backoff of the others.
    monkeypatch.setattr(_follower, "_MIN_BACKOFF_MS", 600_000)
    harness = _FollowerHarness()
    listed = harness.store.listing
    harness.store.listing = _UNAVAILABLE

    async def scenario() -> None:
        task = asyncio.create_task(harness.follower.run())
        async with asyncio.timeout(10):
            while not harness.store.calls:
                await asyncio.sleep(0)
            harness.store.listing = listed
            harness.follower.notify_peer_ahead()
            with pytest.raises(asyncio.CancelledError):
                await task

    asyncio.run(scenario())
    assert set(harness.view.upstreams) == {"u"}


def test_daemon_that_starts_in_an_outage_loads_from_a_peer() -> None:
    harness = _FollowerHarness()
    harness.from_peer = harness.store.listing  # type: ignore[assignment]
    harness.store.listing = _UNAVAILABLE
    harness.store.steps = [(10, _UNAVAILABLE)]
    harness.follow()
    assert set(harness.view.upstreams) == {"u"}
    # The peer's revision need not be the latest.
    assert not harness.follower.is_current()


def test_removal_right_after_a_long_outage_may_be_an_expiry() -> None:
    harness = _FollowerHarness()
    harness.store.steps = [
        (10, _UNAVAILABLE),
        (5_000, _NOTHING),
        (100, _REMOVAL),
    ]
    harness.follow()
    assert "u" in harness.view.upstreams
    harness.view.expire(harness.clock.now_ms() + 2_300)
    assert harness.view.upstreams == {}


def test_removal_after_a_short_outage_is_no_expiry() -> None:
    """Entries expire only after three missed heartbeats."""
    harness = _FollowerHarness()
    harness.store.steps = [(10, _UNAVAILABLE), (500, _REMOVAL)]
    harness.follow()
    assert harness.view.upstreams == {}


@pytest.mark.parametrize(
    ("response_age_ms", "outage_ms", "retained"),
    [
        (0, 3_000, True),
        (100, 3_000, True),
        (2_900, 3_000, False),
        (0, 900, False),
    ],
)
def test_removal_from_a_peer_after_an_outage_may_be_an_expiry(
    response_age_ms: int, outage_ms: int, retained: bool
) -> None:
    # The peer has found that the store is back, while this daemon still waits
    # for the response to a watch that was lost.
    harness = _FollowerHarness()
    harness.store.steps = [(10, _NOTHING)]
    harness.follow()
    harness.clock.advance(outage_ms)
    harness.follower.record_store_response(response_age_ms)
    harness.follower.apply_from_peer(_REMOVAL, "peer")
    assert ("u" in harness.view.upstreams) == retained
    harness.view.expire(harness.clock.now_ms() + 2_300)
    assert harness.view.upstreams == {}


def test_removal_some_seconds_after_an_outage_is_no_expiry() -> None:
    """The store refused only this daemon; a scale-in follows its recovery."""
    harness = _FollowerHarness()
    harness.store.steps = [
        (10, _UNAVAILABLE),
        (9_000, _NOTHING),
        (3_400, _REMOVAL),
    ]
    harness.follow()
    assert harness.view.upstreams == {}


def test_end_of_outage_is_detected_before_removals_must_apply(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store refuses only this daemon while peers provide changes."""
    delays_ms: list[float] = []

    async def sleep(delay_s: float) -> None:
        delays_ms.append(delay_s * 1_000)
        harness.follower.record_peer_confirmation(0)

    monkeypatch.setattr(asyncio, "sleep", sleep)
    harness = _FollowerHarness()
    harness.store.steps = [(10, _UNAVAILABLE)] * 200
    harness.follow()
    # A removal must take effect within two seconds, and removals are checked
    # from three seconds after the store's recovery on. A hanging connection
    # costs half a second, and the grace period follows.
    connect_ms, grace_ms, contact_ms, drain_ms = 500, 2_300, 3_000, 2_000
    assert max(delays_ms) + connect_ms + grace_ms < contact_ms + drain_ms


def test_first_watch_after_an_outage_has_a_short_timeout() -> None:
    harness = _FollowerHarness()
    harness.store.steps = [(10, _UNAVAILABLE), (10, _NOTHING)]
    harness.follow()
    waits = [
        wait_ms for name, wait_ms in harness.store.calls if name == "watch"
    ]
    assert waits[1] < 100 < waits[0]
    assert waits[2] == waits[0]


def test_watches_are_in_step_after_a_change_a_listing_and_an_outage() -> None:
    harness = _FollowerHarness()
    change = ItemBatch(
        items=(harness.codec.item("u", upstream(), 2),), revision=2
    )
    harness.store.steps = [
        (10, _NOTHING),
        (10, _NOTHING),
        (10, change),
        (10, _NOTHING),
        (10, _UNAVAILABLE),
        (10, _NOTHING),
    ]
    harness.follow()
    waits = [
        wait_ms for name, wait_ms in harness.store.calls if name == "watch"
    ]
    first, later = _FIRST_WAIT_MS, _WAIT_MS
    recovery = _follower._RECOVERY_WATCH_TIMEOUT_MS
    assert waits == [first, later, later, first, later, recovery, first]


def test_view_is_current_only_for_a_limited_time() -> None:
    harness = _FollowerHarness()
    assert not harness.follower.is_current()
    harness.follow()
    assert harness.follower.is_current()
    harness.clock.advance(_APPLY_MS)
    assert not harness.follower.is_current()
    harness.follower.record_peer_confirmation(_APPLY_MS)
    assert not harness.follower.is_current()
    harness.follower.record_peer_confirmation(100)
    assert harness.follower.is_current()
    harness.follower.record_peer_confirmation(_APPLY_MS)
    assert harness.follower.is_current()


def test_confirmation_of_a_peer_is_not_passed_on() -> None:
    harness = _FollowerHarness()
    assert harness.follower.confirmed_age_ms is None
    harness.follow()
    harness.clock.advance(300)
    harness.follower.record_peer_confirmation(0)
    assert harness.follower.confirmed_age_ms == 300


@pytest.mark.parametrize("members", [1, 6, 9, 12, 79, 387])
def test_nine_daemons_watch_or_all_of_a_smaller_fleet(members: int) -> None:
    names = {f"vm-{number}" for number in range(members)}
    watchers = {name for name in names if watches_store(name, names - {name})}
    assert len(watchers) == min(members, 9)


def test_other_daemons_watch_when_the_watchers_are_dead() -> None:
    names = {f"vm-{number}" for number in range(79)}
    first = {name for name in names if watches_store(name, names - {name})}
    left = names - first
    second = {name for name in left if watches_store(name, left - {name})}
    assert len(second) == 9


@pytest.mark.parametrize("members", [1, 2, 6, 7])
def test_store_is_checked_by_one_daemon_in_each_interval(members: int) -> None:
    names = {f"vm-{number}" for number in range(members)}
    ends_ms: list[int] = []
    for name in names:
        first, later = (
            watch_wait_ms(
                name, names - {name}, interval_ms=500, in_step=in_step
            )
            for in_step in (True, False)
        )
        ends_ms += [first, first + later, first + 2 * later]
    assert sorted(ends_ms) == [500 * (n + 1) for n in range(3 * members)]


@pytest.mark.parametrize("members", [9, 79, 387])
def test_watches_of_a_large_fleet_wait_four_seconds_at_most(
    members: int,
) -> None:
    names = {f"vm-{number}" for number in range(members)}
    watchers = [name for name in names if watches_store(name, names - {name})]
    ends_ms = sorted(
        watch_wait_ms(name, names - {name}, interval_ms=500, in_step=True)
        for name in watchers
    )
    assert ends_ms == [
        500,
        1_000,
        1_500,
        2_000,
        2_500,
        3_000,
        3_500,
        4_000,
        4_000,
    ]
    for name in watchers:
        assert (
            watch_wait_ms(name, names - {name}, interval_ms=500, in_step=False)
            == 4_000
        )


@pytest.mark.parametrize("members", [1, 6, 9, 79, 387])
def test_peer_timeout_covers_three_heartbeats(members: int) -> None:
    assert peer_timeout_ms(members) >= 3 * heartbeat_interval_ms(members)
    # The directory must drop a dead daemon within this time.
    assert peer_timeout_ms(members) < 6_000

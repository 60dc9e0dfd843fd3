"""Keeps a daemon's view up to date from the store, or from its peers."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import (
    FleetStore,
    FleetView,
    HistoryLostError,
    ItemBatch,
    StoreUnavailableError,
)
from trefoilpitch.gateway._log import log_event

# A watch waits this long for changes. Its answer, also an empty one, shows that
# the view is the newest; a silent connection is noticed soon after.
_WATCH_MS = 4_000
# How often a daemon that does not watch asks whether it should.
_IDLE_MS = 200
# Changes come in bursts; a short pause takes a burst with one call, and is
# small against the seconds in which a change has to be in force.
_GATHER_MS = 200
# Waits between calls that fail: short enough for a change of configuration to
# arrive in time once the store answers again, and doubled while it does not.
_MIN_BACKOFF_MS = 150
# The longest also bounds how late the end of an outage is noticed: until then
# and for the grace below, a planned removal may be taken for a lapse.
_MAX_BACKOFF_MS = 1_000
# Entries that lapsed in an outage are back within two seconds of its end; until
# then a removal may be such a lapse.
_RETURN_GRACE_MS = 2_300
# An outage has to last this long for entries to lapse in it: upstreams are
# given up after three heartbeats of silence.
_LAPSE_MS = 2_000
# A view is believed to be the newest for this long after a sign of it: longer
# than a watch without changes.
_CURRENT_FOR_MS = 4_800
# A listing that takes longer is asked of a peer as well: many times what the
# store needs on a usual day.
_LIST_MS = 400
# Over which daemons without a listing spread their calls once a peer has one.
_NEWS_SPREAD_MS = 100
# The first call after an outage answers soon, to show that it has ended.
_FIRST_WATCH_MS = 50
_MS_PER_S = 1_000


class StoreFollower:
    """Reads everything once, then watches; begins anew when history is lost.

    Args:
        store: The store.
        view: What is kept up to date.
        clock: Monotonic time.
        rng: Spreads the repeats of several daemons.
        should_watch: Whether this daemon watches; else peers bring changes.
        ask_peers: Returns all items that a peer has; None if none answers.
        on_change: Called after each batch.
    """

    def __init__(
        self,
        store: FleetStore,
        view: FleetView,
        clock: Clock,
        rng: random.Random,
        *,
        should_watch: Callable[[], bool],
        ask_peers: Callable[[], Awaitable[ItemBatch | None]],
        on_change: Callable[[], None],
    ) -> None:
        self._store = store
        self._view = view
        self._clock = clock
        self._rng = rng
        self._should_watch = should_watch
        self._ask_peers = ask_peers
        self._on_change = on_change
        self._loaded = False
        self._away_since_ms: int | None = None
        self._lapse_until_ms = 0
        self._confirmed_ms = -_CURRENT_FOR_MS
        self._news = asyncio.Event()
        self._listed_ms = 0

    @property
    def store_answers(self) -> bool:
        """Whether the store answered the last call of this follower."""
        return self._loaded and self._away_since_ms is None

    @property
    def store_away(self) -> bool:
        """Whether the last call failed, or a listing takes far too long."""
        return self._away_since_ms is not None

    def is_current(self) -> bool:
        """Whether no newer configuration can have been missed."""
        age_ms = self._clock.now_ms() - self._confirmed_ms
        return self._loaded and age_ms < _CURRENT_FOR_MS

    def listed_for_ms(self) -> int:
        """Returns how long ago this daemon took a listing."""
        return self._clock.now_ms() - self._listed_ms

    def confirm(self) -> None:
        """Notes that the view has just been seen to be the newest."""
        self._confirmed_ms = self._clock.now_ms()

    def note_news(self) -> None:
        """Notes that a peer knows more than this daemon.

        One that has no listing yet asks the store again at once.
        """
        self._news.set()

    def take_from_peer(self, batch: ItemBatch, peer: str) -> None:
        """Takes changes that a peer has and this daemon lacks."""
        now_ms = self._clock.now_ms()
        before = self._view.revision
        self._view.apply(batch, now_ms)
        log_event(
            "caught_up_from_peer",
            peer=peer,
            before=before,
            revision=self._view.revision,
            items=len(batch.items),
        )
        if batch.items:
            self._on_change()

    async def run(self) -> None:
        """Follows the store until cancelled."""
        backoff_ms = _MIN_BACKOFF_MS
        while True:
            if self._loaded and not self._should_watch():
                await asyncio.sleep(_IDLE_MS / _MS_PER_S)
                continue
            try:
                await self._step()
                backoff_ms = _MIN_BACKOFF_MS
            except HistoryLostError:
                log_event("store_history_lost", revision=self._view.revision)
                self._loaded = False
            except StoreUnavailableError as error:
                self._note_away(str(error))
                spread = 0.5 + self._rng.random()
                await self._pause(backoff_ms * spread)
                backoff_ms = min(_MAX_BACKOFF_MS, 2 * backoff_ms)

    async def _pause(self, pause_ms: float) -> None:
        if self._loaded:
            await asyncio.sleep(pause_ms / _MS_PER_S)
            return
        self._news.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_ms / _MS_PER_S):
                await self._news.wait()
                log_event("listing_again", reason="a peer knows more")
                # The daemons that wait do not all call at the same moment.
                spread_ms = _NEWS_SPREAD_MS * self._rng.random()
                await asyncio.sleep(spread_ms / _MS_PER_S)

    async def _step(self) -> None:
        if self._loaded:
            wait_ms = _WATCH_MS if self.store_answers else _FIRST_WATCH_MS
            batch = await self._store.watch(self._view.revision, wait_ms)
            self._note_back()
            self._view.apply(
                batch,
                self._clock.now_ms(),
                retain_until_ms=self._lapse_until_ms,
            )
        else:
            batch = await self._list()
        self.confirm()
        if batch.items:
            self._on_change()
            await asyncio.sleep(_GATHER_MS / _MS_PER_S)

    async def _list(self) -> ItemBatch:
        """Lists the store, or takes what a peer knows if it is away."""
        try:
            async with asyncio.timeout(_LIST_MS / _MS_PER_S):
                batch = await self._store.read_all()
        except StoreUnavailableError as error:
            self._note_away(str(error))
            await self._list_from_peer(error)
            raise
        except TimeoutError as error:
            self._note_away(f"no listing in {_LIST_MS} ms")
            await self._list_from_peer(error)
            # A slow store is better than none.
            batch = await self._store.read_all()
        self._note_back()
        self._take(batch)
        return batch

    async def _list_from_peer(self, error: Exception) -> None:
        known = await self._ask_peers()
        if known is not None:
            self._take(known)
            raise StoreUnavailableError("listed by a peer") from error

    def _take(self, batch: ItemBatch) -> None:
        self._view.load(
            batch,
            self._clock.now_ms(),
            retain_until_ms=self._lapse_until_ms,
        )
        self._loaded = True
        self._listed_ms = self._clock.now_ms()
        self._on_change()

    def _note_away(self, reason: str) -> None:
        if self._away_since_ms is None:
            self._away_since_ms = self._clock.now_ms()
            log_event("store_lost", reason=reason, revision=self._view.revision)

    def _note_back(self) -> None:
        if self._away_since_ms is None:
            return
        now_ms = self._clock.now_ms()
        away_ms = now_ms - self._away_since_ms
        self._away_since_ms = None
        if away_ms >= _LAPSE_MS:
            self._lapse_until_ms = now_ms + _RETURN_GRACE_MS
        log_event(
            "store_regained", revision=self._view.revision, away_ms=away_ms
        )


async def every(
    interval_ms: int, action: Callable[[], Awaitable[None]]
) -> None:
    """Runs an action again and again, with a wait between."""
    while True:
        await action()
        await asyncio.sleep(interval_ms / _MS_PER_S)

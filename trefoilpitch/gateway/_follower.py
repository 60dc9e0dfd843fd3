"""Keeps a daemon's view up to date from the store, or from its peers."""

from __future__ import annotations

import asyncio
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

# A watch waits this long for changes: each call has a price, and a connection
# that has fallen silent is noticed by its keep-alive probes and by peers.
_WATCH_MS = 15_000
# Changes come in bursts; a short pause takes a burst with one call, and is
# small against the seconds in which a change has to be in force.
_GATHER_MS = 100
# Waits between calls that fail: short enough for a change of configuration to
# arrive in time once the store answers again, and doubled while it does not.
_MIN_BACKOFF_MS = 150
_MAX_BACKOFF_MS = 1_000
# Entries that lapsed in an outage are back within two seconds of its end;
# removals that arrive in this time may be such lapses.
_AFTER_OUTAGE_MS = 2_000
# An outage has to last this long for entries to lapse in it: upstreams are
# given up after three heartbeats of silence.
_LAPSE_MS = 2_000
# A view is believed to be the newest for this long after a sign from the store.
_CURRENT_FOR_MS = 2_500
_MS_PER_S = 1_000


class StoreFollower:
    """Reads everything once, then watches; begins anew when history is lost.

    Args:
        store: The store.
        view: What is kept up to date.
        clock: Monotonic time.
        rng: Spreads the repeats of several daemons.
        on_change: Called after each batch.
    """

    def __init__(
        self,
        store: FleetStore,
        view: FleetView,
        clock: Clock,
        rng: random.Random,
        on_change: Callable[[], None],
    ) -> None:
        self._store = store
        self._view = view
        self._clock = clock
        self._rng = rng
        self._on_change = on_change
        self._loaded = False
        self._away_since_ms: int | None = None
        self._returned_ms = -_AFTER_OUTAGE_MS
        self._confirmed_ms = -_CURRENT_FOR_MS

    @property
    def connected(self) -> bool:
        """Whether the store answered the last call."""
        return self._loaded and self._away_since_ms is None

    def is_current(self) -> bool:
        """Whether no newer configuration can have been missed."""
        age_ms = self._clock.now_ms() - self._confirmed_ms
        return self.connected and age_ms < _CURRENT_FOR_MS

    def confirm(self) -> None:
        """Notes that the store has just answered."""
        self._confirmed_ms = self._clock.now_ms()

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
        self._on_change()

    async def run(self) -> None:
        """Follows the store until cancelled."""
        backoff_ms = _MIN_BACKOFF_MS
        while True:
            try:
                await self._step()
                backoff_ms = _MIN_BACKOFF_MS
            except HistoryLostError:
                log_event("store_history_lost", revision=self._view.revision)
                self._loaded = False
            except StoreUnavailableError as error:
                self._note_away(str(error))
                spread = 0.5 + self._rng.random()
                await asyncio.sleep(backoff_ms * spread / _MS_PER_S)
                backoff_ms = min(_MAX_BACKOFF_MS, 2 * backoff_ms)

    async def _step(self) -> None:
        if self._loaded:
            batch = await self._store.watch(self._view.revision, _WATCH_MS)
            self._note_back()
            now_ms = self._clock.now_ms()
            self._view.apply(
                batch, now_ms, after_outage=self._may_have_lapsed(now_ms)
            )
        else:
            batch = await self._store.read_all()
            self._note_back()
            now_ms = self._clock.now_ms()
            self._view.load(
                batch, now_ms, after_outage=self._may_have_lapsed(now_ms)
            )
            self._loaded = True
        self.confirm()
        self._on_change()
        await asyncio.sleep(_GATHER_MS / _MS_PER_S)

    def _may_have_lapsed(self, now_ms: int) -> bool:
        return now_ms - self._returned_ms < _AFTER_OUTAGE_MS

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
            self._returned_ms = now_ms
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

"""Keeps a daemon's view of the fleet up to date from the store or peers."""

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

# How often a daemon that does not watch checks whether it should.
_ROLE_CHECK_INTERVAL_MS = 200
# Changes come in bursts. A short delay between watches fetches a burst with one
# call; it is small compared to the seconds within which a change must take
# effect.
_BATCH_DELAY_MS = 200
# Initial delay between failed calls, doubled while the store is unavailable:
# short enough for a configuration change to arrive in time after an outage.
_MIN_BACKOFF_MS = 150
# Maximum delay before jitter of up to 50% either way. It also bounds how late
# the end of an outage is detected: until then, and during the grace period
# below, a planned removal can be mistaken for an expired entry.
_MAX_BACKOFF_MS = 800
# Entries that expired in an outage are registered again within two seconds of
# its end; until then a removal may be such an expiry.
_REREGISTRATION_GRACE_MS = 2_300
# Minimum duration of an outage in which entries can expire: upstreams expire
# after three missed heartbeats.
_MIN_EXPIRY_OUTAGE_MS = 2_000
# Time between two responses of the store to any daemon that shows such an
# outage; longer than daemons usually take to learn of a response to a peer.
_MIN_EXPIRY_GAP_MS = 2_400
# Fraction of the time in which a configuration has to take effect for which the
# view counts as current after a confirmation. The rest covers the time that a
# confirmation is under way.
_CURRENT_SHARE = 0.9
# If a listing takes longer, a peer is queried as well: many times what the
# store normally needs.
_LIST_TIMEOUT_MS = 400
# Once a peer has a listing, the daemons without one spread their calls over
# this time.
_RESYNC_JITTER_MS = 100
# Timeout of the first watch after a failure: short, to detect the end of the
# outage soon.
_RECOVERY_WATCH_TIMEOUT_MS = 50
# A store that is so slow that these watches fail still responds to a longer one
# if there are changes. One of so many watches in a row is longer.
_SLOW_STORE_WATCH_TIMEOUT_MS = 1_000
_WATCHES_PER_LONGER_ONE = 4
_MS_PER_S = 1_000


class StoreFollower:
    """Lists the store once, then watches it; lists again if history is lost.

    Args:
        store: The store.
        view: The view to keep up to date.
        clock: Provides monotonic time.
        rng: Adds jitter to the retries of several daemons.
        apply_ms: Time from the store's acknowledgement of a configuration
            until it has to take effect.
        should_watch: Returns whether this daemon watches the store; otherwise
            changes come from peers.
        watch_wait_ms: Returns how long the next watch waits for changes, given
            whether other daemons open theirs at the same time.
        fetch_from_peers: Returns all items of a peer, or None if no peer has
            any.
        on_change: Called after each batch of changes.
        on_store_return: Called after an outage in which entries may have
            expired.
    """

    def __init__(
        self,
        store: FleetStore,
        view: FleetView,
        clock: Clock,
        rng: random.Random,
        *,
        apply_ms: int,
        should_watch: Callable[[], bool],
        watch_wait_ms: Callable[[bool], int],
        fetch_from_peers: Callable[[], Awaitable[ItemBatch | None]],
        on_change: Callable[[], None],
        on_store_return: Callable[[], None] = lambda: None,
    ) -> None:
        self._store = store
        self._view = view
        self._clock = clock
        self._rng = rng
        self._should_watch = should_watch
        self._watch_wait_ms = watch_wait_ms
        self._fetch_from_peers = fetch_from_peers
        self._on_change = on_change
        self._on_store_return = on_store_return
        self._loaded = False
        self._started_in_outage = False
        self._unavailable_since_ms: int | None = None
        self._expiry_until_ms = 0
        self._current_for_ms = int(apply_ms * _CURRENT_SHARE)
        # The daemons check the store several times in `apply_ms`.
        self._min_expiry_gap_ms = max(_MIN_EXPIRY_GAP_MS, apply_ms // 2)
        # When the store last responded to any daemon, as far as is known.
        self._responded_ms = clock.now_ms()
        # When a response of the store to any daemon last showed that the view
        # was the latest, and a response to this daemon.
        self._confirmed_ms: int | None = None
        self._own_confirmed_ms: int | None = None
        self._peer_ahead = asyncio.Event()
        self._listed_ms = 0
        self._watch_scope: asyncio.Timeout | None = None
        # Whether other daemons probably open their watches at the same time.
        self._in_step = True
        # Number of watches in a row that failed.
        self._failed_watches = 0

    @property
    def store_reachable(self) -> bool:
        """Whether the last call to the store succeeded."""
        return self._loaded and self._unavailable_since_ms is None

    @property
    def store_unavailable(self) -> bool:
        """Whether the last call failed, or a listing has timed out."""
        return self._unavailable_since_ms is not None

    @property
    def started_in_outage(self) -> bool:
        """Whether the store was unavailable before the first listing."""
        return self._started_in_outage

    @property
    def confirmed_age_ms(self) -> int | None:
        """Time since a response to this daemon confirmed the view."""
        if self._own_confirmed_ms is None:
            return None
        return self._clock.now_ms() - self._own_confirmed_ms

    def is_current(self) -> bool:
        """Whether no configuration that must be in force can be missing."""
        if not self._loaded or self._confirmed_ms is None:
            return False
        age_ms = self._clock.now_ms() - self._confirmed_ms
        return age_ms < self._current_for_ms

    def ms_since_listing(self) -> int:
        """Returns the time since this daemon last loaded a listing."""
        return self._clock.now_ms() - self._listed_ms

    def record_store_response(self, age_ms: int) -> None:
        """Records that the store has responded to a peer.

        If it had responded to no daemon for long before, it was away, and
        removals that the peer has read may be expiries. This daemon may not
        have noticed, as it waits for the response to a watch that was lost.

        Args:
            age_ms: Time since that response.
        """
        now_ms = self._clock.now_ms()
        gap_ms = now_ms - age_ms - self._responded_ms
        if gap_ms >= self._min_expiry_gap_ms:
            log_event("store_outage_noticed", gap_ms=gap_ms)
            self._expiry_until_ms = now_ms + _REREGISTRATION_GRACE_MS
            self._on_store_return()
        self._responded_ms = max(self._responded_ms, now_ms - age_ms)

    def record_peer_confirmation(self, age_ms: int) -> None:
        """Records that the store has confirmed the view to a peer.

        Args:
            age_ms: Time since the store's response to that peer. What the peer
                has heard from others does not count: daemons would confirm each
                other for as long as the store is unavailable.
        """
        at_ms = self._clock.now_ms() - age_ms
        if self._confirmed_ms is None or at_ms > self._confirmed_ms:
            self._confirmed_ms = at_ms

    def notify_peer_ahead(self) -> None:
        """Reports that a peer has a newer revision than this daemon.

        A daemon without a listing then retries the store at once.
        """
        self._peer_ahead.set()

    def notify_newer_era(self) -> None:
        """Reports that a peer is in a newer era; ends a pending watch."""
        if self._watch_scope is not None and not self._watch_scope.expired():
            self._watch_scope.reschedule(asyncio.get_running_loop().time())

    def apply_from_peer(self, batch: ItemBatch, peer: str) -> None:
        """Applies changes that were fetched from a peer."""
        now_ms = self._clock.now_ms()
        before = self._view.revision
        if batch.era < self._view.era:
            log_event("peer_in_older_era", peer=peer, era=batch.era)
            return
        if batch.era > self._view.era and batch.complete:
            self._restore_view(batch)
        elif batch.era == self._view.era:
            self._view.apply(
                batch, now_ms, retain_until_ms=self._expiry_until_ms
            )
        log_event(
            "view_updated_from_peer",
            peer=peer,
            before=before,
            era=self._view.era,
            revision=self._view.revision,
            items=len(batch.items),
        )
        if batch.items:
            self._on_change()

    async def run(self) -> None:
        """Follows the store until cancelled."""
        backoff_ms = _MIN_BACKOFF_MS
        while True:
            if self._loaded and self._store.era > self._view.era:
                # Another call of this daemon has shown it.
                self._loaded = False
            if self._loaded and not self._should_watch():
                await asyncio.sleep(_ROLE_CHECK_INTERVAL_MS / _MS_PER_S)
                continue
            started_ms = self._clock.now_ms()
            try:
                await self._step()
                backoff_ms = _MIN_BACKOFF_MS
            except HistoryLostError:
                log_event("store_history_lost", revision=self._view.revision)
                self._loaded = False
            except StoreUnavailableError as error:
                self._mark_unavailable(str(error))
                if self._loaded:
                    self._failed_watches += 1
                # A call that got no response has taken part of the delay.
                elapsed_ms = self._clock.now_ms() - started_ms
                spread = 0.5 + self._rng.random()
                await self._pause(
                    max(_MIN_BACKOFF_MS, backoff_ms * spread - elapsed_ms)
                )
                backoff_ms = min(_MAX_BACKOFF_MS, 2 * backoff_ms)

    async def _pause(self, pause_ms: float) -> None:
        """Waits; without a listing, only until a peer has a newer revision."""
        if self._loaded:
            await asyncio.sleep(pause_ms / _MS_PER_S)
            return
        self._peer_ahead.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_ms / _MS_PER_S):
                await self._peer_ahead.wait()
                log_event("store_resync", reason="a peer has a newer revision")
                # Spreads the calls of the waiting daemons.
                spread_ms = _RESYNC_JITTER_MS * self._rng.random()
                await asyncio.sleep(spread_ms / _MS_PER_S)

    async def _step(self) -> None:
        if self._loaded:
            recovering = not self.store_reachable
            batch = await self._watch(self._next_wait_ms())
            if batch is None:
                self._loaded = False
                return
            self._in_step = recovering or bool(batch.items)
            self._failed_watches = 0
            self._mark_available()
            if batch.era != self._view.era:
                # These are changes of another history.
                self._loaded = batch.era < self._view.era
                return
            self._view.apply(
                batch,
                self._clock.now_ms(),
                retain_until_ms=self._expiry_until_ms,
            )
        else:
            batch = await self._list()
            self._in_step = True
        now_ms = self._clock.now_ms()
        self._responded_ms = now_ms
        self._confirmed_ms = self._own_confirmed_ms = now_ms
        if batch.items:
            self._on_change()
            await asyncio.sleep(_BATCH_DELAY_MS / _MS_PER_S)

    def _next_wait_ms(self) -> int:
        if self.store_reachable:
            return self._watch_wait_ms(self._in_step)
        failed = self._failed_watches
        if failed > 0 and failed % _WATCHES_PER_LONGER_ONE == 0:
            return _SLOW_STORE_WATCH_TIMEOUT_MS
        return _RECOVERY_WATCH_TIMEOUT_MS

    async def _watch(self, wait_ms: int) -> ItemBatch | None:
        """Watches the store; returns None once a peer is in a newer era.

        The store does not end a watch by itself whose revision it has given
        out again.
        """
        try:
            async with asyncio.timeout(None) as self._watch_scope:
                return await self._store.watch(self._view.revision, wait_ms)
        except TimeoutError:
            return None
        finally:
            self._watch_scope = None

    async def _list(self) -> ItemBatch:
        """Lists the store; loads a peer's items if it is unavailable."""
        try:
            async with asyncio.timeout(_LIST_TIMEOUT_MS / _MS_PER_S):
                batch = await self._store.read_all()
        except StoreUnavailableError as error:
            self._mark_unavailable(str(error))
            await self._list_from_peer(error)
            raise
        except TimeoutError as error:
            self._mark_unavailable(f"no listing within {_LIST_TIMEOUT_MS} ms")
            await self._list_from_peer(error)
            # No peer has the items, so wait for the slow store.
            batch = await self._store.read_all()
        self._mark_available()
        self._load_view(batch)
        return batch

    async def _list_from_peer(self, error: Exception) -> None:
        """Loads a peer's items and raises, or returns if no peer has any."""
        batch = await self._fetch_from_peers()
        if batch is not None:
            self._load_view(batch)
            raise StoreUnavailableError("view loaded from a peer") from error

    def _load_view(self, batch: ItemBatch) -> None:
        if batch.era < self._view.era:
            # It was under way when a peer reported the restore.
            raise StoreUnavailableError("the listing is of an older era")
        if batch.era > self._view.era and self._view.revision > 0:
            self._restore_view(batch)
        else:
            self._view.load(
                batch,
                self._clock.now_ms(),
                retain_until_ms=self._expiry_until_ms,
            )
        self._loaded = True
        self._listed_ms = self._clock.now_ms()
        self._on_change()

    def _restore_view(self, batch: ItemBatch) -> None:
        now_ms = self._clock.now_ms()
        before = self._view.version
        self._view.restore(batch, now_ms)
        # Entries that lapsed meanwhile are registered again as well.
        self._expiry_until_ms = now_ms + _REREGISTRATION_GRACE_MS
        log_event(
            "store_restored",
            era=batch.era,
            revision=batch.revision,
            before_era=before.era,
            before_revision=before.revision,
        )

    def _mark_unavailable(self, reason: str) -> None:
        if not self._loaded and self._listed_ms == 0:
            self._started_in_outage = True
        if self._unavailable_since_ms is None:
            self._unavailable_since_ms = self._clock.now_ms()
            log_event("store_lost", reason=reason, revision=self._view.revision)

    def _mark_available(self) -> None:
        if self._unavailable_since_ms is None:
            return
        now_ms = self._clock.now_ms()
        outage_ms = now_ms - self._unavailable_since_ms
        self._unavailable_since_ms = None
        # The outage may have begun long before the daemon noticed it.
        gap_ms = now_ms - self._responded_ms
        if (
            outage_ms >= _MIN_EXPIRY_OUTAGE_MS
            or gap_ms >= self._min_expiry_gap_ms
        ):
            self._expiry_until_ms = now_ms + _REREGISTRATION_GRACE_MS
            self._on_store_return()
        log_event(
            "store_recovered", revision=self._view.revision, away_ms=outage_ms
        )


async def run_periodically(
    interval_ms: int, action: Callable[[], Awaitable[None]]
) -> None:
    """Runs an action repeatedly with a delay after each run."""
    while True:
        await action()
        await asyncio.sleep(interval_ms / _MS_PER_S)

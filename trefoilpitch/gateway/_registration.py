"""Registration of a daemon in the store under a lease.

Load pattern: calls whose response is lost may be executed seconds later, when
the daemon has already started again under the same name. All writes of a start
depend on its own lease, so that none of them changes the entry of the next one
once that has ended. The lease of a killed daemon runs on for a while, so that a
daemon also checks that the store still has its entry.

After an outage that is longer than the leases no daemon has an entry. Each
writes its own again soon after the store's return, at a random time, so that
the calls of a large fleet are spread.
"""

from __future__ import annotations

import asyncio
import contextlib
import random

from trefoilpitch.clock import Clock
from trefoilpitch.fleet import (
    NO_LEASE,
    DocumentCodec,
    FleetStore,
    FleetView,
    LeaseLostError,
    Member,
    StoreUnavailableError,
    StoreVersion,
)
from trefoilpitch.gateway._log import log_event

# Long, because heartbeats detect failures; the lease only cleans up the entries
# of VMs that no longer exist.
_LEASE_MS = 30_000
_RENEWAL_INTERVAL_MS = 8_000
# A lease that was renewed less than this ago outlasts the next renewal, so that
# short outages of the store cause no further calls.
_SAFE_LEASE_AGE_MS = 18_000
# After the store's return the daemons write their entries over this time. The
# rest of the two seconds within which all have one is for noticing the return.
_RETURN_SPREAD_MS = 700
# A call that fails then is repeated soon, but not for the whole of another
# outage.
_RETURN_RETRIES = 3
# Timeout for ending the lease, within the time that a leaving daemon has left.
# The store normally responds within a few milliseconds.
_WITHDRAWAL_TIMEOUT_MS = 200
_MS_PER_S = 1_000


class Registration:
    """Writes a daemon's entry and renews its lease.

    Args:
        store: The store.
        codec: Encodes the entry.
        member: The entry to write.
        view: Local copy of what the store has.
        clock: Provides monotonic time.
        rng: Spreads the calls of several daemons.
    """

    def __init__(
        self,
        store: FleetStore,
        codec: DocumentCodec,
        member: Member,
        view: FleetView,
        *,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._codec = codec
        self._member = member
        self._view = view
        self._clock = clock
        self._rng = rng
        # When the lease was last granted or renewed.
        self._renewed_ms = clock.now_ms()
        self._due = asyncio.Event()
        self._retries = 0
        self._lease_id = NO_LEASE
        # Era of the store in which the lease was granted. In a later one the
        # store may have given the lease's id to another daemon.
        self._lease_era = 0
        # Where the store has acknowledged the entry under this lease; None if
        # it has not.
        self._written: StoreVersion | None = None

    async def run(self) -> None:
        """Renews the lease until cancelled."""
        while True:
            renewed = await self.renew()
            if renewed:
                self._retries = 0
            elif self._retries:
                self._retries -= 1
                self._due.set()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_RENEWAL_INTERVAL_MS / _MS_PER_S):
                    await self._due.wait()
                    self._due.clear()
                    spread_ms = _RETURN_SPREAD_MS * self._rng.random()
                    await asyncio.sleep(spread_ms / _MS_PER_S)

    def notify_store_returned(self) -> None:
        """Renews the lease soon if it may have ended in an outage."""
        if self._clock.now_ms() - self._renewed_ms >= _SAFE_LEASE_AGE_MS:
            self._request_renewal()

    def notify_view_changed(self) -> None:
        """Writes the entry again soon if it has been removed."""
        written = self._written
        if written is None or self._view.version < written:
            return
        if not self._view.is_listed(self._member.name):
            self._request_renewal()

    def _request_renewal(self) -> None:
        self._retries = _RETURN_RETRIES
        self._due.set()

    async def renew(self) -> bool:
        """Renews the lease, and writes the entry if the store lacks it.

        Returns:
            Whether the store has acknowledged both.
        """
        try:
            if self._holds_lease():
                await self._renew_lease()
            if not (self._holds_lease() and self._is_listed()):
                await self._register()
        except LeaseLostError:
            log_event("lease_lost", lease=self._lease_id)
            self._lease_id = NO_LEASE
            return False
        except StoreUnavailableError as error:
            log_event("lease_renewal_failed", reason=str(error))
            return False
        self._renewed_ms = self._clock.now_ms()
        return True

    async def _renew_lease(self) -> None:
        try:
            await self._store.renew_lease(self._lease_id)
        except LeaseLostError:
            log_event("lease_lost", lease=self._lease_id)
            self._lease_id = NO_LEASE

    async def withdraw(self) -> None:
        """Ends the lease, and with it the entry, when the daemon has left."""
        if not self._holds_lease():
            return
        try:
            async with asyncio.timeout(_WITHDRAWAL_TIMEOUT_MS / _MS_PER_S):
                await self._store.end_lease(self._lease_id)
        except StoreUnavailableError as error:
            log_event("deregistration_failed", reason=str(error))
        except TimeoutError:
            log_event(
                "deregistration_failed",
                reason=f"no response within {_WITHDRAWAL_TIMEOUT_MS} ms",
            )

    def _is_listed(self) -> bool:
        """Whether the store has the entry, as far as is known."""
        if self._written is None:
            return False
        if self._view.version < self._written:
            return True
        name = self._member.name
        listed = None
        if self._view.is_listed(name):
            listed = self._view.members[name]
        if listed == self._member:
            return True
        log_event(
            "entry_replaced",
            member=self._member.name,
            incarnation=listed.incarnation if listed else None,
        )
        return False

    def _holds_lease(self) -> bool:
        return self._lease_id != NO_LEASE and self._store.era == self._lease_era

    async def _register(self) -> None:
        if not self._holds_lease():
            self._lease_id = NO_LEASE
            self._written = None
            self._lease_id = await self._store.grant_lease(_LEASE_MS)
            self._lease_era = self._store.era
        entry = self._codec.encode_member(self._member, self._lease_id)
        revision = await self._store.commit(writes=(entry,))
        self._written = StoreVersion(self._lease_era, revision)
        log_event("registered", lease=self._lease_id, member=self._member.name)

"""Registration of a daemon in the store under a lease.

Load pattern: calls whose response is lost may be executed seconds later, when
the daemon has already started again under the same name. All writes of a start
depend on its own lease, so that none of them changes the entry of the next one.
"""

from __future__ import annotations

import asyncio

from trefoilpitch.fleet import (
    NO_LEASE,
    DocumentCodec,
    FleetStore,
    LeaseLostError,
    Member,
    StoreUnavailableError,
)
from trefoilpitch.gateway._log import log_event

# Long, because heartbeats detect failures; the lease only cleans up the entries
# of VMs that no longer exist.
_LEASE_MS = 30_000
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
    """

    def __init__(
        self,
        store: FleetStore,
        codec: DocumentCodec,
        member: Member,
    ) -> None:
        self._store = store
        self._codec = codec
        self._member = member
        self._lease_id = NO_LEASE
        # Era of the store in which the lease was granted. In a later one the
        # store may have given the lease's id to another daemon.
        self._lease_era = 0
        # Whether the store has acknowledged the entry under this lease.
        self._written = False

    async def renew(self) -> None:
        """Renews the lease, or writes the entry under a new lease."""
        try:
            if self._holds_lease():
                await self._store.renew_lease(self._lease_id)
            if not (self._holds_lease() and self._written):
                await self._register()
        except LeaseLostError:
            log_event("lease_lost", lease=self._lease_id)
            self._lease_id = NO_LEASE
        except StoreUnavailableError as error:
            log_event("lease_renewal_failed", reason=str(error))

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

    def _holds_lease(self) -> bool:
        return self._lease_id != NO_LEASE and self._store.era == self._lease_era

    async def _register(self) -> None:
        if not self._holds_lease():
            self._lease_id = NO_LEASE
            self._written = False
            self._lease_id = await self._store.grant_lease(_LEASE_MS)
            self._lease_era = self._store.era
        entry = self._codec.encode_member(self._member, self._lease_id)
        await self._store.commit(writes=(entry,))
        self._written = True
        log_event("registered", lease=self._lease_id, member=self._member.name)

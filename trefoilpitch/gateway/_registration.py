"""Registration of a daemon in the store under a lease."""

from __future__ import annotations

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

    async def renew(self) -> None:
        """Renews the lease, or writes the entry under a new lease."""
        try:
            if self._holds_lease():
                await self._store.renew_lease(self._lease_id)
            if not self._holds_lease():
                await self._register()
        except LeaseLostError:
            log_event("lease_lost", lease=self._lease_id)
            self._lease_id = NO_LEASE
        except StoreUnavailableError as error:
            log_event("lease_renewal_failed", reason=str(error))

    async def withdraw(self) -> None:
        """Removes the entry when the daemon leaves."""
        if self._lease_id == NO_LEASE:
            return
        key = self._codec.encode_member(self._member, NO_LEASE).key
        try:
            await self._store.commit(removals=(key,))
        except StoreUnavailableError as error:
            log_event("deregistration_failed", reason=str(error))

    def _holds_lease(self) -> bool:
        return self._lease_id != NO_LEASE and self._store.era == self._lease_era

    async def _register(self) -> None:
        self._lease_id = NO_LEASE
        lease_id = await self._store.grant_lease(_LEASE_MS)
        era = self._store.era
        entry = self._codec.encode_member(self._member, lease_id)
        await self._store.commit(writes=(entry,))
        self._lease_id = lease_id
        self._lease_era = era
        log_event("registered", lease=lease_id, member=self._member.name)

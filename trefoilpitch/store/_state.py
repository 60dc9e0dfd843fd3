"""The keys and leases of the in-memory store."""

from __future__ import annotations

import dataclasses

from returns.result import Failure, Result, Success

from trefoilpitch.clock import Clock
from trefoilpitch.store._exceptions import (
    ConflictError,
    LeaseNotFoundError,
    NotAppliedError,
    StoreError,
)
from trefoilpitch.store._history import History
from trefoilpitch.store._types import (
    ABSENT,
    MAX_VALUE_BYTES,
    NO_LEASE,
    Lease,
)


@dataclasses.dataclass(slots=True)
class _LeaseState:
    """A lease that has not expired."""

    # The TTL from the grant or the last renewal.
    ttl_ms: int
    # Time of expiry on the store's clock.
    expires_ms: int


class StoreState:
    """Compare-and-swap and leases on top of a `History`; not thread-safe.

    Args:
        clock: The clock of the leases.
        max_changes: Changes retained for watches and stale reads.
    """

    def __init__(self, clock: Clock, max_changes: int) -> None:
        self._clock = clock
        self._history = History(max_changes)
        self._leases: dict[int, _LeaseState] = {}
        self._last_lease_id = NO_LEASE

    @property
    def history(self) -> History:
        """The revisions of the keys."""
        return self._history

    def put_if(
        self, key: str, value: bytes, expected_revision: int, lease_id: int
    ) -> Result[int, StoreError]:
        """Writes a key if its revision is the expected one."""
        if len(value) > MAX_VALUE_BYTES:
            detail = f"value of {len(value)} bytes exceeds {MAX_VALUE_BYTES}"
            return Failure(NotAppliedError(detail=detail))
        if lease_id != NO_LEASE and lease_id not in self._leases:
            return Failure(_lease_not_found(lease_id))
        conflict = self._compare(key, expected_revision)
        if conflict is not None:
            return Failure(conflict)
        return Success(self._history.put(key, value, lease_id))

    def delete_if(
        self, key: str, expected_revision: int
    ) -> Result[int, StoreError]:
        """Deletes a key if its revision is the expected one."""
        conflict = self._compare(key, expected_revision)
        if conflict is not None:
            return Failure(conflict)
        if expected_revision == ABSENT:
            return Success(self._history.revision)
        return Success(self._history.delete(key))

    def grant_lease(self, ttl_ms: int) -> Lease:
        """Grants a lease."""
        self._last_lease_id += 1
        expires_ms = self._clock.now_ms() + ttl_ms
        self._leases[self._last_lease_id] = _LeaseState(ttl_ms, expires_ms)
        return Lease(lease_id=self._last_lease_id, ttl_ms=ttl_ms)

    def keep_alive(self, lease_id: int) -> Result[Lease, StoreError]:
        """Renews a lease for its full TTL."""
        state = self._leases.get(lease_id)
        if state is None:
            return Failure(_lease_not_found(lease_id))
        state.expires_ms = self._clock.now_ms() + state.ttl_ms
        return Success(Lease(lease_id=lease_id, ttl_ms=state.ttl_ms))

    def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Revokes a lease and deletes its keys."""
        if lease_id not in self._leases:
            return Failure(_lease_not_found(lease_id))
        self._end_lease(lease_id)
        return Success(None)

    def expire_leases(self) -> None:
        """Ends the leases that are past their TTL."""
        now_ms = self._clock.now_ms()
        for lease_id, state in list(self._leases.items()):
            if state.expires_ms <= now_ms:
                self._end_lease(lease_id)

    def expire_all_leases(self) -> None:
        """Ends every lease, regardless of its TTL."""
        for lease_id in list(self._leases):
            self._end_lease(lease_id)

    def until_expiry_ms(self) -> int | None:
        """Returns the time until the next expiry; None without leases."""
        if not self._leases:
            return None
        first_ms = min(state.expires_ms for state in self._leases.values())
        return max(first_ms - self._clock.now_ms(), 0)

    def _compare(
        self, key: str, expected_revision: int
    ) -> ConflictError | None:
        entry = self._history.get(key)
        current_revision = ABSENT if entry is None else entry.revision
        if current_revision == expected_revision:
            return None
        return ConflictError(
            detail=f"{key} is at revision {current_revision}, "
            f"not {expected_revision}",
            current_revision=current_revision,
        )

    def _end_lease(self, lease_id: int) -> None:
        del self._leases[lease_id]
        for key in self._history.keys_of_lease(lease_id):
            self._history.delete(key)


def _lease_not_found(lease_id: int) -> LeaseNotFoundError:
    return LeaseNotFoundError(detail=f"lease {lease_id} does not exist")

"""Interfaces of the platform's store and of the codec for its documents."""

from __future__ import annotations

import dataclasses
from typing import Protocol, TypeAlias

from trefoilpitch.fleet._types import (
    Configuration,
    Member,
    QuarantineRecord,
    RolloutOrder,
    RolloutRecord,
    UpstreamEntry,
)

# Revision that stands for a key that does not exist.
ABSENT = 0
# Lease id of a key that has no lease and stays until it is removed.
NO_LEASE = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Item:
    """The latest change of a key: its new value, or its deletion."""

    key: str
    # None if the key was deleted.
    value: bytes | None
    # Store revision of the change.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class StoreVersion:
    """A point in the store's history; versions are ordered by era first."""

    # Rises when the store is restored from an older copy, after which it gives
    # out revisions again.
    era: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ItemBatch:
    """Items, and the revision after which to continue watching."""

    # Ordered by revision, except in a full listing.
    items: tuple[Item, ...]
    # The store's revision when the batch was read.
    revision: int
    # The store's era when the batch was read.
    era: int = 0
    # Whether the items are all that the sender has, not only changes.
    complete: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """One key to write in a commit."""

    key: str
    value: bytes
    # The store deletes the key when this lease ends.
    lease_id: int = NO_LEASE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """The revision that a key must have for a commit to succeed."""

    key: str
    # `ABSENT` if the key must not exist.
    revision: int


class FleetStore(Protocol):
    """Reads, watches and conditional writes of the platform's store.

    No call retries. Every call raises `StoreUnavailableError` if the store does
    not respond in time or responds that it did nothing.
    """

    @property
    def era(self) -> int:
        """Highest era in a response so far; 0 before the first response.

        After a restore the store lacks what it acknowledged since the copy was
        made, including leases.
        """

    async def read_all(self) -> ItemBatch:
        """Reads every key of the store, page by page.

        The pages are not one snapshot: the returned revision is that of the
        first page, and later pages may already contain newer changes.
        """

    async def watch(self, after: int, wait_ms: int) -> ItemBatch:
        """Waits for changes.

        Args:
            after: Only changes after this revision are returned.
            wait_ms: How long to wait for the first change.

        Returns:
            The changes; an empty batch if there were none in time.

        Raises:
            HistoryLostError: If the store has compacted changes after the
                revision.
        """

    async def commit(
        self,
        *,
        conditions: tuple[Condition, ...] = (),
        writes: tuple[Write, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> int:
        """Writes and removes keys in one transaction.

        Returns:
            The revision of the change.

        Raises:
            ConditionFailedError: If a key was not at its expected revision.
            LeaseLostError: If the lease of a write has ended.
        """

    async def grant_lease(self, ttl_ms: int) -> int:
        """Grants a lease and returns its id."""

    async def renew_lease(self, lease_id: int) -> None:
        """Renews a lease.

        Raises:
            LeaseLostError: If the lease has ended.
        """

    async def end_lease(self, lease_id: int) -> None:
        """Ends a lease and removes its keys, unless it has already ended.

        A key that was written again under another lease stays.
        """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evacuation:
    """An operator's order that takes a failure domain out of service."""

    failure_domain: str


Document: TypeAlias = (
    Configuration
    | UpstreamEntry
    | RolloutOrder
    | RolloutRecord
    | Evacuation
    | Member
    | QuarantineRecord
)


class DocumentCodec(Protocol):
    """Decodes and encodes the documents in the store."""

    def decode(self, key: str, value: bytes) -> Document | None:
        """Decodes an item.

        Returns:
            The document; None if the fleet does not use the key.

        Raises:
            MalformedDocumentError: If the value can't be decoded.
        """

    def encode_rollout(self, record: RolloutRecord) -> tuple[Write, ...]:
        """Encodes a roll-out's record and its status for operators."""

    def rollout_key(self, service: str) -> str:
        """Returns the key of a service's roll-out record."""

    def rollout_order_key(self, service: str) -> str:
        """Returns the key of an operator's roll-out order for a service."""

    def encode_member(self, member: Member, lease_id: int) -> Write:
        """Encodes a daemon's registration."""

    def encode_quarantine(
        self, record: QuarantineRecord, lease_id: int
    ) -> Write:
        """Encodes the record of a quarantine."""

"""What the fleet assumes of the platform's store, and of its documents."""

from __future__ import annotations

import dataclasses
from typing import Protocol, TypeAlias

from trefoilpitch.fleet._types import (
    Configuration,
    Member,
    RolloutOrder,
    RolloutRecord,
    UpstreamEntry,
)

# Revision of a key that does not exist.
ABSENT = 0
# No lease: the key stays until it is removed.
NO_LEASE = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Item:
    """A key with its value, or a key that was deleted."""

    # The key.
    key: str
    # The value; None if the key was deleted.
    value: bytes | None
    # Store revision of the change.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ItemBatch:
    """Items, and the revision from which to go on."""

    # Items in the order of their revisions, or all keys of a listing.
    items: tuple[Item, ...]
    # The store's revision when the batch was read.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """A key to write."""

    # The key.
    key: str
    # The value.
    value: bytes
    # The lease that the key ends with.
    lease_id: int = NO_LEASE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """A revision that a key must have."""

    # The key.
    key: str
    # Its revision; `ABSENT` if it must not exist.
    revision: int


class FleetStore(Protocol):
    """Reads, watches and conditional writes of the platform's store.

    No call retries by itself. Every call raises `StoreUnavailableError` if the
    store does not answer in time or says that it did nothing.
    """

    async def read_all(self) -> ItemBatch:
        """Reads every key that the fleet follows.

        The pages are not a snapshot: changes after the returned revision,
        which is the first page's, may be in the batch already.
        """

    async def watch(self, after: int, wait_ms: int) -> ItemBatch:
        """Waits for changes.

        Args:
            after: The revision after which changes are wanted.
            wait_ms: How long to wait for the first one.

        Returns:
            The changes, or an empty batch after the wait.

        Raises:
            HistoryLostError: If changes after the revision are gone.
        """

    async def commit(
        self,
        *,
        conditions: tuple[Condition, ...] = (),
        writes: tuple[Write, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> int:
        """Changes keys, all or none.

        Returns:
            The revision of the change.

        Raises:
            ConditionFailedError: If a condition did not hold.
            LeaseLostError: If a lease of a write has ended.
        """

    async def grant_lease(self, ttl_ms: int) -> int:
        """Grants a lease and returns its id."""

    async def renew_lease(self, lease_id: int) -> None:
        """Renews a lease.

        Raises:
            LeaseLostError: If it has ended.
        """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evacuation:
    """An order to send nothing to a failure domain."""

    # The failure domain.
    failure_domain: str


Document: TypeAlias = (
    Configuration
    | UpstreamEntry
    | RolloutOrder
    | RolloutRecord
    | Evacuation
    | Member
)


class DocumentCodec(Protocol):
    """Reads and writes the documents that lie in the store."""

    def decode(self, key: str, value: bytes) -> Document | None:
        """Decodes an item.

        Returns:
            The document; None if the fleet does not follow the key.

        Raises:
            MalformedDocumentError: If the value can't be read.
        """

    def encode_rollout(self, record: RolloutRecord) -> tuple[Write, ...]:
        """Encodes a roll-out's record and the status that operators read."""

    def rollout_key(self, service: str) -> str:
        """Returns the key of a service's roll-out record."""

    def encode_member(self, member: Member, lease_id: int) -> Write:
        """Encodes a daemon's registration."""

"""Entries, leases, watch events and counters of the store."""

from __future__ import annotations

import dataclasses
import enum

# The expected revision of a key that must not exist yet.
ABSENT = 0
# The lease ID of a key without a lease.
NO_LEASE = 0
# The largest value that the platform's store accepts.
MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One key and its value."""

    key: str
    value: bytes
    # The store revision of the last write to the key.
    revision: int
    # The lease that the key is attached to; `NO_LEASE` if none.
    lease_id: int = NO_LEASE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """Entries of a prefix at one revision."""

    # Sorted by key.
    entries: tuple[Entry, ...]
    # The store revision of the read; a watch continues from the next one.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """A granted lease; its keys are deleted when it expires."""

    # Assigned by the store.
    lease_id: int
    # Time to live after the grant or the last renewal.
    ttl_ms: int


class EventKind(enum.Enum):
    """The type of a change."""

    PUT = "put"
    DELETE = "delete"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchEvent:
    """One change of one key."""

    kind: EventKind
    key: str
    # The new value; empty for a deletion.
    value: bytes
    # The store revision of the change.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchBatch:
    """Changes in the order of their revisions; may be empty.

    A batch may repeat changes of an earlier one.
    """

    events: tuple[WatchEvent, ...] = ()
    # All changes up to this revision have been delivered; 0 if unknown.
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreCounters:
    """Totals of the calls of a store client."""

    # Reads of keys and prefixes, with any outcome.
    reads: int = 0
    # Writes, deletions and lease calls, with any outcome.
    writes: int = 0
    # Watches opened since the client was created.
    watches_opened: int = 0
    # Watches that are open at present.
    watches_waiting: int = 0
    # Calls that ended in `NotAppliedError` other than `ConflictError`.
    not_applied: int = 0
    # Calls that ended in `OutcomeUnknownError`.
    outcome_unknown: int = 0
    # Calls that ended in `ConflictError`.
    conflicts: int = 0

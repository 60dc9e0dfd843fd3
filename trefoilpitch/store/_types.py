"""What the store keeps and what it tells about changes."""

from __future__ import annotations

import dataclasses
import enum

# The expected revision of a key that must not exist yet.
ABSENT = 0
# The lease id of a key that stays until it is deleted.
NO_LEASE = 0
# Largest value that the platform's service takes.
MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One key and its value."""

    # The key.
    key: str
    # The value.
    value: bytes
    # The store revision that last wrote the key.
    revision: int
    # The lease that the key goes with; `NO_LEASE` if none.
    lease_id: int = NO_LEASE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """Every entry below a prefix at one revision."""

    # The entries, in the order of their keys.
    entries: tuple[Entry, ...]
    # The store revision read at; a watch continues from the next one.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """A granted lease; its keys are deleted when it expires."""

    # The store's name for it.
    lease_id: int
    # Time from the grant or the last keep-alive to the expiry.
    ttl_ms: int


class EventKind(enum.Enum):
    """What happened to a key."""

    PUT = "put"
    DELETE = "delete"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchEvent:
    """One change of one key."""

    # What happened.
    kind: EventKind
    # The key.
    key: str
    # The new value; empty for a deletion.
    value: bytes
    # The store revision of the change.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchBatch:
    """Changes in the order of their revisions; may be empty.

    A batch may repeat changes that an earlier one told of.
    """

    # The changes.
    events: tuple[WatchEvent, ...] = ()
    # Every change up to this revision has been told; 0 if not known.
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreCounters:
    """The calls that a store has been asked for."""

    # Reads of keys and prefixes, whatever came of them.
    reads: int = 0
    # Writes, deletions and lease calls, whatever came of them.
    writes: int = 0
    # Watches opened since the start.
    watches_opened: int = 0
    # Watches that are open now.
    watches_waiting: int = 0
    # Calls that ended in `NotAppliedError` without being refused by a compare.
    not_applied: int = 0
    # Calls that ended in `OutcomeUnknownError`.
    outcome_unknown: int = 0
    # Compare-and-swaps that lost.
    conflicts: int = 0

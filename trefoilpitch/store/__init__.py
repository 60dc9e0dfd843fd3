"""Clients of the platform's key-value store."""

from trefoilpitch.store._etcd import EtcdStore, etcd_store
from trefoilpitch.store._exceptions import (
    CompactedError,
    ConflictError,
    LeaseNotFoundError,
    NotAppliedError,
    OutcomeUnknownError,
    StoreError,
    UnavailableError,
    WatchClosedError,
)
from trefoilpitch.store._follower import (
    PrefixFollower,
    PrefixView,
    prefix_follower,
)
from trefoilpitch.store._memory import MemoryStore, memory_store
from trefoilpitch.store._protocols import KeyValueStore, Watch
from trefoilpitch.store._types import (
    ABSENT,
    MAX_VALUE_BYTES,
    NO_LEASE,
    Entry,
    EventKind,
    Lease,
    Listing,
    StoreCounters,
    WatchBatch,
    WatchEvent,
)

__all__ = [
    "ABSENT",
    "MAX_VALUE_BYTES",
    "NO_LEASE",
    "CompactedError",
    "ConflictError",
    "Entry",
    "EtcdStore",
    "EventKind",
    "KeyValueStore",
    "Lease",
    "LeaseNotFoundError",
    "Listing",
    "MemoryStore",
    "NotAppliedError",
    "OutcomeUnknownError",
    "PrefixFollower",
    "PrefixView",
    "StoreCounters",
    "StoreError",
    "UnavailableError",
    "Watch",
    "WatchBatch",
    "WatchClosedError",
    "WatchEvent",
    "etcd_store",
    "memory_store",
    "prefix_follower",
]

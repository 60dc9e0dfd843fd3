"""Leases with fencing numbers, based on compare-and-swap in the store."""

from trefoilpitch.leases._events import (
    Action,
    Event,
    ReadFailed,
    ReadRecord,
    RecordRead,
    Release,
    Tick,
    WriteConflicted,
    WriteNotApplied,
    WriteRecord,
    WriteSucceeded,
    WriteUnknown,
)
from trefoilpitch.leases._machine import initial_state, step
from trefoilpitch.leases._manager import LeaseManager, lease_manager
from trefoilpitch.leases._types import (
    LeaseCounters,
    LeaseRecord,
    LeaseState,
    LeaseTerms,
    Term,
    lease_terms,
)

__all__ = [
    "Action",
    "Event",
    "LeaseCounters",
    "LeaseManager",
    "LeaseRecord",
    "LeaseState",
    "LeaseTerms",
    "ReadFailed",
    "ReadRecord",
    "RecordRead",
    "Release",
    "Term",
    "Tick",
    "WriteConflicted",
    "WriteNotApplied",
    "WriteRecord",
    "WriteSucceeded",
    "WriteUnknown",
    "initial_state",
    "lease_manager",
    "lease_terms",
    "step",
]

"""What a candidate can conclude from the lease record that it has read."""

from __future__ import annotations

import msgspec

from trefoilpitch.leases._types import (
    LeaseRecord,
    LeaseState,
    Observation,
    RereadReason,
)
from trefoilpitch.store import ABSENT, Entry


def is_stale(state: LeaseState, entry: Entry | None) -> bool:
    """Tells whether a read returned a revision known to be outdated."""
    if (
        state.observed is None
        or state.reread_reason is not RereadReason.OUTDATED
    ):
        return False
    revision = ABSENT if entry is None else entry.revision
    return revision <= state.observed.revision


def observe(state: LeaseState, entry: Entry | None, now_ms: int) -> Observation:
    """Returns the observation after a read.

    A read of the same or an older revision leaves it unchanged.
    """
    revision = ABSENT if entry is None else entry.revision
    if state.observed is not None and revision <= state.observed.revision:
        return state.observed
    record = None if entry is None else _decode(entry.value)
    return Observation(revision=revision, record=record, first_seen_ms=now_ms)


def is_own(state: LeaseState, observed: Observation) -> bool:
    """Tells whether this candidate wrote the record and has not released it."""
    record = observed.record
    return (
        record is not None
        and record.holder == state.terms.holder
        and not record.released
    )


def takeover_from_ms(state: LeaseState, observed: Observation) -> int:
    """Returns the earliest time at which no other holder can be valid."""
    if observed.revision == ABSENT and not observed.is_deleted:
        return observed.first_seen_ms
    record = observed.record
    if record is not None and record.released:
        return observed.first_seen_ms
    stated_ms = 0 if record is None else record.validity_ms
    validity_ms = max(stated_ms, state.terms.validity_ms)
    return observed.first_seen_ms + validity_ms + state.terms.margin_ms


def _decode(value: bytes) -> LeaseRecord | None:
    try:
        return msgspec.json.decode(value, type=LeaseRecord)
    except msgspec.MsgspecError:
        return None

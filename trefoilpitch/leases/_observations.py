"""What a candidate may conclude from the record that it has seen."""

from __future__ import annotations

import msgspec

from trefoilpitch.leases._types import (
    LeaseRecord,
    LeaseState,
    Observation,
    Recheck,
)
from trefoilpitch.store import ABSENT, Entry


def is_stale(state: LeaseState, entry: Entry | None) -> bool:
    """Tells whether a read shows a revision that is known to be replaced."""
    if state.observed is None or state.recheck is not Recheck.OUTDATED:
        return False
    revision = ABSENT if entry is None else entry.revision
    return revision <= state.observed.revision


def observe(state: LeaseState, entry: Entry | None, now_ms: int) -> Observation:
    """Returns what is known now; an older revision tells nothing new."""
    revision = ABSENT if entry is None else entry.revision
    if state.observed is not None and revision <= state.observed.revision:
        return state.observed
    record = None if entry is None else _decode(entry.value)
    return Observation(revision=revision, record=record, since_ms=now_ms)


def is_own(state: LeaseState, observed: Observation) -> bool:
    """Tells whether the record is the candidate's, and not released."""
    record = observed.record
    return (
        record is not None
        and record.holder == state.terms.holder
        and not record.released
    )


def takeover_from_ms(state: LeaseState, observed: Observation) -> int:
    """Returns from when on no other holder can be valid."""
    if observed.revision == ABSENT and not observed.is_deleted:
        return observed.since_ms
    record = observed.record
    if record is not None and record.released:
        return observed.since_ms
    stated_ms = 0 if record is None else record.validity_ms
    validity_ms = max(stated_ms, state.terms.validity_ms)
    return observed.since_ms + validity_ms + state.terms.margin_ms


def _decode(value: bytes) -> LeaseRecord | None:
    try:
        return msgspec.json.decode(value, type=LeaseRecord)
    except msgspec.MsgspecError:
        return None

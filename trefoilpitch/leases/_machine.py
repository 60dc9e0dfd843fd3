"""The state machine that acquires, renews, takes over and releases a lease.

The lease is one key of the store. Its holder rewrites the record before the
validity of the last write ends. Another candidate takes over once it has
observed the same revision for longer than the validity stated in the record.
Every write is a compare-and-swap, so a stale read can delay a takeover but
can't cause one too early. The record is never deleted.
"""

from __future__ import annotations

import dataclasses

import msgspec

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
from trefoilpitch.leases._observations import (
    is_own,
    is_stale,
    observe,
    takeover_from_ms,
)
from trefoilpitch.leases._types import (
    LeaseRecord,
    LeaseState,
    LeaseTerms,
    Observation,
    PendingWrite,
    RereadReason,
    Term,
)
from trefoilpitch.store import ABSENT, Entry

Step = tuple[LeaseState, tuple[Action, ...]]


def initial_state(terms: LeaseTerms) -> LeaseState:
    """Returns the state of a candidate that has not read the record yet."""
    return LeaseState(terms=terms)


def step(state: LeaseState, event: Event, now_ms: int) -> Step:
    """Applies one event.

    Args:
        state: The state before.
        event: What happened; the result of a call is that of the one in flight.
        now_ms: Monotonic time of the event.

    Returns:
        The new state, and at most one call to make now.
    """
    state = _without_expired_term(state, now_ms)
    match event:
        case Tick():
            pass
        case Release():
            state = _after_release(state, now_ms)
        case RecordRead(entry=entry):
            state = _after_read(state, entry, now_ms)
        case WriteSucceeded(revision=revision):
            state = _after_write(state, revision, now_ms)
        case WriteConflicted(current_revision=revision):
            state = _after_conflict(state, revision, now_ms)
        case WriteNotApplied():
            state = dataclasses.replace(state, pending_write=None)
            state = _after_failure(state, now_ms)
        case ReadFailed():
            state = _after_failure(state, now_ms)
        case WriteUnknown():
            state = dataclasses.replace(
                state, reread_reason=RereadReason.UNSETTLED
            )
            state = _after_failure(state, now_ms)
    return _next_call(state, now_ms)


def _next_call(state: LeaseState, now_ms: int) -> Step:
    """Returns the call that is due, if any."""
    if state.is_call_in_flight or state.is_released or now_ms < state.due_ms:
        return state, ()
    observed = state.observed
    if observed is None or state.reread_reason is not RereadReason.NONE:
        return _read(state)
    if is_own(state, observed):
        return _write(state, observed, now_ms)
    if state.is_releasing:
        return dataclasses.replace(state, is_released=True), ()
    if now_ms >= takeover_from_ms(state, observed):
        return _write(state, observed, now_ms)
    return _read(state)


def _read(state: LeaseState) -> Step:
    return dataclasses.replace(state, is_call_in_flight=True), (ReadRecord(),)


def _write(state: LeaseState, observed: Observation, now_ms: int) -> Step:
    pending_write = PendingWrite(
        sequence=state.sequence + 1,
        sent_ms=now_ms,
        expected_revision=observed.revision,
        released=state.is_releasing,
    )
    record = LeaseRecord(
        holder=state.terms.holder,
        sequence=pending_write.sequence,
        validity_ms=state.terms.validity_ms,
        released=pending_write.released,
    )
    action = WriteRecord(
        value=msgspec.json.encode(record),
        expected_revision=observed.revision,
    )
    state = dataclasses.replace(
        state,
        sequence=pending_write.sequence,
        pending_write=pending_write,
        is_call_in_flight=True,
    )
    return state, (action,)


def _after_read(
    state: LeaseState, entry: Entry | None, now_ms: int
) -> LeaseState:
    state = dataclasses.replace(state, is_call_in_flight=False, due_ms=now_ms)
    if is_stale(state, entry):
        retry_ms = now_ms + state.terms.retry_interval_ms
        return dataclasses.replace(state, due_ms=retry_ms)
    observed = observe(state, entry, now_ms)
    state = dataclasses.replace(
        state, observed=observed, reread_reason=RereadReason.NONE
    )
    if is_own(state, observed):
        return _after_unconfirmed_write(state, observed, now_ms)
    state = dataclasses.replace(state, term=None, pending_write=None)
    return _schedule_wait(state, observed, now_ms)


def _after_unconfirmed_write(
    state: LeaseState, observed: Observation, now_ms: int
) -> LeaseState:
    """Resolves a write of this candidate whose response was lost."""
    pending_write = state.pending_write
    record = observed.record
    if pending_write is None or record is None:
        return state
    if record.sequence != pending_write.sequence:
        # This is an earlier write of this candidate, which doesn't confirm the
        # pending one. It may have been applied late and have replaced the
        # expired record of another holder that the pending write was to
        # replace.
        return dataclasses.replace(state, pending_write=None)
    return _after_write(state, observed.revision, now_ms)


def _schedule_wait(
    state: LeaseState, observed: Observation, now_ms: int
) -> LeaseState:
    """Sets the time of the next call of a candidate without the lease."""
    free_from_ms = takeover_from_ms(state, observed)
    if state.is_releasing or now_ms >= free_from_ms:
        return state
    read_ms = now_ms + state.terms.read_interval_ms
    return dataclasses.replace(state, due_ms=min(read_ms, free_from_ms))


def _after_write(state: LeaseState, revision: int, now_ms: int) -> LeaseState:
    """Handles a confirmed write, which begins or extends a term.

    The validity counts from when the write was sent, the earliest time at
    which the store can have applied it.
    """
    pending_write = state.pending_write
    if pending_write is None:
        return dataclasses.replace(state, is_call_in_flight=False)
    record = LeaseRecord(
        holder=state.terms.holder,
        sequence=pending_write.sequence,
        validity_ms=state.terms.validity_ms,
        released=pending_write.released,
    )
    state = dataclasses.replace(
        state,
        observed=Observation(
            revision=revision, record=record, first_seen_ms=now_ms
        ),
        reread_reason=RereadReason.NONE,
        pending_write=None,
        is_call_in_flight=False,
        due_ms=max(
            pending_write.sent_ms + state.terms.renew_interval_ms, now_ms + 1
        ),
    )
    if pending_write.released:
        return dataclasses.replace(state, is_released=True)
    if state.is_releasing:
        return dataclasses.replace(state, due_ms=now_ms)
    return _begin_or_extend_term(state, revision, pending_write, now_ms)


def _begin_or_extend_term(
    state: LeaseState, revision: int, pending_write: PendingWrite, now_ms: int
) -> LeaseState:
    valid_until_ms = pending_write.sent_ms + state.terms.validity_ms
    if state.term is not None:
        term = dataclasses.replace(state.term, valid_until_ms=valid_until_ms)
        return dataclasses.replace(state, term=term)
    counters = dataclasses.replace(
        state.counters, terms=state.counters.terms + 1
    )
    term = Term(fencing_number=revision, valid_until_ms=valid_until_ms)
    state = dataclasses.replace(state, term=term, counters=counters)
    return _without_expired_term(state, now_ms)


def _after_conflict(
    state: LeaseState, current_revision: int, now_ms: int
) -> LeaseState:
    """Has the record read again, to find out which write came first.

    It may have been an earlier write of this candidate.
    """
    counters = dataclasses.replace(
        state.counters, conflicts=state.counters.conflicts + 1
    )
    state = dataclasses.replace(
        state,
        reread_reason=RereadReason.OUTDATED,
        pending_write=None,
        is_call_in_flight=False,
        due_ms=now_ms,
        counters=counters,
    )
    if current_revision != ABSENT:
        return state
    # The record was deleted, but its holder may still be valid.
    deleted = Observation(
        revision=ABSENT, record=None, first_seen_ms=now_ms, is_deleted=True
    )
    state = dataclasses.replace(
        state, observed=deleted, reread_reason=RereadReason.NONE, term=None
    )
    return _schedule_wait(state, deleted, now_ms)


def _after_failure(state: LeaseState, now_ms: int) -> LeaseState:
    counters = dataclasses.replace(
        state.counters, failures=state.counters.failures + 1
    )
    return dataclasses.replace(
        state,
        is_call_in_flight=False,
        due_ms=now_ms + state.terms.retry_interval_ms,
        counters=counters,
    )


def _after_release(state: LeaseState, now_ms: int) -> LeaseState:
    return dataclasses.replace(
        state, is_releasing=True, term=None, due_ms=now_ms
    )


def _without_expired_term(state: LeaseState, now_ms: int) -> LeaseState:
    """Ends a term whose validity has expired.

    A later write begins a new term with a new fencing number.
    """
    if state.term is None or now_ms < state.term.valid_until_ms:
        return state
    counters = dataclasses.replace(
        state.counters, lapses=state.counters.lapses + 1
    )
    return dataclasses.replace(state, term=None, counters=counters)

"""Decides when to read, renew, take over and give up a lease.

The lease is one key. Its holder writes the record again before the validity of
the last write ends; any other candidate takes over once it has known the same
revision for longer than the validity that the record states. As every write
names the revision that it replaces, a stale read delays a takeover and cannot
cause one too early. The record is never deleted.
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
    Attempt,
    LeaseRecord,
    LeaseState,
    LeaseTerms,
    Observation,
    Recheck,
    Term,
)
from trefoilpitch.store import ABSENT, Entry

Step = tuple[LeaseState, tuple[Action, ...]]


def initial_state(terms: LeaseTerms) -> LeaseState:
    """Returns the state of a candidate that knows nothing yet."""
    return LeaseState(terms=terms)


def step(state: LeaseState, event: Event, now_ms: int) -> Step:
    """Takes one event into account.

    Args:
        state: The state before.
        event: What happened; replies belong to the one call on its way.
        now_ms: Monotonic time of the event.

    Returns:
        The state after, and at most one call to make now.
    """
    state = _without_lapsed_term(state, now_ms)
    match event:
        case Tick():
            pass
        case Release():
            state = _releasing(state, now_ms)
        case RecordRead(entry=entry):
            state = _after_read(state, entry, now_ms)
        case WriteSucceeded(revision=revision):
            state = _after_write(state, revision, now_ms)
        case WriteConflicted(current_revision=revision):
            state = _after_conflict(state, revision, now_ms)
        case WriteNotApplied():
            state = dataclasses.replace(state, attempt=None)
            state = _after_failure(state, now_ms)
        case ReadFailed():
            state = _after_failure(state, now_ms)
        case WriteUnknown():
            state = dataclasses.replace(state, recheck=Recheck.UNSETTLED)
            state = _after_failure(state, now_ms)
    return _next_call(state, now_ms)


def _next_call(state: LeaseState, now_ms: int) -> Step:
    """Makes the call that is due, if any."""
    if state.is_calling or state.is_released or now_ms < state.due_ms:
        return state, ()
    observed = state.observed
    if observed is None or state.recheck is not Recheck.NONE:
        return _read(state)
    if is_own(state, observed):
        return _write(state, observed, now_ms)
    if state.is_releasing:
        return dataclasses.replace(state, is_released=True), ()
    if now_ms >= takeover_from_ms(state, observed):
        return _write(state, observed, now_ms)
    return _read(state)


def _read(state: LeaseState) -> Step:
    return dataclasses.replace(state, is_calling=True), (ReadRecord(),)


def _write(state: LeaseState, observed: Observation, now_ms: int) -> Step:
    attempt = Attempt(
        sequence=state.sequence + 1,
        sent_ms=now_ms,
        expected_revision=observed.revision,
        released=state.is_releasing,
    )
    record = LeaseRecord(
        holder=state.terms.holder,
        sequence=attempt.sequence,
        validity_ms=state.terms.validity_ms,
        released=attempt.released,
    )
    action = WriteRecord(
        value=msgspec.json.encode(record),
        expected_revision=observed.revision,
    )
    state = dataclasses.replace(
        state, sequence=attempt.sequence, attempt=attempt, is_calling=True
    )
    return state, (action,)


def _after_read(
    state: LeaseState, entry: Entry | None, now_ms: int
) -> LeaseState:
    state = dataclasses.replace(state, is_calling=False, due_ms=now_ms)
    if is_stale(state, entry):
        retry_ms = now_ms + state.terms.retry_interval_ms
        return dataclasses.replace(state, due_ms=retry_ms)
    observed = observe(state, entry, now_ms)
    state = dataclasses.replace(state, observed=observed, recheck=Recheck.NONE)
    if is_own(state, observed):
        return _settled(state, observed, now_ms)
    state = dataclasses.replace(state, term=None, attempt=None)
    return _wait(state, observed, now_ms)


def _settled(
    state: LeaseState, observed: Observation, now_ms: int
) -> LeaseState:
    """Takes in a write of our own whose reply was lost."""
    attempt = state.attempt
    record = observed.record
    if attempt is None or record is None:
        return state
    if record.sequence != attempt.sequence:
        # An earlier write of ours, which replaced what we had waited out.
        return dataclasses.replace(state, attempt=None)
    return _after_write(state, observed.revision, now_ms)


def _wait(state: LeaseState, observed: Observation, now_ms: int) -> LeaseState:
    """Sets when a candidate that does not hold the lease acts next."""
    free_from_ms = takeover_from_ms(state, observed)
    if state.is_releasing or now_ms >= free_from_ms:
        return state
    read_ms = now_ms + state.terms.read_interval_ms
    return dataclasses.replace(state, due_ms=min(read_ms, free_from_ms))


def _after_write(state: LeaseState, revision: int, now_ms: int) -> LeaseState:
    """Begins or prolongs a term; the validity counts from the sending."""
    attempt = state.attempt
    if attempt is None:
        return dataclasses.replace(state, is_calling=False)
    record = LeaseRecord(
        holder=state.terms.holder,
        sequence=attempt.sequence,
        validity_ms=state.terms.validity_ms,
        released=attempt.released,
    )
    state = dataclasses.replace(
        state,
        observed=Observation(revision=revision, record=record, since_ms=now_ms),
        recheck=Recheck.NONE,
        attempt=None,
        is_calling=False,
        due_ms=max(attempt.sent_ms + state.terms.renew_interval_ms, now_ms + 1),
    )
    if attempt.released:
        return dataclasses.replace(state, is_released=True)
    if state.is_releasing:
        return dataclasses.replace(state, due_ms=now_ms)
    return _with_term(state, revision, attempt, now_ms)


def _with_term(
    state: LeaseState, revision: int, attempt: Attempt, now_ms: int
) -> LeaseState:
    valid_until_ms = attempt.sent_ms + state.terms.validity_ms
    if state.term is not None:
        term = dataclasses.replace(state.term, valid_until_ms=valid_until_ms)
        return dataclasses.replace(state, term=term)
    counters = dataclasses.replace(
        state.counters, terms=state.counters.terms + 1
    )
    term = Term(fencing_number=revision, valid_until_ms=valid_until_ms)
    state = dataclasses.replace(state, term=term, counters=counters)
    return _without_lapsed_term(state, now_ms)


def _after_conflict(
    state: LeaseState, current_revision: int, now_ms: int
) -> LeaseState:
    """Reads who was faster; perhaps an earlier write of our own."""
    counters = dataclasses.replace(
        state.counters, conflicts=state.counters.conflicts + 1
    )
    state = dataclasses.replace(
        state,
        recheck=Recheck.OUTDATED,
        attempt=None,
        is_calling=False,
        due_ms=now_ms,
        counters=counters,
    )
    if current_revision != ABSENT:
        return state
    # Somebody deleted the record; its holder may still be valid.
    deleted = Observation(
        revision=ABSENT, record=None, since_ms=now_ms, is_deleted=True
    )
    state = dataclasses.replace(
        state, observed=deleted, recheck=Recheck.NONE, term=None
    )
    return _wait(state, deleted, now_ms)


def _after_failure(state: LeaseState, now_ms: int) -> LeaseState:
    counters = dataclasses.replace(
        state.counters, failures=state.counters.failures + 1
    )
    return dataclasses.replace(
        state,
        is_calling=False,
        due_ms=now_ms + state.terms.retry_interval_ms,
        counters=counters,
    )


def _releasing(state: LeaseState, now_ms: int) -> LeaseState:
    return dataclasses.replace(
        state, is_releasing=True, term=None, due_ms=now_ms
    )


def _without_lapsed_term(state: LeaseState, now_ms: int) -> LeaseState:
    """Ends a term whose validity has passed; the next one is a new one."""
    if state.term is None or now_ms < state.term.valid_until_ms:
        return state
    counters = dataclasses.replace(
        state.counters, lapses=state.counters.lapses + 1
    )
    return dataclasses.replace(state, term=None, counters=counters)

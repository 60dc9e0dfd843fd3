"""Candidates compete over delayed calls, lost responses and stale reads."""

from __future__ import annotations

import dataclasses
import enum

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from returns.result import Success

from trefoilpitch.clock import ManualClock
from trefoilpitch.leases import (
    Action,
    Event,
    LeaseState,
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
    initial_state,
    lease_terms,
    step,
)
from trefoilpitch.store import ConflictError, memory_store

_KEY = "leases/orders"
_VALIDITY_MS = 3_000
_CANDIDATES = 3
_STEPS = 60
# The candidates' clock rates, in percent of the store's.
_RATES_PERCENT = (100, 101, 99)
_candidates = st.integers(0, _CANDIDATES - 1)


class _Stage(enum.Enum):
    """How far a candidate's call has got."""

    SENT = "sent"
    REPLIED = "replied"


@dataclasses.dataclass
class _Call:
    action: Action
    stage: _Stage = _Stage.SENT
    reply: Event | None = None


class _Candidate:
    def __init__(self, index: int) -> None:
        terms = lease_terms(f"vm-{index}", validity_ms=_VALIDITY_MS)
        self.state: LeaseState = initial_state(terms)
        self.call: _Call | None = None
        self._rate_percent = _RATES_PERCENT[index]
        self._offset_ms = 1_000_000 * index

    def local_ms(self, now_ms: int) -> int:
        return now_ms * self._rate_percent // 100 + self._offset_ms

    def handle(self, event: Event, now_ms: int) -> None:
        local_ms = self.local_ms(now_ms)
        self.state, actions = step(self.state, event, local_ms)
        if actions:
            assert self.call is None
            (action,) = actions
            self.call = _Call(action)

    def finish_call(self) -> _Call:
        call = self.call
        assert call is not None
        self.call = None
        return call

    def fencing_number(self, now_ms: int) -> int | None:
        return self.state.fencing_number(self.local_ms(now_ms))


class LeaseRace(RuleBasedStateMachine):
    """At most one holder is valid at a time, and fencing numbers increase."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.store = memory_store(self.clock)
        self.candidates = [_Candidate(index) for index in range(_CANDIDATES)]
        self.delayed_writes: list[WriteRecord] = []
        self.last_fencing = (0, 0)

    @initialize(index=_candidates)
    def first_holder(self, index: int) -> None:
        for candidate in self.candidates[index:] + self.candidates[:index]:
            self._finish(candidate)

    @rule(index=_candidates)
    def poll(self, index: int) -> None:
        self._finish(self.candidates[index])

    @rule(index=_candidates)
    def begin(self, index: int) -> None:
        self.candidates[index].handle(Tick(), self.clock.now_ms())

    @rule(by_ms=st.sampled_from([1, 200, 900, 1_000, 2_800, 3_300]))
    def pass_time(self, by_ms: int) -> None:
        self.clock.advance(by_ms)

    @precondition(lambda self: self.calling(_Stage.SENT))
    @rule(pick=_candidates)
    def arrive(self, pick: int) -> None:
        calling = self.calling(_Stage.SENT)
        self._arrive(calling[pick % len(calling)])

    @precondition(lambda self: self.calling(_Stage.REPLIED))
    @rule(pick=_candidates)
    def reply(self, pick: int) -> None:
        calling = self.calling(_Stage.REPLIED)
        self._deliver_reply(calling[pick % len(calling)])

    @precondition(lambda self: self.calling(*_Stage))
    @rule(pick=_candidates, may_arrive_later=st.booleans())
    def time_out(self, pick: int, may_arrive_later: bool) -> None:
        """Loses the reply or the call; a lost write may be applied later."""
        calling = self.calling(*_Stage)
        candidate = calling[pick % len(calling)]
        call = candidate.finish_call()
        if isinstance(call.action, ReadRecord):
            candidate.handle(ReadFailed(), self.clock.now_ms())
            return
        if call.stage is _Stage.SENT and may_arrive_later:
            self.delayed_writes.append(call.action)
        candidate.handle(WriteUnknown(), self.clock.now_ms())

    @precondition(lambda self: self.calling(_Stage.SENT))
    @rule(pick=_candidates)
    def refuse(self, pick: int) -> None:
        calling = self.calling(_Stage.SENT)
        candidate = calling[pick % len(calling)]
        call = candidate.finish_call()
        is_read = isinstance(call.action, ReadRecord)
        event = ReadFailed() if is_read else WriteNotApplied()
        candidate.handle(event, self.clock.now_ms())

    @precondition(lambda self: self.delayed_writes)
    @rule()
    def delayed_write_arrives(self) -> None:
        self._apply(self.delayed_writes.pop(0))

    @rule(revisions=st.integers(0, 2))
    def set_read_lag(self, revisions: int) -> None:
        self.store.set_read_lag(revisions)

    @rule(index=_candidates)
    def release(self, index: int) -> None:
        candidate = self.candidates[index]
        if index and candidate.call is None:
            candidate.handle(Release(), self.clock.now_ms())

    @invariant()
    def at_most_one_valid_holder_with_increasing_numbers(self) -> None:
        now_ms = self.clock.now_ms()
        numbers = {
            index: number
            for index, candidate in enumerate(self.candidates)
            if (number := candidate.fencing_number(now_ms)) is not None
        }
        assert len(numbers) <= 1, numbers
        for index, number in numbers.items():
            last_number, last_index = self.last_fencing
            same_term = (number, index) == self.last_fencing
            assert same_term or number > last_number, (numbers, last_index)
            self.last_fencing = (number, index)

    def teardown(self) -> None:
        """Checks that some candidate acquires the lease once the faults end."""
        self.store.set_read_lag(0)
        for delayed in self.delayed_writes:
            self._apply(delayed)
        for _ in range(4 * _VALIDITY_MS // 100):
            self.clock.advance(100)
            for candidate in self.candidates:
                self._finish(candidate)
            self.at_most_one_valid_holder_with_increasing_numbers()
        now_ms = self.clock.now_ms()
        assert any(
            candidate.fencing_number(now_ms) for candidate in self.candidates
        )

    def calling(self, *stages: _Stage) -> list[_Candidate]:
        return [
            candidate
            for candidate in self.candidates
            if candidate.call is not None and candidate.call.stage in stages
        ]

    def _finish(self, candidate: _Candidate) -> None:
        """Polls a candidate and completes its calls without faults."""
        candidate.handle(Tick(), self.clock.now_ms())
        while candidate.call is not None:
            self._arrive(candidate)
            self._deliver_reply(candidate)

    def _arrive(self, candidate: _Candidate) -> None:
        call = candidate.call
        if call is not None and call.stage is _Stage.SENT:
            call.reply = self._apply(call.action)
            call.stage = _Stage.REPLIED

    def _deliver_reply(self, candidate: _Candidate) -> None:
        reply = candidate.finish_call().reply
        assert reply is not None
        candidate.handle(reply, self.clock.now_ms())

    def _apply(self, action: Action) -> Event:
        if isinstance(action, ReadRecord):
            return RecordRead(entry=self.store.get(_KEY).unwrap())
        result = self.store.put_if(_KEY, action.value, action.expected_revision)
        if isinstance(result, Success):
            return WriteSucceeded(revision=result.unwrap())
        error = result.failure()
        assert isinstance(error, ConflictError)
        return WriteConflicted(current_revision=error.current_revision)


TestLeaseRace = LeaseRace.TestCase
TestLeaseRace.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=_STEPS,
)

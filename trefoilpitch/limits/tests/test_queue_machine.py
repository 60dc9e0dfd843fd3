"""Stateful test of the admission queue with random operations."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from trefoilpitch.bundle import Priority
from trefoilpitch.limits import (
    AdmissionQueue,
    Queued,
    QueueSettings,
    Refused,
    Ticket,
)

_MAX_WAITING = 5


class _QueueMachine(RuleBasedStateMachine):
    """Every request ends exactly once, and none is served too late."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = AdmissionQueue(2, QueueSettings(max_waiting=_MAX_WAITING))
        self.now_ms = 0
        self.number = 0
        self.waiting: dict[str, Ticket] = {}

    def _check_refused(self, refused: tuple[Refused, ...]) -> None:
        for one in refused:
            assert self.waiting.pop(one.ticket.request_id) == one.ticket
            assert one.retry_after_ms >= 1_000

    @rule(
        workspace=st.sampled_from(["a", "b", "c"]),
        weight=st.integers(1, 3),
        priority=st.sampled_from(Priority),
        allowed_ms=st.integers(0, 5_000),
        run_ms=st.integers(1, 1_000),
    )
    def offer(
        self,
        workspace: str,
        weight: int,
        priority: Priority,
        allowed_ms: int,
        run_ms: int,
    ) -> None:
        self.number += 1
        ticket = Ticket(
            request_id=str(self.number),
            workspace=workspace,
            weight=weight,
            priority=priority,
            deadline_ms=self.now_ms + allowed_ms,
            expected_run_ms=run_ms,
        )
        self._check_refused(self.queue.expire(self.now_ms))
        outcome = self.queue.offer(ticket, self.now_ms)
        if isinstance(outcome, Queued):
            if outcome.displaced is not None:
                self._check_refused((outcome.displaced,))
            self.waiting[ticket.request_id] = ticket

    @rule()
    def take(self) -> None:
        self._check_refused(self.queue.expire(self.now_ms))
        ticket = self.queue.take(self.now_ms)
        if ticket is None:
            assert not self.waiting
            return
        assert self.waiting.pop(ticket.request_id) == ticket
        assert ticket.latest_start_ms >= self.now_ms

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        request_id = data.draw(st.sampled_from(sorted(self.waiting)))
        assert self.queue.cancel(request_id)
        del self.waiting[request_id]

    @rule(elapsed_ms=st.integers(1, 2_000))
    def pass_time(self, elapsed_ms: int) -> None:
        self.now_ms += elapsed_ms
        self._check_refused(self.queue.expire(self.now_ms))

    @rule(concurrency=st.integers(0, 4))
    def change_capacity(self, concurrency: int) -> None:
        self._check_refused(
            self.queue.set_concurrency(concurrency, self.now_ms)
        )

    @invariant()
    def length_matches_waiting_requests(self) -> None:
        assert len(self.queue) == len(self.waiting)
        assert len(self.waiting) <= _MAX_WAITING * len(Priority)

    @invariant()
    def expiry_is_set_while_requests_wait(self) -> None:
        expiry_ms = self.queue.next_expiry_ms
        assert (expiry_ms is None) == (not self.waiting)


TestQueueMachine = _QueueMachine.TestCase
TestQueueMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=40
)

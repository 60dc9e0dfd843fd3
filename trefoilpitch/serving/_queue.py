"""Runs that wait for a place on an upstream."""

from __future__ import annotations

import threading
import time
from types import TracebackType
from typing import Protocol, Self

from trefoilpitch.bundle import Priority
from trefoilpitch.clock import Clock
from trefoilpitch.limits import (
    AdmissionQueue,
    QueueSettings,
    RefusalReason,
    Refused,
    Ticket,
)
from trefoilpitch.routing import Target
from trefoilpitch.serving._problems import caller_gone_problem
from trefoilpitch.upstreams import Cancellation
from trefoilpitch.web import Outcome, Problem

_MS_PER_S = 1_000
# A place can also become free without a release on this node.
_POLL_MS = 100
_FIRST_EXPECTED_RUN_MS = 200.0
_RUN_WEIGHT = 0.1


class Waiter(Protocol):
    """Lets a thread wait, for another one or for time to pass."""

    def sleep(self, duration_ms: int) -> None:
        """Waits for a time."""

    def wait(self, changed: threading.Condition, timeout_ms: int) -> None:
        """Waits on a condition whose lock is held, for a time at most."""


class RealTimeWaiter:
    """Waits in real time."""

    def sleep(self, duration_ms: int) -> None:
        """Waits for a time."""
        time.sleep(duration_ms / _MS_PER_S)

    def wait(self, changed: threading.Condition, timeout_ms: int) -> None:
        """Waits on a condition whose lock is held, for a time at most."""
        changed.wait(timeout_ms / _MS_PER_S)


class Waiting(Protocol):
    """What the queue needs to know of a run."""

    @property
    def request_id(self) -> str:
        """The request that it belongs to."""

    @property
    def workspace(self) -> str:
        """The workspace that asked."""

    @property
    def weight(self) -> int:
        """The workspace's share relative to others."""

    @property
    def priority(self) -> Priority:
        """How urgently it is served."""

    @property
    def target(self) -> Target:
        """What it runs on."""

    @property
    def deadline_ms(self) -> int:
        """Monotonic time by which it must have ended."""

    @property
    def cancellation(self) -> Cancellation:
        """Tells when nobody waits for it any more."""


class _TargetQueue:
    """The runs that wait for one target; the first may look for a place."""

    def __init__(self, settings: QueueSettings) -> None:
        self.queue = AdmissionQueue(1, settings)
        self.waiting: dict[str, SlotTicket] = {}
        self.head: SlotTicket | None = None
        self.expected_run_ms = _FIRST_EXPECTED_RUN_MS

    def promote(self, now_ms: int) -> None:
        """Lets the next run look for a place if none does."""
        self.refuse(self.queue.expire(now_ms))
        if self.head is None:
            ticket = self.queue.take(now_ms)
            if ticket is not None:
                self.head = self.waiting[ticket.request_id]

    def refuse(self, refused: tuple[Refused, ...]) -> None:
        """Tells runs that they will not get a place."""
        for one in refused:
            self.waiting[one.ticket.request_id].refused = one


class SlotQueue:
    """Orders the runs that wait, by priority and fairly among workspaces.

    A thread waits for each run, so their number is bounded by priority: what
    can wait never takes the threads of what cannot.

    Args:
        clock: Measures the time.
        waiter: Lets threads wait.
        max_waiting: Most runs that wait at once.
    """

    def __init__(
        self, clock: Clock, waiter: Waiter, max_waiting: int = 128
    ) -> None:
        self._clock = clock
        self._waiter = waiter
        self._settings = QueueSettings(max_waiting=max_waiting)
        self._limits = {
            Priority.INTERACTIVE: max_waiting,
            Priority.STANDARD: max(1, max_waiting * 3 // 4),
            Priority.BATCH: max(1, max_waiting // 2),
        }
        self._changed = threading.Condition()
        self._lines: dict[Target, _TargetQueue] = {}
        self._waiting = 0
        # Counts the changes after which a place may be free.
        self._changes = 0

    @property
    def waiting(self) -> int:
        """Runs that are waiting."""
        return self._waiting

    def notify(self) -> None:
        """Wakes the runs that wait, because a place may be free."""
        with self._changed:
            self._note_change()

    def observe(self, target: Target, run_ms: int) -> None:
        """Takes in how long a run took, and that its place is free."""
        with self._changed:
            line = self._line(target)
            line.expected_run_ms += _RUN_WEIGHT * (
                run_ms - line.expected_run_ms
            )
            self._note_change()

    def ticket(self, waiting: Waiting) -> SlotTicket:
        """Returns a run's ticket; a context manager that gives it up."""
        return SlotTicket(self, waiting)

    def _line(self, target: Target) -> _TargetQueue:
        return self._lines.setdefault(target, _TargetQueue(self._settings))

    def _must_wait(self, target: Target) -> bool:
        with self._changed:
            line = self._lines.get(target)
            return line is not None and bool(line.waiting)

    def _enter(self, ticket: SlotTicket, concurrency: int) -> Problem | None:
        run = ticket.run
        now_ms = self._clock.now_ms()
        line = self._line(run.target)
        line.refuse(line.queue.set_concurrency(concurrency, now_ms))
        if self._waiting >= self._limits[run.priority]:
            return _busy(run.request_id, "queue_full", _RETRY_MS)
        offered = Ticket(
            request_id=ticket.name,
            workspace=run.workspace,
            weight=run.weight,
            priority=run.priority,
            deadline_ms=run.deadline_ms,
            expected_run_ms=int(line.expected_run_ms),
        )
        admission = line.queue.offer(offered, now_ms)
        if isinstance(admission, Refused):
            return _refusal(run, admission)
        line.waiting[ticket.name] = ticket
        self._waiting += 1
        if admission.displaced is not None:
            line.refuse((admission.displaced,))
        return None

    def _leave(self, ticket: SlotTicket) -> None:
        with self._changed:
            line = self._line(ticket.run.target)
            del line.waiting[ticket.name]
            line.queue.cancel(ticket.name)
            self._waiting -= 1
            if line.head is ticket:
                line.head = None
            line.promote(self._clock.now_ms())
            self._note_change()

    def _note_change(self) -> None:
        self._changes += 1
        self._changed.notify_all()


class SlotTicket:
    """One run's place in the queue.

    Args:
        queue: The queue.
        run: What the queue needs to know of the run.
    """

    def __init__(self, queue: SlotQueue, run: Waiting) -> None:
        self._queue = queue
        self._is_queued = False
        self._seen_changes = queue._changes
        self.run = run
        # Tells the steps of one request apart.
        self.name = f"{run.request_id}/{id(self)}"
        self.refused: Refused | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._is_queued:
            self._queue._leave(self)

    def look(self) -> bool:
        """Returns whether the run may look for a place now.

        A change from here on ends the next wait, so that none is missed
        between the look and the wait.
        """
        self._seen_changes = self._queue._changes
        return self._is_queued or not self._queue._must_wait(self.run.target)

    def wait(self, concurrency: int) -> Problem | None:
        """Waits until it is worth looking for a place.

        Args:
            concurrency: Runs that the target's upstreams serve at once.

        Returns:
            None when the run may look now, otherwise the refusal.
        """
        queue = self._queue
        self.run.cancellation.attach(self)
        with queue._changed:
            if not self._is_queued:
                refusal = queue._enter(self, concurrency)
                if refusal is not None:
                    return refusal
                self._is_queued = True
            return self._wait_for_turn()

    def cancel(self) -> None:
        """Ends the wait of a run whose cancellation this is attached to."""
        self._queue.notify()

    def _wait_for_turn(self) -> Problem | None:
        queue = self._queue
        line = queue._line(self.run.target)
        while True:
            if self._seen_changes == queue._changes:
                queue._waiter.wait(queue._changed, _POLL_MS)
            self._seen_changes = queue._changes
            if self.run.cancellation.cancelled:
                return caller_gone_problem(self.run.request_id, Outcome.NOT_RUN)
            now_ms = queue._clock.now_ms()
            line.promote(now_ms)
            if self.refused is not None:
                return _refusal(self.run, self.refused)
            if line.head is self:
                return self._late_refusal(line, now_ms)

    def _late_refusal(self, line: _TargetQueue, now_ms: int) -> Problem | None:
        if now_ms + line.expected_run_ms <= self.run.deadline_ms:
            return None
        return _busy(self.run.request_id, "deadline", _RETRY_MS)


_RETRY_MS = 1_000


def _refusal(run: Waiting, refused: Refused) -> Problem:
    return _busy(run.request_id, refused.reason.value, refused.retry_after_ms)


def _busy(request_id: str, reason: str, retry_after_ms: int) -> Problem:
    is_outage = reason == RefusalReason.NO_CAPACITY.value
    return Problem(
        status=503,
        code="no-upstream" if is_outage else "busy",
        title=f"no upstream has room in time: {reason}",
        detail="Retry after the time that Retry-After gives.",
        outcome=Outcome.NOT_RUN,
        retry_after_ms=retry_after_ms,
        request_id=request_id,
    )

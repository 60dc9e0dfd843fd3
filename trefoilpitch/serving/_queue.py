"""The queue of runs that wait for a slot on an upstream."""

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
# A slot can also become free without a release on this node, for example when a
# load report shows it.
_POLL_MS = 100
# Expected duration of a run until one has been measured.
_INITIAL_EXPECTED_RUN_MS = 200.0
# Weight of the newest run in the moving average of durations.
_RUN_TIME_SMOOTHING = 0.1


class Waiter(Protocol):
    """Blocks the calling thread; tests replace it to simulate time."""

    def sleep(self, duration_ms: int) -> None:
        """Blocks for a duration."""

    def wait(self, changed: threading.Condition, timeout_ms: int) -> None:
        """Waits on a condition, whose lock is held, with a timeout."""


class RealTimeWaiter:
    """Blocks threads in real time."""

    def sleep(self, duration_ms: int) -> None:
        """Blocks for a duration."""
        time.sleep(duration_ms / _MS_PER_S)

    def wait(self, changed: threading.Condition, timeout_ms: int) -> None:
        """Waits on a condition, whose lock is held, with a timeout."""
        changed.wait(timeout_ms / _MS_PER_S)


class QueuedRun(Protocol):
    """The properties of a run that the queue depends on."""

    @property
    def request_id(self) -> str:
        """Identifier of the caller's request."""

    @property
    def workspace(self) -> str:
        """Name of the workspace that sent the request."""

    @property
    def weight(self) -> int:
        """The workspace's share relative to others."""

    @property
    def priority(self) -> Priority:
        """The task's or operation's priority."""

    @property
    def target(self) -> Target:
        """The model version or the service's operation to run."""

    @property
    def deadline_ms(self) -> int:
        """Monotonic time by which the run must have ended."""

    @property
    def cancellation(self) -> Cancellation:
        """Cancelled when the caller disconnects."""


class _TargetQueue:
    """The runs that wait for one target; only the head may acquire a slot."""

    def __init__(self, settings: QueueSettings) -> None:
        self.queue = AdmissionQueue(1, settings)
        self.waiting: dict[str, SlotTicket] = {}
        self.head: SlotTicket | None = None
        self.expected_run_ms = _INITIAL_EXPECTED_RUN_MS

    def promote_head(self, now_ms: int) -> None:
        """Makes the next run the head if there is none."""
        self.refuse(self.queue.expire(now_ms))
        if self.head is None:
            ticket = self.queue.take(now_ms)
            if ticket is not None:
                self.head = self.waiting[ticket.request_id]

    def refuse(self, refused: tuple[Refused, ...]) -> None:
        """Marks runs as refused; their threads see it when they wake."""
        for one in refused:
            self.waiting[one.ticket.request_id].refused = one


class SlotQueue:
    """Orders the waiting runs by priority and fairly among workspaces.

    Each waiting run blocks a thread. Lower priorities have lower bounds on the
    number of waiting runs, so that they can't exhaust the threads that more
    urgent runs need.

    Args:
        clock: Used for deadlines.
        waiter: Blocks the threads of waiting runs.
        max_waiting: Maximum number of waiting runs.
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
        self._target_queues: dict[Target, _TargetQueue] = {}
        self._waiting = 0
        # Counts the events after which a slot may have become free, so that a
        # ticket can detect one since it last checked.
        self._changes = 0

    @property
    def waiting(self) -> int:
        """Number of waiting runs."""
        return self._waiting

    def notify(self) -> None:
        """Wakes the waiting runs, because a slot may have become free."""
        with self._changed:
            self._notify_change()

    def observe(self, target: Target, run_ms: int) -> None:
        """Records the duration of a run that has released its slot."""
        with self._changed:
            target_queue = self._target_queue(target)
            target_queue.expected_run_ms += _RUN_TIME_SMOOTHING * (
                run_ms - target_queue.expected_run_ms
            )
            self._notify_change()

    def ticket(self, run: QueuedRun) -> SlotTicket:
        """Creates a ticket, a context manager, for a run."""
        return SlotTicket(self, run)

    def _target_queue(self, target: Target) -> _TargetQueue:
        return self._target_queues.setdefault(
            target, _TargetQueue(self._settings)
        )

    def _has_waiting_runs(self, target: Target) -> bool:
        with self._changed:
            target_queue = self._target_queues.get(target)
            return target_queue is not None and bool(target_queue.waiting)

    def _enter(self, ticket: SlotTicket, concurrency: int) -> Problem | None:
        run = ticket.run
        now_ms = self._clock.now_ms()
        target_queue = self._target_queue(run.target)
        target_queue.refuse(
            target_queue.queue.set_concurrency(concurrency, now_ms)
        )
        if self._waiting >= self._limits[run.priority]:
            return _busy(run.request_id, "queue_full", _RETRY_AFTER_MS)
        offered = Ticket(
            request_id=ticket.name,
            workspace=run.workspace,
            weight=run.weight,
            priority=run.priority,
            deadline_ms=run.deadline_ms,
            expected_run_ms=int(target_queue.expected_run_ms),
        )
        admission = target_queue.queue.offer(offered, now_ms)
        if isinstance(admission, Refused):
            return _refusal(run, admission)
        target_queue.waiting[ticket.name] = ticket
        self._waiting += 1
        if admission.displaced is not None:
            target_queue.refuse((admission.displaced,))
        return None

    def _leave(self, ticket: SlotTicket) -> None:
        with self._changed:
            target_queue = self._target_queue(ticket.run.target)
            del target_queue.waiting[ticket.name]
            target_queue.queue.cancel(ticket.name)
            self._waiting -= 1
            if target_queue.head is ticket:
                target_queue.head = None
            target_queue.promote_head(self._clock.now_ms())
            self._notify_change()

    def _notify_change(self) -> None:
        self._changes += 1
        self._changed.notify_all()


class SlotTicket:
    """A run's entry in the queue; the end of its context removes it.

    Args:
        queue: The queue.
        run: The run that needs a slot.
    """

    def __init__(self, queue: SlotQueue, run: QueuedRun) -> None:
        self._queue = queue
        self._is_queued = False
        self._seen_changes = queue._changes
        self.run = run
        # Unique among the steps of one request.
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

    def may_try_acquire(self) -> bool:
        """Returns whether the run may try to acquire a slot now.

        Any change after this call ends the next wait at once, so that none is
        missed between the attempt to acquire a slot and the wait.
        """
        self._seen_changes = self._queue._changes
        return self._is_queued or not self._queue._has_waiting_runs(
            self.run.target
        )

    def wait(self, concurrency: int) -> Problem | None:
        """Waits until the run may try to acquire a slot.

        Args:
            concurrency: Total concurrency limit of the target's upstreams.

        Returns:
            None when the run may try now, otherwise the refusal.
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
        """Wakes the run's thread; called when the run is cancelled."""
        self._queue.notify()

    def _wait_for_turn(self) -> Problem | None:
        queue = self._queue
        target_queue = queue._target_queue(self.run.target)
        while True:
            if self._seen_changes == queue._changes:
                queue._waiter.wait(queue._changed, _POLL_MS)
            self._seen_changes = queue._changes
            if self.run.cancellation.cancelled:
                return caller_gone_problem(self.run.request_id, Outcome.NOT_RUN)
            now_ms = queue._clock.now_ms()
            target_queue.promote_head(now_ms)
            if self.refused is not None:
                return _refusal(self.run, self.refused)
            if target_queue.head is self:
                return self._deadline_refusal(target_queue, now_ms)

    def _deadline_refusal(
        self, target_queue: _TargetQueue, now_ms: int
    ) -> Problem | None:
        if now_ms + target_queue.expected_run_ms <= self.run.deadline_ms:
            return None
        return _busy(self.run.request_id, "deadline", _RETRY_AFTER_MS)


_RETRY_AFTER_MS = 1_000


def _refusal(run: QueuedRun, refused: Refused) -> Problem:
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

"""Bounded admission queue with priorities, fair shares and deadlines."""

from __future__ import annotations

import dataclasses
import heapq
import math
from typing import TypeAlias

from trefoilpitch.bundle import Priority
from trefoilpitch.limits._fair_queue import FairQueue
from trefoilpitch.limits._nodes import (
    Queued,
    QueueSettings,
    RefusalReason,
    Refused,
    Ticket,
)
from trefoilpitch.limits._wait_correction import WaitCorrection
from trefoilpitch.limits._work_rate import WorkRate

DEFAULT_SETTINGS = QueueSettings()
_RANKS = tuple(sorted(priority.rank for priority in Priority))

# Waiting requests are checked again when the concurrency falls below this share
# of the highest one since the last check.
_RECHECK_RATIO = 0.9
# Stale heap entries tolerated, in addition to one for each waiting request,
# before the heap of latest starts is rebuilt.
_MAX_STALE_STARTS = 64

Admission: TypeAlias = Queued | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    """A waiting request."""

    ticket: Ticket
    # When it was offered, on the monotonic clock.
    since_ms: int
    # Estimated wait at admission, in milliseconds, without the expected
    # outage and before correction.
    estimated_ms: float


class AdmissionQueue:
    """Queue of requests for one set of interchangeable upstreams.

    Requests are refused as soon as they are known to miss their deadline: on
    arrival, when the capacity falls, or when their latest start has passed.
    Higher priorities are served first, but waiting requests of a lower
    priority are passed over only a bounded number of times. The queue is not
    thread-safe; a single owner makes all calls.

    Args:
        concurrency: Requests that the upstreams serve concurrently.
        settings: Limits of the queue.
    """

    def __init__(
        self, concurrency: int, settings: QueueSettings = DEFAULT_SETTINGS
    ) -> None:
        self._concurrency = concurrency
        self._checked_concurrency = concurrency
        self._outage_since_ms: int | None = None
        self._settings = settings
        self._queues = {rank: FairQueue() for rank in _RANKS}
        self._rates = {
            rank: WorkRate(settings.rate_window_ms) for rank in _RANKS
        }
        self._passed_over = dict.fromkeys(_RANKS, 0)
        self._corrections = {rank: WaitCorrection() for rank in _RANKS}
        self._waiting: dict[str, _Waiting] = {}
        self._start_heap: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def next_expiry_ms(self) -> int | None:
        """When the next waiting request has to be abandoned, if any."""
        while self._start_heap and not self._is_current(*self._start_heap[0]):
            heapq.heappop(self._start_heap)
        if not self._start_heap:
            return None
        return self._abandon_at_ms(self._start_heap[0][0])

    def offer(self, ticket: Ticket, now_ms: int) -> Admission:
        """Admits a request to the queue or refuses it at once.

        Raises:
            ValueError: If a request with the same identifier is waiting.
        """
        if ticket.request_id in self._waiting:
            raise ValueError(
                f"request {ticket.request_id!r} is already waiting"
            )
        rank = ticket.priority.rank
        queueing_ms = self._queueing_ms(ticket, now_ms)
        wait_ms = self._corrected_ms(ticket, queueing_ms, now_ms)
        if now_ms + wait_ms > ticket.latest_start_ms:
            return self._refuse(ticket, self._lateness_reason(), now_ms)
        displaced = None
        if len(self._queues[rank]) >= self._settings.max_waiting:
            victim = self._victim(ticket)
            if victim is None:
                return self._refuse(ticket, RefusalReason.QUEUE_FULL, now_ms)
            self.cancel(victim.request_id)
            displaced = self._refuse(victim, RefusalReason.DISPLACED, now_ms)
        self._add(_Waiting(ticket, now_ms, queueing_ms))
        self._rates[rank].add(ticket.expected_run_ms, now_ms)
        return Queued(
            ticket=ticket,
            expected_wait_ms=math.ceil(wait_ms),
            displaced=displaced,
        )

    def take(self, now_ms: int) -> Ticket | None:
        """Removes and returns the next request to serve.

        Call ``expire`` first, so that requests that can no longer start in
        time are refused.

        Raises:
            ValueError: If ``expire`` has requests to refuse.
        """
        rank = self._next_rank(now_ms)
        if rank is None:
            return None
        for lower in _RANKS[rank + 1 :]:
            if self._queues[lower]:
                self._passed_over[lower] += 1
        self._passed_over[rank] = 0
        ticket = self._queues[rank].pop()
        entry = self._waiting.pop(ticket.request_id)
        self._corrections[rank].observe(
            entry.estimated_ms, now_ms - entry.since_ms
        )
        return ticket

    def cancel(self, request_id: str) -> bool:
        """Removes a waiting request; returns whether it was waiting."""
        entry = self._waiting.pop(request_id, None)
        if entry is None:
            return False
        ticket = entry.ticket
        return self._queues[ticket.priority.rank].remove(ticket)

    def expire(self, now_ms: int) -> tuple[Refused, ...]:
        """Removes and refuses requests that can no longer start in time.

        During an outage of all upstreams, the outage is expected to last as
        long again as it has lasted so far.
        """
        refused: list[Refused] = []
        while True:
            expiry_ms = self.next_expiry_ms
            if expiry_ms is None or expiry_ms >= now_ms:
                return tuple(refused)
            _, request_id = heapq.heappop(self._start_heap)
            ticket = self._waiting[request_id].ticket
            self.cancel(request_id)
            reason = self._lateness_reason()
            refused.append(self._refuse(ticket, reason, now_ms))

    def set_concurrency(
        self, concurrency: int, now_ms: int
    ) -> tuple[Refused, ...]:
        """Sets the capacity and refuses requests that now miss their deadline.

        Returns:
            The refused requests, to be reported to their callers now.
        """
        self._concurrency = concurrency
        if concurrency > 0:
            self._outage_since_ms = None
        elif self._outage_since_ms is None:
            self._outage_since_ms = now_ms
        if concurrency >= self._checked_concurrency * _RECHECK_RATIO:
            self._checked_concurrency = max(
                self._checked_concurrency, concurrency
            )
            return ()
        self._checked_concurrency = concurrency
        return self._recheck_waiting(now_ms)

    def _recheck_waiting(self, now_ms: int) -> tuple[Refused, ...]:
        waiting = list(self._waiting.values())
        for entry in waiting:
            self.cancel(entry.ticket.request_id)
        refused = []
        for entry in waiting:
            ticket = entry.ticket
            if self._misses_deadline(ticket, now_ms):
                reason = self._lateness_reason()
                refused.append(self._refuse(ticket, reason, now_ms))
            else:
                self._add(entry)
        return tuple(refused)

    def _misses_deadline(self, ticket: Ticket, now_ms: int) -> bool:
        wait_ms = self._expected_wait_ms(ticket, now_ms)
        return now_ms + wait_ms > ticket.latest_start_ms

    def _add(self, waiting: _Waiting) -> None:
        ticket = waiting.ticket
        self._queues[ticket.priority.rank].push(ticket)
        self._waiting[ticket.request_id] = waiting
        entry = (ticket.latest_start_ms, ticket.request_id)
        heapq.heappush(self._start_heap, entry)
        if len(self._start_heap) > 2 * len(self._waiting) + _MAX_STALE_STARTS:
            self._start_heap = [
                start for start in self._start_heap if self._is_current(*start)
            ]
            heapq.heapify(self._start_heap)

    def _is_current(self, start_ms: int, request_id: str) -> bool:
        entry = self._waiting.get(request_id)
        return entry is not None and entry.ticket.latest_start_ms == start_ms

    def _next_rank(self, now_ms: int) -> int | None:
        expiry_ms = self.next_expiry_ms
        if expiry_ms is not None and expiry_ms < now_ms:
            raise ValueError("take() called before expire()")
        waiting = [rank for rank in _RANKS if self._queues[rank]]
        for rank in reversed(waiting):
            if self._passed_over[rank] >= self._settings.max_passed_over:
                return rank
        return waiting[0] if waiting else None

    def _victim(self, ticket: Ticket) -> Ticket | None:
        """Returns the request to remove from a full queue for the ticket.

        That is the newest one of the workspace with the largest backlog
        relative to its weight, provided that it exceeds the backlog of the
        ticket's workspace. Requests never displace those of another
        priority: once admitted, these may wait.
        """
        queue = self._queues[ticket.priority.rank]
        largest = queue.newest_of_largest_backlog()
        if largest is None or largest[0] <= queue.backlog_per_weight(ticket):
            return None
        return largest[1]

    def _expected_wait_ms(self, ticket: Ticket, now_ms: int) -> float:
        queueing_ms = self._queueing_ms(ticket, now_ms)
        return self._corrected_ms(ticket, queueing_ms, now_ms)

    def _corrected_ms(
        self, ticket: Ticket, queueing_ms: float, now_ms: int
    ) -> float:
        """Applies the wait correction and adds the expected outage."""
        factor = self._corrections[ticket.priority.rank].factor
        return self._outage_ms(now_ms) + factor * queueing_ms

    def _queueing_ms(self, ticket: Ticket, now_ms: int) -> float:
        """Estimates the wait from work ahead and arriving higher priorities."""
        rank = ticket.priority.rank
        higher_ms = sum(self._queues[one].work_ms for one in _RANKS[:rank])
        ahead_ms = self._queues[rank].work_ahead_ms(ticket)
        concurrency = max(self._concurrency, 1)
        overtaking = sum(self._rates[one].at(now_ms) for one in _RANKS[:rank])
        guaranteed = concurrency / (self._settings.max_passed_over + 1)
        available = max(concurrency - overtaking, guaranteed)
        return higher_ms / concurrency + ahead_ms / available

    def _refuse(
        self, ticket: Ticket, reason: RefusalReason, now_ms: int
    ) -> Refused:
        return Refused(
            ticket=ticket,
            reason=reason,
            retry_after_ms=self._retry_after_ms(ticket, now_ms),
        )

    def _retry_after_ms(self, ticket: Ticket, now_ms: int) -> int:
        settings = self._settings
        wait_ms = self._expected_wait_ms(ticket, now_ms)
        allowed_ms = max(ticket.latest_start_ms - now_ms, 0)
        excess_ms = wait_ms - allowed_ms
        if len(self._queues[ticket.priority.rank]) >= settings.max_waiting:
            excess_ms = max(excess_ms, wait_ms * settings.full_queue_share)
        bounded = max(excess_ms, settings.min_retry_after_ms)
        return math.ceil(min(bounded, settings.max_retry_after_ms))

    def _lateness_reason(self) -> RefusalReason:
        if self._concurrency > 0:
            return RefusalReason.DEADLINE
        return RefusalReason.NO_CAPACITY

    def _outage_ms(self, now_ms: int) -> int:
        """Returns how much longer the outage is expected to last."""
        if self._concurrency > 0:
            return 0
        since_ms = self._outage_since_ms
        elapsed_ms = now_ms - since_ms if since_ms is not None else 0
        return max(elapsed_ms, self._settings.min_outage_ms)

    def _abandon_at_ms(self, latest_start_ms: int) -> int:
        """Returns when a request with the given latest start is abandoned.

        During an outage that is earlier than its latest start: as soon as
        the expected end of the outage is later.
        """
        since_ms = self._outage_since_ms
        if since_ms is None:
            return latest_start_ms
        halfway_ms = (latest_start_ms + since_ms) // 2
        return min(latest_start_ms - self._settings.min_outage_ms, halfway_ms)

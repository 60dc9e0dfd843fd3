"""A bounded admission queue with priorities, fairness and deadlines."""

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

# Share of the capacity below which all that wait are considered again.
_CONSIDERED_FALL = 0.9
# Stale entries to keep before the latest starts are sorted out.
_SPARE_STARTS = 64

Admission: TypeAlias = Queued | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    """A request in the queue."""

    # The request.
    ticket: Ticket
    # When it was offered, on the monotonic clock.
    since_ms: int
    # The wait that was estimated, without outage or correction.
    estimated_ms: float


class AdmissionQueue:
    """Requests that wait for one set of interchangeable upstreams.

    Requests are refused as soon as it is known that they cannot be served
    in time: on arrival, when capacity falls, or when their latest start
    passes. Higher priorities go first, but a waiting lower one is passed
    over only a bounded number of times. The queue is not thread-safe; one
    actor owns it.

    Args:
        concurrency: Requests that the upstreams serve at once.
        settings: Bounds of the queue.
    """

    def __init__(
        self, concurrency: int, settings: QueueSettings = DEFAULT_SETTINGS
    ) -> None:
        self._concurrency = concurrency
        self._considered = concurrency
        self._idle_since_ms: int | None = None
        self._settings = settings
        self._queues = {rank: FairQueue() for rank in _RANKS}
        self._rates = {
            rank: WorkRate(settings.rate_window_ms) for rank in _RANKS
        }
        self._passed_over = dict.fromkeys(_RANKS, 0)
        self._corrections = {rank: WaitCorrection() for rank in _RANKS}
        self._waiting: dict[str, _Waiting] = {}
        self._starts: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def next_expiry_ms(self) -> int | None:
        """When the next waiting request must be given up, if any."""
        while self._starts and not self._is_current(*self._starts[0]):
            heapq.heappop(self._starts)
        if not self._starts:
            return None
        return self._give_up_at_ms(self._starts[0][0])

    def offer(self, ticket: Ticket, now_ms: int) -> Admission:
        """Takes a request into the queue or refuses it at once.

        Raises:
            ValueError: If a request with the same identifier waits already.
        """
        if ticket.request_id in self._waiting:
            raise ValueError(f"request {ticket.request_id!r} waits already")
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

        Call ``expire`` first to answer those that are given up; they are
        never returned here.
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
        """Forgets a waiting request; returns whether it waited."""
        entry = self._waiting.pop(request_id, None)
        if entry is None:
            return False
        ticket = entry.ticket
        return self._queues[ticket.priority.rank].remove(ticket)

    def expire(self, now_ms: int) -> tuple[Refused, ...]:
        """Gives up the requests that can no longer start in time.

        While nothing serves the queue, the outage is expected to last as
        long again as it has lasted so far.
        """
        refused: list[Refused] = []
        while True:
            expiry_ms = self.next_expiry_ms
            if expiry_ms is None or expiry_ms >= now_ms:
                return tuple(refused)
            _, request_id = heapq.heappop(self._starts)
            ticket = self._waiting[request_id].ticket
            self.cancel(request_id)
            reason = self._lateness_reason()
            refused.append(self._refuse(ticket, reason, now_ms))

    def set_concurrency(
        self, concurrency: int, now_ms: int
    ) -> tuple[Refused, ...]:
        """Changes the capacity and refuses what it no longer serves in time.

        Returns:
            Waiting requests that are given up, to be answered now.
        """
        self._concurrency = concurrency
        if concurrency > 0:
            self._idle_since_ms = None
        elif self._idle_since_ms is None:
            self._idle_since_ms = now_ms
        if concurrency >= self._considered * _CONSIDERED_FALL:
            self._considered = max(self._considered, concurrency)
            return ()
        self._considered = concurrency
        return self._reconsider(now_ms)

    def _reconsider(self, now_ms: int) -> tuple[Refused, ...]:
        waiting = list(self._waiting.values())
        for entry in waiting:
            self.cancel(entry.ticket.request_id)
        refused = []
        for entry in waiting:
            ticket = entry.ticket
            if self._is_late(ticket, now_ms):
                reason = self._lateness_reason()
                refused.append(self._refuse(ticket, reason, now_ms))
            else:
                self._add(entry)
        return tuple(refused)

    def _is_late(self, ticket: Ticket, now_ms: int) -> bool:
        wait_ms = self._expected_wait_ms(ticket, now_ms)
        return now_ms + wait_ms > ticket.latest_start_ms

    def _add(self, waiting: _Waiting) -> None:
        ticket = waiting.ticket
        self._queues[ticket.priority.rank].push(ticket)
        self._waiting[ticket.request_id] = waiting
        entry = (ticket.latest_start_ms, ticket.request_id)
        heapq.heappush(self._starts, entry)
        if len(self._starts) > 2 * len(self._waiting) + _SPARE_STARTS:
            self._starts = [
                one for one in self._starts if self._is_current(*one)
            ]
            heapq.heapify(self._starts)

    def _is_current(self, start_ms: int, request_id: str) -> bool:
        entry = self._waiting.get(request_id)
        return entry is not None and entry.ticket.latest_start_ms == start_ms

    def _next_rank(self, now_ms: int) -> int | None:
        expired = self.next_expiry_ms
        if expired is not None and expired < now_ms:
            raise ValueError("expire must be called before take")
        waiting = [rank for rank in _RANKS if self._queues[rank]]
        for rank in reversed(waiting):
            if self._passed_over[rank] >= self._settings.max_passed_over:
                return rank
        return waiting[0] if waiting else None

    def _victim(self, ticket: Ticket) -> Ticket | None:
        """Returns the request whose place the ticket has a better claim to.

        Priorities do not take places from each other: what was admitted to
        wait may wait.
        """
        queue = self._queues[ticket.priority.rank]
        longest = queue.longest()
        if longest is None or longest[0] <= queue.overdraft(ticket):
            return None
        return longest[1]

    def _expected_wait_ms(self, ticket: Ticket, now_ms: int) -> float:
        queueing_ms = self._queueing_ms(ticket, now_ms)
        return self._corrected_ms(ticket, queueing_ms, now_ms)

    def _corrected_ms(
        self, ticket: Ticket, queueing_ms: float, now_ms: int
    ) -> float:
        """Corrects an estimate by how earlier ones did, and by an outage."""
        factor = self._corrections[ticket.priority.rank].factor
        return self._outage_ms(now_ms) + factor * queueing_ms

    def _queueing_ms(self, ticket: Ticket, now_ms: int) -> float:
        """Estimates the wait from what is ahead and what will overtake."""
        rank = ticket.priority.rank
        higher_ms = sum(self._queues[one].work_ms for one in _RANKS[:rank])
        ahead_ms = self._queues[rank].work_ahead_ms(ticket)
        concurrency = max(self._concurrency, 1)
        passing = sum(self._rates[one].at(now_ms) for one in _RANKS[:rank])
        least = concurrency / (self._settings.max_passed_over + 1)
        available = max(concurrency - passing, least)
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
        """Returns how much longer nothing is expected to be served."""
        if self._concurrency > 0:
            return 0
        since_ms = self._idle_since_ms
        elapsed_ms = now_ms - since_ms if since_ms is not None else 0
        return max(elapsed_ms, self._settings.min_outage_ms)

    def _give_up_at_ms(self, latest_start_ms: int) -> int:
        since_ms = self._idle_since_ms
        if since_ms is None:
            return latest_start_ms
        halfway_ms = (latest_start_ms + since_ms) // 2
        return min(latest_start_ms - self._settings.min_outage_ms, halfway_ms)

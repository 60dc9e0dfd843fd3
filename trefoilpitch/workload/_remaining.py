"""The work that upstreams have left of this daemon's requests."""

from __future__ import annotations

import dataclasses
import itertools

from trefoilpitch.workload._types import RequestSize, WorkEstimate

# Tokens that one event of a stream holds.
_TOKENS_PER_EVENT = 10
# Work that is left of a request which takes longer than expected, in standard
# deviations of its time: it may end at any moment, but few do at once.
_OVERDUE_SPREAD = 0.5


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkTicket:
    """A request in flight at an upstream."""

    upstream_id: str
    size: RequestSize
    estimate: WorkEstimate
    # Monotonic time when it was sent.
    started_ms: int
    # How long work takes at the upstream, relative to the usual time.
    duration: float
    number: int
    # Events that have arrived.
    events: int = 0

    def remaining_ms(self, now_ms: int) -> float:
        """Returns the work that is left, at the usual speed."""
        estimate = self.estimate
        if self.events > 0:
            done = self.events * _TOKENS_PER_EVENT
            left = 1.0 - done / max(1, self.size.output_tokens)
            left_ms = left * (estimate.total_ms - estimate.first_ms)
        else:
            elapsed_ms = (now_ms - self.started_ms) / max(0.1, self.duration)
            # The response itself is still to come.
            left_ms = max(
                estimate.total_ms - elapsed_ms,
                estimate.total_ms - estimate.first_ms,
            )
        return max(left_ms, _OVERDUE_SPREAD * estimate.total_spread_ms)


class RemainingWork:
    """Requests in flight of this daemon, by upstream."""

    def __init__(self) -> None:
        self._tickets: dict[str, dict[int, WorkTicket]] = {}
        self._numbers = itertools.count()

    def begin(
        self,
        upstream_id: str,
        size: RequestSize,
        estimate: WorkEstimate,
        *,
        duration: float,
        now_ms: int,
    ) -> WorkTicket:
        """Adds a request that is sent now."""
        ticket = WorkTicket(
            upstream_id=upstream_id,
            size=size,
            estimate=estimate,
            started_ms=now_ms,
            duration=duration,
            number=next(self._numbers),
        )
        self._tickets.setdefault(upstream_id, {})[ticket.number] = ticket
        return ticket

    def end(self, ticket: WorkTicket) -> None:
        """Removes a request, however it has ended; repeats are ignored."""
        tickets = self._tickets.get(ticket.upstream_id)
        if tickets is None:
            return
        tickets.pop(ticket.number, None)
        if not tickets:
            del self._tickets[ticket.upstream_id]

    def count(self, upstream_id: str) -> int:
        """Returns the number of requests at an upstream."""
        return len(self._tickets.get(upstream_id, ()))

    def work_ms(self, upstream_id: str, now_ms: int) -> float:
        """Returns the work left at an upstream, at the usual speed."""
        tickets = self._tickets.get(upstream_id)
        if tickets is None:
            return 0.0
        return sum(ticket.remaining_ms(now_ms) for ticket in tickets.values())

    def memory_tokens(self, upstream_id: str) -> int:
        """Returns the tokens that requests keep in an upstream's memory."""
        tickets = self._tickets.get(upstream_id)
        if tickets is None:
            return 0
        return sum(ticket.size.memory_tokens for ticket in tickets.values())

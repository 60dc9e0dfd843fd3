"""Weighted fair queueing between the workspaces of one priority."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterator

from trefoilpitch.limits._nodes import Ticket


@dataclasses.dataclass(slots=True)
class _Backlog:
    """Waiting requests of one workspace."""

    # Waiting requests, oldest first.
    tickets: collections.deque[Ticket]
    # The workspace's share of the capacity relative to other workspaces.
    weight: int
    # Virtual start time of its next request.
    next_start: float
    # Expected run time of all waiting requests, in milliseconds.
    work_ms: int


class FairQueue:
    """Serves workspaces in proportion to their weights.

    Implements start-time fair queueing. Each workspace has a virtual start
    time that every served request advances by its expected run time divided
    by the workspace's weight; the workspace with the lowest virtual start
    time is served next. A workspace that was idle starts at the current
    virtual time, so it gets no credit for its idle time.
    """

    def __init__(self) -> None:
        self._backlogs: dict[str, _Backlog] = {}
        self._virtual_time = 0.0
        self._work_ms = 0
        self._length = 0
        self._saved_starts: dict[str, float] = {}

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[Ticket]:
        for backlog in self._backlogs.values():
            yield from backlog.tickets

    @property
    def work_ms(self) -> int:
        """Expected run time of all waiting requests, in milliseconds."""
        return self._work_ms

    def push(self, ticket: Ticket) -> None:
        """Adds a request after the others of its workspace."""
        backlog = self._backlogs.get(ticket.workspace)
        if backlog is None:
            saved_start = self._saved_starts.pop(ticket.workspace, 0.0)
            backlog = _Backlog(
                tickets=collections.deque(),
                weight=max(ticket.weight, 1),
                next_start=max(self._virtual_time, saved_start),
                work_ms=0,
            )
            self._backlogs[ticket.workspace] = backlog
        backlog.tickets.append(ticket)
        backlog.work_ms += ticket.expected_run_ms
        self._work_ms += ticket.expected_run_ms
        self._length += 1

    def pop(self) -> Ticket:
        """Removes and returns the next request to serve.

        Raises:
            IndexError: If the queue is empty.
        """
        if not self._backlogs:
            raise IndexError("pop from an empty queue")
        backlog = min(self._backlogs.values(), key=lambda one: one.next_start)
        ticket = backlog.tickets.popleft()
        self._virtual_time = backlog.next_start
        backlog.next_start += ticket.expected_run_ms / backlog.weight
        self._account_removal(backlog, ticket)
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Removes a waiting request; returns whether it was found."""
        backlog = self._backlogs.get(ticket.workspace)
        if backlog is None or ticket not in backlog.tickets:
            return False
        backlog.tickets.remove(ticket)
        self._account_removal(backlog, ticket)
        return True

    def work_ahead_ms(self, ticket: Ticket) -> float:
        """Returns the work that is served before a newly added request.

        While the request's workspace works through its own backlog, each
        other workspace is served its fair share at most.
        """
        backlog = self._backlogs.get(ticket.workspace)
        own_ms = backlog.work_ms if backlog is not None else 0
        rounds = (own_ms + ticket.expected_run_ms) / max(ticket.weight, 1)
        others = sum(
            min(other.work_ms, rounds * other.weight)
            for name, other in self._backlogs.items()
            if name != ticket.workspace
        )
        return own_ms + others

    def newest_of_largest_backlog(self) -> tuple[float, Ticket] | None:
        """Returns the newest request of the workspace with the largest backlog.

        Returns:
            The workspace's waiting requests per unit of weight, and the
            request; None when the queue is empty.
        """
        if not self._backlogs:
            return None
        backlog = max(self._backlogs.values(), key=_backlog_per_weight)
        return _backlog_per_weight(backlog), backlog.tickets[-1]

    def backlog_per_weight(self, ticket: Ticket) -> float:
        """Returns its workspace's waiting requests per unit of weight.

        The ticket is counted as if it were already waiting.
        """
        backlog = self._backlogs.get(ticket.workspace)
        waiting = len(backlog.tickets) if backlog is not None else 0
        return (waiting + 1) / max(ticket.weight, 1)

    def _account_removal(self, backlog: _Backlog, ticket: Ticket) -> None:
        backlog.work_ms -= ticket.expected_run_ms
        self._work_ms -= ticket.expected_run_ms
        self._length -= 1
        if not backlog.tickets:
            del self._backlogs[ticket.workspace]
            self._save_start(ticket.workspace, backlog.next_start)

    def _save_start(self, workspace: str, next_start: float) -> None:
        """Keeps an idle workspace's virtual start time while it is ahead.

        Otherwise a workspace could be served earlier than its share allows by
        letting its backlog run empty.
        """
        self._saved_starts[workspace] = next_start
        expired = [
            name
            for name, start in self._saved_starts.items()
            if start <= self._virtual_time
        ]
        for name in expired:
            del self._saved_starts[name]


def _backlog_per_weight(backlog: _Backlog) -> float:
    return len(backlog.tickets) / backlog.weight

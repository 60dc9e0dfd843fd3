"""Weighted fair queueing between the workspaces of one priority."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterator

from trefoilpitch.limits._nodes import Ticket


@dataclasses.dataclass(slots=True)
class _Backlog:
    """Waiting requests of one workspace."""

    # The requests, oldest first.
    tickets: collections.deque[Ticket]
    # The workspace's share relative to others.
    weight: int
    # Virtual time at which its next request may start.
    next_start: float
    # Expected run time of all its requests, in milliseconds.
    work_ms: int


class FairQueue:
    """Serves workspaces in proportion to their weights.

    Start-time fair queueing: each workspace carries a virtual time that its
    requests advance by their expected run time over its weight; the
    workspace that is furthest behind is served next. One that was idle
    starts at the present virtual time and cannot claim the past.
    """

    def __init__(self) -> None:
        self._backlogs: dict[str, _Backlog] = {}
        self._virtual_time = 0.0
        self._work_ms = 0
        self._length = 0
        self._last_starts: dict[str, float] = {}

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
        """Adds a request behind the others of its workspace."""
        backlog = self._backlogs.get(ticket.workspace)
        if backlog is None:
            resumed = self._last_starts.pop(ticket.workspace, 0.0)
            backlog = _Backlog(
                tickets=collections.deque(),
                weight=max(ticket.weight, 1),
                next_start=max(self._virtual_time, resumed),
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
            IndexError: If nothing waits.
        """
        if not self._backlogs:
            raise IndexError("pop from an empty queue")
        backlog = min(self._backlogs.values(), key=lambda one: one.next_start)
        ticket = backlog.tickets.popleft()
        self._virtual_time = backlog.next_start
        backlog.next_start += ticket.expected_run_ms / backlog.weight
        self._forget(backlog, ticket)
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Removes a waiting request; returns whether it was there."""
        backlog = self._backlogs.get(ticket.workspace)
        if backlog is None or ticket not in backlog.tickets:
            return False
        backlog.tickets.remove(ticket)
        self._forget(backlog, ticket)
        return True

    def work_ahead_ms(self, ticket: Ticket) -> float:
        """Returns the work that is served before a newly added request.

        Each other workspace is served at most its own share while the
        request's workspace works off what waits already.
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

    def longest(self) -> tuple[float, Ticket] | None:
        """Returns the newest request of the most overdrawn workspace.

        Returns:
            The waiting requests for each unit of weight, and the request;
            None when nothing waits.
        """
        if not self._backlogs:
            return None
        backlog = max(self._backlogs.values(), key=_overdraft)
        return _overdraft(backlog), backlog.tickets[-1]

    def overdraft(self, ticket: Ticket) -> float:
        """Returns a workspace's waiting requests for each unit of weight.

        The ticket is counted as if it waited already.
        """
        backlog = self._backlogs.get(ticket.workspace)
        waiting = len(backlog.tickets) if backlog is not None else 0
        return (waiting + 1) / max(ticket.weight, 1)

    def _forget(self, backlog: _Backlog, ticket: Ticket) -> None:
        backlog.work_ms -= ticket.expected_run_ms
        self._work_ms -= ticket.expected_run_ms
        self._length -= 1
        if not backlog.tickets:
            del self._backlogs[ticket.workspace]
            self._remember(ticket.workspace, backlog.next_start)

    def _remember(self, workspace: str, next_start: float) -> None:
        self._last_starts[workspace] = next_start
        passed = [
            name
            for name, start in self._last_starts.items()
            if start <= self._virtual_time
        ]
        for name in passed:
            del self._last_starts[name]


def _overdraft(backlog: _Backlog) -> float:
    return len(backlog.tickets) / backlog.weight

"""Queue entries, admission outcomes and queue settings."""

from __future__ import annotations

import dataclasses
import enum

from trefoilpitch.bundle import Priority


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """The properties of a request that decide on its admission."""

    # Identifier of the request, unique on this node.
    request_id: str
    # The workspace that sent the request.
    workspace: str
    # The workspace's share of the capacity relative to other workspaces.
    weight: int
    # Requests of a higher priority are served first.
    priority: Priority
    # When its response is due, on the monotonic clock.
    deadline_ms: int
    # Expected run time on an upstream, in milliseconds.
    expected_run_ms: int

    @property
    def latest_start_ms(self) -> int:
        """Latest start at which it can still finish by its deadline."""
        return self.deadline_ms - self.expected_run_ms


class RefusalReason(enum.Enum):
    """Why a request is refused or removed from the queue unserved."""

    # The queue is full, and no workspace has a larger backlog, relative to its
    # weight, than the request's own.
    QUEUE_FULL = "queue_full"
    # It cannot be served by its deadline.
    DEADLINE = "deadline"
    # No upstream serves the queue at the moment.
    NO_CAPACITY = "no_capacity"
    # It was removed from a full queue in favour of a request of a workspace
    # with a smaller backlog relative to its weight.
    DISPLACED = "displaced"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """A request that was not sent and will not be; its caller is notified."""

    # The refused request.
    ticket: Ticket
    # Why it was refused.
    reason: RefusalReason
    # Estimated time until the same request would be admitted, in
    # milliseconds.
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queued:
    """A request that was admitted to the queue."""

    # The admitted request.
    ticket: Ticket
    # Estimated time until it starts, in milliseconds.
    expected_wait_ms: int
    # The request that was removed for it; None when the queue was not full.
    displaced: Refused | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueSettings:
    """Limits of an admission queue, and parameters of its estimates."""

    # Most waiting requests of each priority.
    max_waiting: int = 256
    # Time constant of the mean rate of arriving work, in milliseconds.
    rate_window_ms: float = 10_000.0
    # Most requests of higher priority served in a row while requests of a
    # lower one wait; bounds starvation.
    max_passed_over: int = 16
    # Share of the expected wait after which a full queue probably has a free
    # slot again.
    full_queue_share: float = 0.25
    # Shortest expected duration of an outage of all upstreams, in
    # milliseconds.
    min_outage_ms: int = 2_000
    # Bounds of the retry delay given to a refused caller, in milliseconds.
    min_retry_after_ms: int = 1_000
    max_retry_after_ms: int = 120_000

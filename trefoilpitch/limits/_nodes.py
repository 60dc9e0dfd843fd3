"""Tickets of waiting requests, and how they leave the queue."""

from __future__ import annotations

import dataclasses
import enum

from trefoilpitch.bundle import Priority


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """A request that asks for a place in the queue."""

    # Identifies the request on this node.
    request_id: str
    # The workspace that asks.
    workspace: str
    # The workspace's share relative to others.
    weight: int
    # How urgently the request is served.
    priority: Priority
    # When its answer is due, on the monotonic clock.
    deadline_ms: int
    # Time that it is expected to run, in milliseconds.
    expected_run_ms: int

    @property
    def latest_start_ms(self) -> int:
        """The last moment at which starting it still makes sense."""
        return self.deadline_ms - self.expected_run_ms


class RefusalReason(enum.Enum):
    """Why a request leaves the queue unserved."""

    # The queue is full, and others have a better claim to its places.
    QUEUE_FULL = "queue_full"
    # It cannot be served before its deadline.
    DEADLINE = "deadline"
    # Nothing serves the queue at present.
    NO_CAPACITY = "no_capacity"
    # Its place went to a request with a better claim.
    DISPLACED = "displaced"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """A request that has not run and will not; answer its caller now."""

    # The request.
    ticket: Ticket
    # Why.
    reason: RefusalReason
    # Estimated time until the same request would be accepted, in
    # milliseconds.
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Queued:
    """A request that took a place in the queue."""

    # The request.
    ticket: Ticket
    # Estimated time until it starts, in milliseconds.
    expected_wait_ms: int
    # A request that lost its place to this one; None when there was room.
    displaced: Refused | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueSettings:
    """Bounds of a queue."""

    # Most requests of one priority that wait at once.
    max_waiting: int = 256
    # Time over which arriving work is averaged, in milliseconds.
    rate_window_ms: float = 10_000.0
    # Requests of higher priority served while a lower one waits, at most.
    max_passed_over: int = 16
    # Share of a full queue's wait after which a place is likely free.
    full_queue_share: float = 0.25
    # Shortest time that an outage of all upstreams is expected to last, in
    # milliseconds.
    min_outage_ms: int = 2_000
    # Bounds of the time that a refused caller is asked to wait, in
    # milliseconds.
    min_retry_after_ms: int = 1_000
    max_retry_after_ms: int = 120_000

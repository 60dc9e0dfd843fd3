"""Applies the memory budget to the connections of all servers of a process."""

from __future__ import annotations

import dataclasses
import enum
from collections import Counter
from collections.abc import Callable
from typing import Protocol, TypeAlias

from trefoilpitch.gateway._log import log_event
from trefoilpitch.gateway._memory_budget import (
    Account,
    BudgetLimits,
    HeldKind,
    MemoryBudget,
    Outcome,
)
from trefoilpitch.metrics import Label, Metrics

_MS_PER_S = 1_000
# Log lines on refusals in a second; the others are only counted.
_LINES_PER_S = 5
# Of a target in a log line; it may have as many bytes as a head.
_TARGET_CHARS = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """How long and how much one connection may keep the server waiting."""

    # Pipelined bytes that are held while a request is in progress.
    max_unparsed_bytes: int = 64 * 1024
    # Pipelined requests without a pause, and the pause before each further one.
    # Others get a turn, and the connection may be evicted meanwhile.
    pipelined_in_row: int = 16
    pipelined_pause_ms: int = 100
    # Header fields of heads with more than the ordinary number: as many of all
    # clients together in a second, and at once. Each takes some microseconds
    # of the event loop.
    ordinary_fields: int = 128
    fields_per_s: int = 40_000
    fields_at_once: int = 40_000
    # Bytes of a body that have to arrive in each such time, unless it ends.
    body_window_ms: int = 5_000
    min_body_bytes: int = 1_024
    # Chunks, besides one for each so many bytes of the body.
    max_small_chunks: int = 2_048
    small_chunk_bytes: int = 64
    # Bytes of a stream that are held for a client that does not read them, so
    # that its upstream is not blocked.
    max_unread_bytes: int = 1024 * 1024
    # How long an upstream's stream is blocked beyond that.
    max_blocked_ms: int = 2_000
    # How long a client may read nothing of a response.
    unread_timeout_ms: int = 8_000


class Evictable(Protocol):
    """A connection that gives way to others."""

    def evict(self, *, at_once: bool) -> None:
        """Refuses the request in progress and closes the connection.

        Args:
            at_once: Whether its descriptor is needed: without a response.
        """


ConnectionAccount: TypeAlias = Account[Evictable]


class RefusalReason(enum.Enum):
    """Why the server closes a connection."""

    MALFORMED = "malformed"
    # Heads of many fields take too much time at the moment.
    MANY_FIELDS = "many_fields"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    # The chunks of a body are too small.
    SMALL_CHUNKS = "small_chunks"
    REQUEST_TIMEOUT = "request_timeout"
    # The body arrives too slowly.
    SLOW_BODY = "slow_body"
    # The client does not read its response.
    UNREAD_RESPONSE = "unread_response"
    # The budget or the workspace's share has no room.
    NO_ROOM = "no_room"
    # The client's address holds more than its share.
    OVER_SHARE = "over_share"
    # Another connection needs the memory or the descriptor.
    EVICTED = "evicted"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    EXITING = "exiting"


class MemoryGuard:
    """The budget of a process, with its evictions, metrics and log lines.

    Args:
        budget: What connections may hold.
        clients: Limits of one connection.
        now_ms: Returns monotonic time.
        metrics: Counts the refusals; None to count none.
    """

    def __init__(
        self,
        budget: BudgetLimits,
        clients: ClientLimits,
        now_ms: Callable[[], int],
        metrics: Metrics | None = None,
    ) -> None:
        self._budget: MemoryBudget[Evictable] = MemoryBudget(budget)
        # Whether the limits of one connection apply, too.
        self.limited = budget.total_bytes is not None
        self.clients = clients
        self._now_ms = now_ms
        self._metrics = metrics
        # Fields that may be received now, and since when.
        self._field_credit = float(clients.fields_at_once)
        self._field_credit_ms = now_ms()
        self._logged_s = 0
        self._lines = 0
        self._left_out: Counter[str] = Counter()

    def held_bytes(self) -> dict[HeldKind, int]:
        """Returns the bytes that are held, by kind."""
        return self._budget.held_bytes()

    def open(self, owner: Evictable, address: str) -> ConnectionAccount | None:
        """Opens the account of a connection; None if there are too many."""
        account, evicted = self._budget.open(owner, address, self._now_ms())
        for other in evicted:
            other.evict(at_once=True)
        return account

    def hold(
        self, account: ConnectionAccount, kind: HeldKind, size: int
    ) -> Outcome:
        """Sets the bytes that a connection holds of a kind, if permitted."""
        decision = self._budget.hold(account, kind, size, self._now_ms())
        for other in decision.evicted:
            other.evict(at_once=False)
        return decision.outcome

    def admits_fields(self, count: int) -> bool:
        """Returns whether a head with so many fields may be handled now."""
        clients = self.clients
        if not self.limited or count <= clients.ordinary_fields:
            return True
        now_ms = self._now_ms()
        earned = (now_ms - self._field_credit_ms) * clients.fields_per_s
        self._field_credit_ms = now_ms
        self._field_credit = min(
            clients.fields_at_once, self._field_credit + earned / _MS_PER_S
        )
        if self._field_credit < count:
            return False
        self._field_credit -= count
        return True

    def record_progress(self, account: ConnectionAccount, size: int) -> None:
        """Records bytes that a client has sent or read."""
        self._budget.record_progress(account, size, self._now_ms())

    def record_served(self, account: ConnectionAccount) -> None:
        """Records that a request was served."""
        self._budget.record_served(account, self._now_ms())

    def release(self, account: ConnectionAccount) -> None:
        """Releases what is held for a connection that is being closed."""
        self._budget.release(account)

    def close(self, account: ConnectionAccount) -> None:
        """Ends the account of a connection that is closed."""
        self._budget.close(account)

    def record_refusal(
        self,
        reason: RefusalReason,
        detail: str,
        *,
        status: int | None,
        target: bytes,
        age_ms: int,
    ) -> None:
        """Counts and logs a connection that is closed by the server.

        Args:
            reason: Why, for the metrics.
            detail: Why, for the log.
            status: Status of the response; None if there is none.
            target: The request's target; empty if unknown.
            age_ms: Time since its first byte.
        """
        if self._metrics is not None:
            label = Label(name="reason", value=reason.value)
            self._metrics.count("connections_refused", label)
        second = self._now_ms() // _MS_PER_S
        if second != self._logged_s:
            self._logged_s = second
            self._lines = 0
        self._lines += 1
        if self._lines > _LINES_PER_S:
            self._left_out[reason.value] += 1
            return
        log_event(
            "connection_rejected",
            status=status,
            reason=detail,
            target=target[:_TARGET_CHARS].decode("latin-1") or None,
            age_ms=age_ms,
            not_logged=dict(self._left_out),
        )
        self._left_out.clear()

"""Order in which requests wait for an upstream.

Load pattern: the upstreams of a service are saturated, cold, paused or ejected
for a moment, while requests of many workspaces and priorities arrive; one
workspace, session or shared part of a prompt may have most of them. A place
that becomes free goes

1. to a workspace within its usual rate,
2. to a request that has to begin soon, then to one that has time left, then to
   one that is late already and has time until its deadline,
3. to the most urgent of these,
4. to a response in progress,
5. to the workspace, the session and the subject that got the fewest places
   lately,
6. to the request that has to begin first.

Requests that have time left can wait for less urgent ones without harm. When
all have to begin soon, urgency alone decides.
Newcomers get only what those that wait cannot use. The size of a request plays
no part, so that large ones are not starved. A queue asks for a place only once
for all requests that can use the same places.
"""

from __future__ import annotations

import dataclasses
import enum
from collections import Counter
from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar

_Place = TypeVar("_Place")
# Places granted after which the counts of grants are halved: long enough to
# tell a workspace that floods the service, short enough to forgive it.
_GRANTS_PER_HALVING = 64
# Part of the time to begin in time in which a request yields to less urgent
# ones that have to begin soon. With none, a wave of 0.9 of the capacity lost a
# quarter of the least urgent.
_YIELDING_SHARE = 0.5
# Part of the time from then to the deadline in which a request that is late
# already yields to all that can be in time.
_LATE_SHARE = 0.75
# Grants that a session or a subject has before it goes behind requests without
# any, which have no grants.
_SMALL_SHARE = 4


class Pressure(enum.Enum):
    """How soon a request has to begin; the most pressing first."""

    # It will be late, or lost, unless it begins soon.
    SOON = 0
    LATER = 1
    # It is late already and has time until its deadline.
    MISSED = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WaitTerms:
    """What decides when a request gets a place, and until when it waits."""

    # 0 is the most urgent.
    priority: int
    # None on public routes.
    workspace: str | None
    # Monotonic time at which it gives up waiting.
    until_ms: int
    # Latest monotonic time to begin in time; None if that is `until_ms`.
    due_ms: int | None = None
    # Monotonic time of the last review: a refusal after it harms the caller. A
    # request whose wait cannot be predicted gives up then. None: `until_ms`.
    review_ms: int | None = None
    # Monotonic time of its arrival; None if it never yields to others.
    since_ms: int | None = None
    # Whether the caller has received a part of the response.
    started: bool = False
    # Whether no attempt may have run, so that it can be refused.
    refusable: bool = True
    # Whether its workspace sends far more than usual.
    excess: bool = False
    # The session, and the last part of the prompt that others share.
    session: str | None = None
    subject: str | None = None
    # Equal for requests that can use the same places; None if it has no equals.
    group: Hashable | None = None

    @property
    def latest_begin_ms(self) -> int:
        """Latest monotonic time to begin in time."""
        return self.until_ms if self.due_ms is None else self.due_ms

    @property
    def last_review_ms(self) -> int:
        """Monotonic time of the last review."""
        if self.review_ms is None:
            return self.until_ms
        return min(self.review_ms, self.until_ms)

    @property
    def may_be_refused(self) -> bool:
        """Whether it can still be refused."""
        return self.refusable and not self.started

    def pressure(self, now_ms: int) -> Pressure:
        """Returns how soon the request has to begin."""
        if self.started or self.since_ms is None:
            return Pressure.SOON
        start_ms, end_ms = self.since_ms, self.latest_begin_ms
        if now_ms > end_ms:
            start_ms, end_ms = end_ms, self.until_ms
            return (
                Pressure.SOON
                if now_ms >= start_ms + _LATE_SHARE * (end_ms - start_ms)
                else Pressure.MISSED
            )
        if now_ms >= start_ms + _YIELDING_SHARE * (end_ms - start_ms):
            return Pressure.SOON
        return Pressure.LATER

    def rank(self, now_ms: int) -> tuple[bool, int, int, bool]:
        """Returns the part of the order that grants do not change."""
        pressure = self.pressure(now_ms)
        return (self.excess, pressure.value, self.priority, not self.started)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WaitingRequest(Generic[_Place]):
    """A request that waits for a place at an upstream."""

    terms: WaitTerms
    # Returns a place for it; None if there is none that it may use.
    choose: Callable[[], _Place | None]
    # Called with the place that it has been given.
    grant: Callable[[_Place], None]


class WaitingQueue(Generic[_Place]):
    """The requests that wait for one service."""

    def __init__(self) -> None:
        self._waiting: dict[int, WaitingRequest[_Place]] = {}
        self._next_ticket = 0
        # Grants by kind of share and its name.
        self._grants: Counter[tuple[str, str | None]] = Counter()
        self._granted = 0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def groups(self) -> int:
        """Number of choices that one offer of places takes at most."""
        return len({self._group(ticket) for ticket in self._waiting})

    def by_priority(self) -> Counter[int]:
        """Returns the number of requests by priority."""
        return Counter(r.terms.priority for r in self._waiting.values())

    def count_ahead(self, terms: WaitTerms) -> int:
        """Returns how many requests are as urgent as one, or more."""
        rank = (terms.excess, terms.priority)
        return sum(
            (request.terms.excess, request.terms.priority) <= rank
            for request in self._waiting.values()
        )

    def add(self, request: WaitingRequest[_Place]) -> int:
        """Adds a request and returns its ticket."""
        self._next_ticket += 1
        self._waiting[self._next_ticket] = request
        return self._next_ticket

    def remove(self, ticket: int) -> None:
        """Removes a request that gave up or whose caller has left."""
        self._waiting.pop(ticket, None)

    def offer_place(self, now_ms: int) -> bool:
        """Gives a free place to the first that can use it.

        Args:
            now_ms: The monotonic time.

        Returns:
            Whether a place was given.
        """
        without_place: set[Hashable] = set()
        for ticket in self._in_order(now_ms):
            group = self._group(ticket)
            if group in without_place:
                continue
            request = self._waiting[ticket]
            place = request.choose()
            if place is None:
                without_place.add(group)
                continue
            del self._waiting[ticket]
            self._record_grant(request.terms)
            request.grant(place)
            return True
        return False

    def _group(self, ticket: int) -> Hashable:
        group = self._waiting[ticket].terms.group
        return ("ticket", ticket) if group is None else ("group", group)

    def _in_order(self, now_ms: int) -> Iterator[int]:
        def order(ticket: int) -> tuple[object, ...]:
            terms = self._waiting[ticket].terms
            return (
                *terms.rank(now_ms),
                self._grants["workspace", terms.workspace],
                self._grants["session", terms.session] // _SMALL_SHARE,
                self._grants["subject", terms.subject] // _SMALL_SHARE,
                terms.latest_begin_ms,
                ticket,
            )

        return iter(sorted(self._waiting, key=order))

    def _record_grant(self, terms: WaitTerms) -> None:
        self._grants["workspace", terms.workspace] += 1
        if terms.session is not None:
            self._grants["session", terms.session] += 1
        if terms.subject is not None:
            self._grants["subject", terms.subject] += 1
        self._granted += 1
        if self._granted >= _GRANTS_PER_HALVING:
            self._granted = 0
            self._grants = Counter(
                {name: n // 2 for name, n in self._grants.items() if n > 1}
            )

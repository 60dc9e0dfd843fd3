"""Order in which requests wait for an upstream.

Load pattern: the upstreams of a service are saturated, cold, paused or ejected
for a moment, while requests of many workspaces and priorities arrive. A place
that becomes free goes to the most urgent request, then to responses in
progress, then to the workspace that got the fewest places lately, then to the
request that has to start first. Newcomers get only what those that wait cannot
use. The size of a request plays no part, so that large ones are not starved.
"""

from __future__ import annotations

import dataclasses
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

_Place = TypeVar("_Place")
# Places granted after which the counts by workspace are halved: long enough to
# tell a workspace that floods the service, short enough to forgive it.
_GRANTS_PER_HALVING = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WaitTerms:
    """What decides when a request gets a place, and until when it waits."""

    # 0 is the most urgent.
    priority: int
    # None on public routes.
    workspace: str | None
    # Monotonic time at which it gives up waiting.
    until_ms: int
    # Whether the caller has received a part of the response.
    started: bool = False


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
        self._grants: Counter[str | None] = Counter()
        self._granted = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, request: WaitingRequest[_Place]) -> int:
        """Adds a request and returns its ticket."""
        self._next_ticket += 1
        self._waiting[self._next_ticket] = request
        return self._next_ticket

    def remove(self, ticket: int) -> None:
        """Removes a request that gave up or whose caller has left."""
        self._waiting.pop(ticket, None)

    def offer_places(self) -> int:
        """Gives the free places to those that wait, in their order.

        Returns:
            How many places were given.
        """
        count = 0
        while self._offer_place():
            count += 1
        return count

    def _offer_place(self) -> bool:
        for ticket in self._in_order():
            request = self._waiting[ticket]
            place = request.choose()
            if place is None:
                continue
            del self._waiting[ticket]
            self._record_grant(request.terms.workspace)
            request.grant(place)
            return True
        return False

    def _in_order(self) -> Iterator[int]:
        def order(ticket: int) -> tuple[int, bool, int, int, int]:
            terms = self._waiting[ticket].terms
            return (
                terms.priority,
                not terms.started,
                self._grants[terms.workspace],
                terms.until_ms,
                ticket,
            )

        return iter(sorted(self._waiting, key=order))

    def _record_grant(self, workspace: str | None) -> None:
        self._grants[workspace] += 1
        self._granted += 1
        if self._granted >= _GRANTS_PER_HALVING:
            self._granted = 0
            self._grants = Counter(
                {name: n // 2 for name, n in self._grants.items() if n > 1}
            )

"""Shares of an upstream's capacity between daemons, by their demand.

Load pattern: many daemons compete for few places at an upstream, such as 83
for 16 slots, and the demand moves between them from one second to the next.
Equal shares are 0 or 1 place each: a daemon with one waiting request may have
no place, while another one leaves its own unused.

Each daemon computes the shares of all from the demands in the last heartbeats.
The unit m of a daemon's demand has the rank (m + u) / demand, where u is 0 to 1
by the rendezvous score of daemon and upstream, and the units with the lowest
ranks get the places. Shares are therefore proportional to the demand, rounded
up or down at random but alike in all views, and a change of one daemon's demand
moves few other places: views that differ by the age of their heartbeats yield
nearly the same shares.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Collection, Mapping

from trefoilpitch.rendezvous import score

_SCORES = 1 << 64
# Demands that differ from the mean by less than this factor count as alike.
_SIMILAR_FACTOR = 3


class SettlingShare:
    """A share that counts less at once, and more only after a window.

    Until then the requests of the daemons that had it before count as well.
    """

    def __init__(self) -> None:
        # Monotonic times from which a share was known, and the share.
        self._known: deque[tuple[int, int]] = deque()

    def record(self, own_share: int, now_ms: int) -> None:
        """Records the share that was computed now."""
        if not self._known or self._known[-1][1] != own_share:
            self._known.append((now_ms, own_share))

    def settled(self, now_ms: int, window_ms: int) -> int:
        """Returns the least share of the window that ends now.

        One that is the first may be used at once.
        """
        known = self._known
        # The first one left was known when the window began.
        while len(known) > 1 and known[1][0] <= now_ms - window_ms:
            known.popleft()
        return min(own_share for _, own_share in known)


def share(
    upstream_id: str,
    places: int,
    demands: Mapping[str, int],
    own_name: str,
) -> int:
    """Returns how many places of an upstream a daemon may use.

    The shares of all daemons with equal views add up to `places`. A daemon has
    no more than its demand while the others need the rest; what nobody needs is
    shared equally, so that a daemon without demand can start at once.

    Args:
        upstream_id: The upstream, or another key for the hash.
        places: How many requests all daemons may have there.
        demands: Each daemon's requests in flight and waiting, by name.
        own_name: The daemon whose share is returned.
    """
    own_demand = demands.get(own_name)
    if own_demand is None:
        return 0
    total = sum(demands.values())
    if total > places:
        return _contested_share(upstream_id, places, demands, own_name)
    spare, remainder = divmod(places - total, len(demands))
    own_score = score(upstream_id, own_name)
    higher = sum(score(upstream_id, name) > own_score for name in demands)
    return own_demand + spare + (higher < remainder)


def expected_demands(
    members: Collection[str], heard: Mapping[str, int]
) -> dict[str, int]:
    """Returns the demands of all members.

    One that has not reported its demand is expected to have the mean of the
    others: it may be in the other part of a partitioned network, or be of a
    build that does not report any and takes an equal share.

    Args:
        members: Names of all daemons that may be running.
        heard: The demands that daemons have reported.
    """
    demands = {name: heard[name] for name in members if name in heard}
    if len(demands) < len(members):
        mean = -(-sum(demands.values()) // max(1, len(demands)))
        for name in members:
            demands.setdefault(name, max(1, mean))
    return demands


def leveled_demands(demands: Mapping[str, int]) -> dict[str, int]:
    """Returns demands in which those that are similar are equal.

    Load pattern: requests are shorter than the interval of heartbeats, and come
    to all daemons alike. Shares that follow each small difference would move
    while the requests of the daemon that had them before are still running. A
    daemon without demand counts as one with one request, as its next request
    may come before its next heartbeat.

    Args:
        demands: The demands of all daemons, by name.
    """
    least = {name: max(1, demand) for name, demand in demands.items()}
    mean = -(-sum(least.values()) // max(1, len(least)))
    return {
        name: mean
        if mean <= _SIMILAR_FACTOR * demand and demand <= _SIMILAR_FACTOR * mean
        else demand
        for name, demand in least.items()
    }


def _contested_share(
    upstream_id: str,
    places: int,
    demands: Mapping[str, int],
    own_name: str,
) -> int:
    """Returns a share where the demand exceeds the places."""
    offsets = {
        name: 1.0 - score(upstream_id, name) / _SCORES
        for name, demand in demands.items()
        if demand > 0
    }
    # The next unit of each daemon that has not got a place.
    units = [
        (offset / demands[name], name, 0) for name, offset in offsets.items()
    ]
    heapq.heapify(units)
    own_share = 0
    for _ in range(places):
        _, name, unit = units[0]
        own_share += name == own_name
        following = (unit + 1 + offsets[name]) / demands[name]
        heapq.heapreplace(units, (following, name, unit + 1))
    return own_share

"""This daemon's share of the request rate of cold upstreams.

Load pattern: all upstreams of a failure domain restart together, cold, while
some or all daemons have requests waiting for them. The daemons' shares of an
upstream follow their demand and add up to its rate limit, without coordination.
A share that grows counts only after the time in which all heartbeats that are
not lost have arrived: until then the daemon that gives it up may not know. The
tolerance that the platform's rules allow above the limit is left for lost
heartbeats and for daemons that join, leave or resume after a freeze.
"""

from __future__ import annotations

import dataclasses
from collections import deque
from collections.abc import Collection, Mapping

from trefoilpitch.gateway._room_shares import (
    SettlingShare,
    expected_demands,
    share,
)

_WINDOW_MS = 1_000
# Time for which a share must have lasted: the window in which the requests of
# the daemon that had it before still count.
_SETTLING_MS = 1_000


def share_per_window(
    upstream_id: str,
    rate_per_s: float,
    own_name: str,
    members: Collection[str],
    demands: Mapping[str, int] | None = None,
) -> int:
    """Returns how many requests per second this daemon may send.

    Args:
        upstream_id: The cold upstream.
        rate_per_s: Its rate limit for all daemons together.
        own_name: Name of this daemon.
        members: All daemons that may be running, this one included.
        demands: The demands for the service that daemons have reported, by
            name. A member that has reported none counts like the mean of the
            others; if none has, the shares differ by one at most.
    """
    known = expected_demands({*members, own_name}, demands or {})
    return share(upstream_id, int(rate_per_s), known, own_name)


@dataclasses.dataclass(slots=True)
class _KnownShare:
    """This daemon's share of an upstream's rate, and its inputs."""

    rate_per_s: float
    demands: Mapping[str, int]
    share: SettlingShare


class ColdShares:
    """Holds back the growth of shares until others have given theirs up.

    Args:
        own_name: Name of this daemon.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._known: dict[str, _KnownShare] = {}

    def settled(
        self,
        upstream_id: str,
        rate_per_s: float,
        members: Collection[str],
        demands: Mapping[str, int],
        now_ms: int,
    ) -> int:
        """Returns how many requests per second this daemon may send now.

        It is the least share of the last second. One that is the first of its
        upstream may be used at once. The arguments are those of
        `share_per_window`; a new share is computed if they have changed, where
        the members count as unchanged while the demands are the same object.
        """
        known = self._known.get(upstream_id)
        if (
            known is None
            or known.demands is not demands
            or known.rate_per_s != rate_per_s
        ):
            own_share = share_per_window(
                upstream_id, rate_per_s, self._own_name, members, demands
            )
            settling = known.share if known is not None else SettlingShare()
            known = _KnownShare(rate_per_s, demands, settling)
            self._known[upstream_id] = known
            settling.record(own_share, now_ms)
        return known.share.settled(now_ms, _SETTLING_MS)

    def retain(self, upstream_ids: Collection[str]) -> None:
        """Evicts the shares of all upstreams except the given ones."""
        for upstream_id in list(self._known):
            if upstream_id not in upstream_ids:
                del self._known[upstream_id]


class ColdRequestCounter:
    """Counts the requests sent to cold upstreams in a one-second window."""

    def __init__(self) -> None:
        self._sent: dict[str, deque[int]] = {}

    def used(self, upstream_id: str, now_ms: int) -> int:
        """Returns the number of requests sent in the window that ends now."""
        sent = self._sent.get(upstream_id)
        if sent is None:
            return 0
        while sent and sent[0] <= now_ms - _WINDOW_MS:
            sent.popleft()
        return len(sent)

    def record(self, upstream_id: str, now_ms: int) -> None:
        """Records a request that is sent now."""
        self._sent.setdefault(upstream_id, deque()).append(now_ms)

    def retain(self, upstream_ids: Collection[str]) -> None:
        """Evicts the counts of all upstreams except the given ones."""
        for upstream_id in list(self._sent):
            if upstream_id not in upstream_ids:
                del self._sent[upstream_id]

"""This daemon's share of the request rate of cold upstreams.

Load pattern: all upstreams of a failure domain restart together, cold, while
every daemon has requests waiting for them. The daemons' shares of an upstream
add up to at most its rate limit, without coordination. The tolerance that the
platform's rules allow above the limit is left for daemons that join, leave or
resume after a freeze.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from trefoilpitch.rendezvous import rank

_WINDOW_MS = 1_000


def share_per_window(
    upstream_id: str,
    rate_per_s: float,
    own_name: str,
    members: Collection[str],
) -> int:
    """Returns how many requests per second this daemon may send.

    The shares differ by one if the rate is not a multiple of the number of
    daemons; which daemons have the larger ones depends on the upstream.

    Args:
        upstream_id: The cold upstream.
        rate_per_s: Its rate limit for all daemons together.
        own_name: Name of this daemon.
        members: All daemons that may be running, this one included.
    """
    names = set(members) | {own_name}
    share, remainder = divmod(int(rate_per_s), len(names))
    return share + (own_name in rank(upstream_id, names)[:remainder])


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

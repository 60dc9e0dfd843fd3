"""This daemon's share of what cold upstreams bear.

Load pattern: the upstreams of a failure domain come back together, cold, while
every daemon has work waiting for them. All daemons' shares of one upstream
sum to no more than its rate, without a word between them; the rules' tolerance
above that rate is left for daemons that come, go or wake from a freeze.
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
    """Returns how many requests a second this daemon may send.

    Where there are fewer requests than daemons, only some daemons have a
    share; which ones differs from upstream to upstream.

    Args:
        upstream_id: The cold upstream.
        rate_per_s: What it bears from all daemons.
        own_name: This daemon.
        members: All daemons that may be running, this one included.
    """
    names = set(members) | {own_name}
    whole = int(rate_per_s)
    if whole >= len(names):
        return whole // len(names)
    return 1 if own_name in rank(upstream_id, names)[:whole] else 0


class ColdShare:
    """Counts the requests sent to cold upstreams in the last second."""

    def __init__(self) -> None:
        self._sent: dict[str, deque[int]] = {}

    def used(self, upstream_id: str, now_ms: int) -> int:
        """Returns how many were sent in the window before now."""
        sent = self._sent.get(upstream_id)
        if sent is None:
            return 0
        while sent and sent[0] <= now_ms - _WINDOW_MS:
            sent.popleft()
        return len(sent)

    def record(self, upstream_id: str, now_ms: int) -> None:
        """Counts a request that is sent now."""
        self._sent.setdefault(upstream_id, deque()).append(now_ms)

    def forget_all_but(self, upstream_ids: Collection[str]) -> None:
        """Drops the counts of upstreams that are gone."""
        for upstream_id in list(self._sent):
            if upstream_id not in upstream_ids:
                del self._sent[upstream_id]

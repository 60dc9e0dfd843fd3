"""How long a request waits while none of its upstreams can be reached.

Load pattern: every upstream that may run a request refuses connections, or
none is in service, while callers with deadlines of minutes go on asking. Those
that are held take threads and memory and are refused in the end.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Hashable

# Twice the pause between two load reports: an upstream that restarts, or that
# a new configuration brings, is heard in that time.
OUTAGE_WAIT_MS = 1_000
# Bounds of what a refused caller is told; an outage is expected to last as
# long again as it has lasted.
_MIN_RETRY_AFTER_MS = 1_000
_MAX_RETRY_AFTER_MS = 30_000
# An outage that no request has met for this long may have ended meanwhile.
_FORGET_AFTER_MS = 5_000


def outage_retry_after_ms(outage_ms: int) -> int | None:
    """Decides whether a request is refused because of an outage.

    Args:
        outage_ms: For how long no upstream could be reached.

    Returns:
        When the refused caller may come back, in milliseconds; None if the
        request may wait a little.
    """
    if outage_ms < OUTAGE_WAIT_MS:
        return None
    return min(_MAX_RETRY_AFTER_MS, max(_MIN_RETRY_AFTER_MS, outage_ms))


@dataclasses.dataclass(slots=True)
class _Outage:
    since_ms: int
    met_ms: int


class OutageTracker:
    """Remembers since when targets cannot be reached. Not thread-safe."""

    def __init__(self) -> None:
        self._outages: dict[Hashable, _Outage] = {}

    def record_unreachable(
        self, target: Hashable, since_ms: int | None, now_ms: int
    ) -> int:
        """Records that a request has met an outage.

        Args:
            target: What the request runs on.
            since_ms: When the last of its upstreams was lost, on the monotonic
                clock; None if there is none.
            now_ms: The monotonic time.

        Returns:
            How long the outage has lasted, in milliseconds.
        """
        known = self._outages.get(target)
        if known is None or now_ms - known.met_ms > _FORGET_AFTER_MS:
            known = _Outage(since_ms=now_ms, met_ms=now_ms)
            self._outages[target] = known
        if since_ms is not None:
            known.since_ms = since_ms
        known.met_ms = now_ms
        return now_ms - known.since_ms

    def record_reachable(self, target: Hashable) -> None:
        """Records that a target can be reached."""
        self._outages.pop(target, None)

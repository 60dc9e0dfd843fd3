"""Bounds how long requests wait while none of their upstreams is reachable.

Guards against this load pattern: every upstream of a target refuses
connections, or none is in service, while callers with deadlines of minutes
keep sending requests. Requests that wait use threads and memory, and are
refused in the end anyway.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Hashable

# Twice the interval between two load reports: an upstream that has restarted,
# or that a new configuration has added, has reported by then.
OUTAGE_WAIT_MS = 1_000
# Bounds of the retry delay given to a refused caller. An outage is expected to
# last as long again as it has lasted so far.
_MIN_RETRY_AFTER_MS = 1_000
_MAX_RETRY_AFTER_MS = 30_000
# An outage that no request has seen for this long is discarded: it may have
# ended in the meantime.
_EXPIRE_AFTER_MS = 5_000


def outage_retry_after_ms(outage_ms: int) -> int | None:
    """Decides whether a request is refused because of an outage.

    Args:
        outage_ms: For how long no upstream has been reachable.

    Returns:
        The retry delay for the refused caller, in milliseconds; None if the
        request may wait.
    """
    if outage_ms < OUTAGE_WAIT_MS:
        return None
    return min(_MAX_RETRY_AFTER_MS, max(_MIN_RETRY_AFTER_MS, outage_ms))


@dataclasses.dataclass(slots=True)
class _Outage:
    since_ms: int
    last_seen_ms: int


class OutageTracker:
    """Tracks since when targets have been unreachable. Not thread-safe."""

    def __init__(self) -> None:
        self._outages: dict[Hashable, _Outage] = {}

    def record_unreachable(
        self, target: Hashable, since_ms: int | None, now_ms: int
    ) -> int:
        """Records that a request found no reachable upstream for its target.

        Args:
            target: The model version or service operation to run.
            since_ms: When the last of its upstreams became unreachable, on
                the monotonic clock; None if it has no upstream.
            now_ms: The current monotonic time.

        Returns:
            How long the outage has lasted, in milliseconds.
        """
        outage = self._outages.get(target)
        if outage is None or now_ms - outage.last_seen_ms > _EXPIRE_AFTER_MS:
            outage = _Outage(since_ms=now_ms, last_seen_ms=now_ms)
            self._outages[target] = outage
        if since_ms is not None:
            outage.since_ms = since_ms
        outage.last_seen_ms = now_ms
        return now_ms - outage.since_ms

    def record_reachable(self, target: Hashable) -> None:
        """Records that a target is reachable."""
        self._outages.pop(target, None)

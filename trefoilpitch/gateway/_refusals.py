"""When a caller whose request did not run may come back.

Load pattern: all daemons are killed while the store is away. Those that start
again know no configuration until it returns, which takes seconds, and callers
repeat a refused request once or twice: one that comes back at once is refused
again and lost.
"""

from __future__ import annotations

# About the time in which an upstream that failed is tried again, a cold one
# takes more, and a daemon that starts has read the store.
RETRY_SOON_MS = 300
# Share of the time that the caller has left after which it comes back in an
# outage: callers wait no longer than a third of it.
_OUTAGE_SHARE = 0.3
# The longest time: outages of the store mostly last some seconds.
_MAX_OUTAGE_RETRY_MS = 5_000


def retry_after_ms(remaining_ms: float, *, store_away: bool) -> int:
    """Returns when a caller may come back whom no daemon can serve yet.

    Args:
        remaining_ms: How long the caller still waits for an answer.
        store_away: Whether the store is known to be away.
    """
    if not store_away:
        return RETRY_SOON_MS
    share_ms = int(_OUTAGE_SHARE * remaining_ms)
    return max(RETRY_SOON_MS, min(_MAX_OUTAGE_RETRY_MS, share_ms))

"""Retry delays for callers whose request did not run.

Load pattern: all daemons are killed while the store is unavailable. Restarted
daemons have no configuration until the store recovers, which takes seconds.
Callers retry a refused request only once or twice, so an immediate retry is
refused again and the request is lost.
"""

from __future__ import annotations

# Roughly the time until an ejected upstream is probed, a cold upstream accepts
# more requests, or a starting daemon has read the store.
RETRY_SOON_MS = 300
# Fraction of the caller's remaining time to wait in a store outage; callers
# wait at most a third of it before a retry.
_OUTAGE_SHARE = 0.3
# Upper bound of that wait: most store outages last a few seconds.
_MAX_OUTAGE_RETRY_MS = 5_000


def retry_after_ms(remaining_ms: float, *, store_unavailable: bool) -> int:
    """Returns the retry delay for a request that no daemon can serve yet.

    Args:
        remaining_ms: How long the caller still waits for a response.
        store_unavailable: Whether the store is known to be unavailable.
    """
    if not store_unavailable:
        return RETRY_SOON_MS
    share_ms = int(_OUTAGE_SHARE * remaining_ms)
    return max(RETRY_SOON_MS, min(_MAX_OUTAGE_RETRY_MS, share_ms))

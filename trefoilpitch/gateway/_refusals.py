"""Retry delays for callers whose request did not run.

Load pattern: all daemons are killed while the store is unavailable. Restarted
daemons have no configuration until the store recovers, which takes seconds.
Callers retry a refused request only once or twice, so an immediate retry is
refused again and the request is lost.
"""

from __future__ import annotations

from trefoilpitch.retries import Execution

# Minimum remaining time for which an attempt is worthwhile.
MIN_ATTEMPT_MS = 10
# Roughly the time until an ejected upstream is probed, a cold upstream accepts
# more requests, or a starting daemon has read the store.
RETRY_SOON_MS = 300
# Fraction of the caller's remaining time to wait in a store outage; callers
# wait at most a third of it before a retry.
_OUTAGE_SHARE = 0.3
# Upper bound of that wait: most store outages last a few seconds.
_MAX_OUTAGE_RETRY_MS = 5_000
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


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


def refusal_retry_ms(available_in_ms: int | None) -> int:
    """Returns the retry delay for a request that did not run.

    Args:
        available_in_ms: Time until it may be served; None if unknown.
    """
    return max(RETRY_SOON_MS, available_in_ms or 0)


def final_status(
    execution: Execution, remaining_ms: int, available_in_ms: int | None
) -> tuple[int, int | None]:
    """Returns the status and the retry delay of a failed request.

    Args:
        execution: Whether any attempt has run.
        remaining_ms: Time left until the request's deadline.
        available_in_ms: Time until it may be served; None if unknown.
    """
    if execution is Execution.NOT_RUN:
        return _UNAVAILABLE, refusal_retry_ms(available_in_ms)
    if remaining_ms < MIN_ATTEMPT_MS:
        return _GATEWAY_TIMEOUT, None
    return _BAD_GATEWAY, None

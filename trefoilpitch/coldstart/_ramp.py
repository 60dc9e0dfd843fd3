"""The concurrency limit of an upstream while it warms up."""

from __future__ import annotations

from trefoilpitch.bundle import Upstream


def ramp_limit(upstream: Upstream, successes: int) -> int:
    """Returns the concurrency limit after a number of successes.

    The limit doubles each time that as many pieces of work have succeeded as
    it allows at once, until it reaches the capacity.
    """
    limit = max(upstream.cold_capacity, 1)
    remaining = successes
    while limit < upstream.capacity and remaining >= limit:
        remaining -= limit
        limit = min(2 * limit, upstream.capacity)
    return limit


def successes_until_warm(upstream: Upstream) -> int:
    """Returns the successes that complete the ramp, last round included."""
    limit = max(upstream.cold_capacity, 1)
    total = limit
    while limit < upstream.capacity:
        limit = min(2 * limit, upstream.capacity)
        total += limit
    return total

"""How much work an upstream bears on its way out of a cold start."""

from __future__ import annotations

from trefoilpitch.bundle import Upstream


def ramp_limit(upstream: Upstream, successes: int) -> int:
    """Returns how much work an upstream bears after so many successes.

    The bound doubles each time that as many pieces of work succeeded as it
    allows at once, until it reaches the capacity.
    """
    bound = max(upstream.cold_capacity, 1)
    remaining = successes
    while bound < upstream.capacity and remaining >= bound:
        remaining -= bound
        bound = min(2 * bound, upstream.capacity)
    return bound


def successes_when_warm(upstream: Upstream) -> int:
    """Returns how many successes end the ramp, the last round included."""
    bound = max(upstream.cold_capacity, 1)
    total = bound
    while bound < upstream.capacity:
        bound = min(2 * bound, upstream.capacity)
        total += bound
    return total

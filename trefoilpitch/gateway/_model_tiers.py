"""Which model of a route's tiers answers a request.

A small model costs a fraction of a large one and often suffices; it says with
its answer how sure it is. The first answer is dropped while the caller has
none of it, and asked again of the largest model, if it is not sure enough.
"""

from __future__ import annotations

import dataclasses

# Confidence, from 0 to 100, under which an answer is asked for again.
ENOUGH_CONFIDENCE = 65


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TierTry:
    """An answer that a model has begun."""

    # The model's place in the tiers, the smallest first.
    tier: int
    # Its own opinion of its answer; None if it gave none.
    confidence: int | None


def first_tier(tier_count: int) -> int:
    """Returns the tier that is asked first."""
    del tier_count
    return 0


def next_tier(
    attempt: TierTry, tier_count: int, *, time_left: bool
) -> int | None:
    """Returns the tier to ask instead; None to keep the answer.

    Args:
        attempt: The answer that has begun.
        tier_count: How many tiers there are.
        time_left: Whether another answer could still be in time.
    """
    largest = tier_count - 1
    if attempt.tier >= largest or attempt.confidence is None:
        return None
    if attempt.confidence >= ENOUGH_CONFIDENCE or not time_left:
        return None
    return largest

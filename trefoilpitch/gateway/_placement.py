"""Scores candidate upstreams by expected latency and risk.

Load patterns: many daemons see the same outdated load reports and would all
choose the same upstream; a hot prefix would overload a single upstream;
upstreams become slow, or fail a part of their requests while their health
checks pass.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Sequence

# Fraction of the slots in use at which the expected latency doubles: batched
# requests and prompt processing slow each other down long before all slots are
# in use.
_LATENCY_DOUBLING_UTILIZATION = 1 / 16
# Lower bound of the latency ratio; limits the preference for fast upstreams.
_MIN_LATENCY_RATIO = 0.3
# Weight of an upstream's failure rate in its score.
_FAILURE_WEIGHT = 8.0
# Penalty for an upstream in another failure domain.
_REMOTE_FACTOR = 1.15
# Preference for the upstreams that rank first and second for the prompt's
# prefix, as they probably have it cached.
_HOME_FACTOR = 0.25
_SECOND_HOME_FACTOR = 0.6
# Random jitter of the scores, against herd behaviour of the daemons.
_JITTER = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An upstream that may run the request."""

    upstream_id: str
    # Estimated number of requests there.
    load: int
    # Requests that it can process at the same time.
    slots: int
    # Fraction of its recent requests that failed.
    failure_rate: float
    # Measured to expected latency.
    latency_ratio: float
    # Whether it is in this daemon's failure domain.
    local: bool
    # Its rank for the prompt's shared prefix, from 0; None if there is none.
    prefix_rank: int | None = None


def choose(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Returns the candidate with the lowest expected latency and risk."""
    return min(candidates, key=lambda c: _cost(c, rng), default=None)


def saturation(load: float, slots: int) -> float:
    """Returns the load relative to the one that doubles the latency."""
    return load / max(1.0, _LATENCY_DOUBLING_UTILIZATION * slots)


def _cost(candidate: Candidate, rng: random.Random) -> float:
    cost = 1.0 + saturation(candidate.load, candidate.slots)
    cost *= max(_MIN_LATENCY_RATIO, candidate.latency_ratio)
    cost *= 1.0 + _FAILURE_WEIGHT * candidate.failure_rate
    if not candidate.local:
        cost *= _REMOTE_FACTOR
    if candidate.prefix_rank == 0:
        cost *= _HOME_FACTOR
    elif candidate.prefix_rank == 1:
        cost *= _SECOND_HOME_FACTOR
    return cost * (1.0 + _JITTER * rng.random())

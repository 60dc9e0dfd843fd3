"""Which upstream runs a request.

Load patterns: many daemons read the same old reports and would all choose the
same upstream; a hot prefix would pile its requests on one upstream; upstreams
turn slow, or fail a share of their requests with a good health check.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Sequence

# Share of the slots whose use doubles the expected delay: batches slow each
# other down, and prompts delay them, long before the slots are full.
_DOUBLING_SHARE = 1 / 16
# Bound on how much faster than usual an upstream is taken for.
_LEAST_PACE = 0.3
# How much worse an upstream gets with its share of failures.
_FAILURE_WEIGHT = 8.0
# How much an upstream of another failure domain is passed over.
_REMOTE_FACTOR = 1.15
# How much the upstream that holds a prompt's prefix is preferred, and the
# second choice beside it.
_HOME_FACTOR = 0.25
_SECOND_HOME_FACTOR = 0.6
# Random spread of the scores, against herds.
_SPREAD = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An upstream that may run the request."""

    # The upstream.
    upstream_id: str
    # Estimated requests there.
    load: int
    # Requests that it can work on at a time.
    slots: int
    # Share of its recent requests that failed.
    failure_share: float
    # Its latency in relation to the usual one.
    pace: float
    # Whether it is in this daemon's failure domain.
    local: bool
    # Its place in the order of the prompt prefix; None if there is no prefix.
    prefix_rank: int | None = None


def choose(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Returns the candidate with the least expected delay and risk."""
    return min(candidates, key=lambda c: _cost(c, rng), default=None)


def crowding(load: float, slots: int) -> float:
    """Returns a load in relation to the one that doubles the delay."""
    return load / max(1.0, _DOUBLING_SHARE * slots)


def _cost(candidate: Candidate, rng: random.Random) -> float:
    cost = 1.0 + crowding(candidate.load, candidate.slots)
    cost *= max(_LEAST_PACE, candidate.pace)
    cost *= 1.0 + _FAILURE_WEIGHT * candidate.failure_share
    if not candidate.local:
        cost *= _REMOTE_FACTOR
    if candidate.prefix_rank == 0:
        cost *= _HOME_FACTOR
    elif candidate.prefix_rank == 1:
        cost *= _SECOND_HOME_FACTOR
    return cost * (1.0 + _SPREAD * rng.random())

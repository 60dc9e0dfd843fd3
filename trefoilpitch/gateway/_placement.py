"""Scores candidate upstreams by expected latency and risk.

Load patterns: many daemons see the same outdated load reports and would all
choose the same upstream; a hot prefix would overload a single upstream;
upstreams become slow, or fail a part of their requests while their health
checks pass.
"""

from __future__ import annotations

import dataclasses
import math
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
# Penalty for an upstream that only another daemon can reach.
_RELAYED_FACTOR = 1.3
# Preference for the prefix's home, as it probably has the prefix cached.
_HOME_FACTOR = 0.25
# An upstream can be a home while its utilization is at most this multiple of
# the mean, or at most this fraction of its slots.
_HOME_LOAD_FACTOR = 1.5
_HOME_MIN_UTILIZATION = 1 / 8
# Number of upstreams that are compared for a request, by whether they are in
# this failure domain or reached through another daemon.
_LOCAL_CHOICES = 2
_REMOTE_CHOICES = 2
_RELAYED_CHOICES = 2
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
    # Whether other daemons cannot reach it.
    suspected: bool = False
    # Whether requests for it go through another daemon.
    relayed: bool = False


def choose(
    candidates: Sequence[Candidate],
    rng: random.Random,
    *,
    prefix_share: float = 0.0,
) -> Candidate | None:
    """Returns the candidate with the lowest expected latency and risk.

    Args:
        candidates: The upstreams that may run the request.
        rng: Source of random numbers.
        prefix_share: Fraction of the traffic that has the prompt's prefix.
    """
    # Upstreams that have just crashed look idle and would attract all requests.
    trusted = [candidate for candidate in candidates if not candidate.suspected]
    candidates = trusted or candidates
    home = _home(candidates, rng, prefix_share)
    sample = _sample(candidates, rng)
    if home is not None:
        sample.append(home)
    return min(
        sample, key=lambda c: _cost(c, rng, is_home=c is home), default=None
    )


def _sample(
    candidates: Sequence[Candidate], rng: random.Random
) -> list[Candidate]:
    """Returns a few random candidates, so that not all daemons choose the same.

    Load pattern: an upstream that has just become idle, or looks so in reports
    that are a second old, while requests arrive at hundreds of daemons. Each of
    them would prefer it until the next reports show its load.
    """
    relayed = [c for c in candidates if c.relayed]
    local = [c for c in candidates if c.local and not c.relayed]
    remote = [c for c in candidates if not c.local and not c.relayed]
    return [
        *rng.sample(local, min(_LOCAL_CHOICES, len(local))),
        *rng.sample(remote, min(_REMOTE_CHOICES, len(remote))),
        *rng.sample(relayed, min(_RELAYED_CHOICES, len(relayed))),
    ]


def _home(
    candidates: Sequence[Candidate], rng: random.Random, prefix_share: float
) -> Candidate | None:
    """Returns the upstream that should have the prompt's prefix cached.

    Load pattern: a hot prefix. It has as many homes, the first in its rank, as
    can carry its requests within a bound on their load. With one home, all
    daemons would send to it until their peers' heartbeats show the load.
    """
    slots = sum(candidate.slots for candidate in candidates)
    load = sum(candidate.load for candidate in candidates)
    bound = max(_HOME_MIN_UTILIZATION, _HOME_LOAD_FACTOR * load / max(1, slots))
    homes = sorted(
        (
            candidate
            for candidate in candidates
            if candidate.prefix_rank is not None
            and candidate.load <= bound * candidate.slots
        ),
        key=lambda candidate: candidate.prefix_rank or 0,
    )
    if not homes:
        return None
    mean_slots = slots / len(candidates)
    needed = math.ceil(prefix_share * load / (bound * mean_slots))
    homes = homes[: max(1, needed)]
    # Two choices, as the loads are outdated.
    return min(rng.choices(homes, k=2), key=lambda c: c.load / c.slots)


def saturation(load: float, slots: int) -> float:
    """Returns the load relative to the one that doubles the latency."""
    return load / max(1.0, _LATENCY_DOUBLING_UTILIZATION * slots)


def _cost(candidate: Candidate, rng: random.Random, *, is_home: bool) -> float:
    cost = 1.0 + saturation(candidate.load, candidate.slots)
    cost *= max(_MIN_LATENCY_RATIO, candidate.latency_ratio)
    cost *= 1.0 + _FAILURE_WEIGHT * candidate.failure_rate
    if candidate.relayed:
        cost *= _RELAYED_FACTOR
    elif not candidate.local:
        cost *= _REMOTE_FACTOR
    if is_home:
        cost *= _HOME_FACTOR
    return cost * (1.0 + _JITTER * rng.random())

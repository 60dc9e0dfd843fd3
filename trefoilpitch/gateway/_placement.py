"""Scores candidate upstreams by expected latency and risk.

Load patterns: many daemons see the same outdated load reports and would all
choose the same upstream; a hot prefix would overload a single upstream;
upstreams become slow, or fail a part of their requests while their health
checks pass.
"""

from __future__ import annotations

import dataclasses
import itertools
import math
import random
from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

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
LOCAL_CHOICES = 2
_REMOTE_CHOICES = 2
RELAYED_CHOICES = 2
# Number of all upstreams that are compared if their speeds are known. As all
# daemons know the same speeds, those that are fast draw more requests: with
# four instead of three, three times as many waited there in a replay.
_CHOICES_BY_SPEED = 3
# Utilization of all compared ones of the own failure domain from which on as
# many others are compared as if speeds were unknown.
_CROWDED = 0.75
# Multiple of the reported duration of work from which on the measured latency
# shows that an upstream is slower than it says.
_UNEXPLAINED_RATIO = 3.0
# Pause of a stream, relative to the permitted one, from which on an upstream is
# avoided by long prompts, and the weight of what is beyond.
_NEAR_PAUSE = 0.5
_PAUSE_WEIGHT = 4.0
# Random jitter of the scores, against herd behaviour of the daemons.
_JITTER = 0.1
# Variance of the number of requests that are found at an upstream, relative to
# the expected number: more than that of independent requests, as many daemons
# prefer the same upstreams between two heartbeats.
_LOAD_VARIANCE = 4.0

_T = TypeVar("_T")


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
    # Work left there, in requests of the mean remaining work; None if the
    # costs of requests are unknown, so that their number counts.
    work_load: float | None = None
    # How long work takes there, relative to the usual time; None if it does
    # not report that, so that the latency ratio counts.
    duration: float | None = None
    # By how much longer requests take if all of its slots are in use; None
    # together with `work_load`.
    slowdown: float | None = None
    # Longest recent pause of a stream there, relative to the permitted one.
    pause: float = 0.0

    @property
    def effective_load(self) -> float:
        """Work left there, in requests."""
        return self.load if self.work_load is None else self.work_load


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HomeTerms:
    """Which upstreams should have the prompt's prefix cached."""

    # Utilization up to which an upstream can be a home.
    bound: float
    # Number of homes, the first in rank within the bound.
    needed: int


def choose(
    candidates: Sequence[Candidate],
    rng: random.Random,
    *,
    prefix_share: float = 0.0,
    relative_cost: float = 1.0,
) -> Candidate | None:
    """Returns the candidate with the lowest expected latency and risk.

    Args:
        candidates: The upstreams that may run the request.
        rng: Source of random numbers.
        prefix_share: Fraction of the traffic that has the prompt's prefix.
        relative_cost: Cost of the request, relative to the mean.
    """
    # Upstreams that have just crashed look idle and would attract all requests.
    trusted = [candidate for candidate in candidates if not candidate.suspected]
    candidates = trusted or candidates
    homes: list[Candidate] = []
    if any(candidate.prefix_rank is not None for candidate in candidates):
        terms = home_terms(
            load=sum(candidate.effective_load for candidate in candidates),
            slots=sum(candidate.slots for candidate in candidates),
            upstreams=len(candidates),
            prefix_share=prefix_share,
        )
        ranked = (c for c in candidates if c.prefix_rank is not None)
        by_rank = sorted(ranked, key=lambda c: c.prefix_rank or 0)
        homes = find_homes(by_rank, terms)
    return choose_from(
        _sample(candidates, rng), homes, rng, relative_cost=relative_cost
    )


def choose_from(
    sample: Sequence[Candidate],
    homes: Sequence[Candidate],
    rng: random.Random,
    *,
    relative_cost: float = 1.0,
    home_saving: float = 0.0,
    reads_long: bool = False,
) -> Candidate | None:
    """Returns the best of a sample and of one of the prefix's homes.

    Args:
        sample: Candidates drawn at random; see `draw`.
        homes: The homes of the prompt's prefix; see `find_homes`.
        rng: Source of random numbers.
        relative_cost: Cost of the request, relative to the mean.
        home_saving: What of it is saved at a home; only used where costs are
            known.
        reads_long: Whether the prompt delays the streams beside it.
    """
    home = None
    if homes:
        # Two choices, as the loads are outdated.
        home = min(
            rng.choices(homes, k=2),
            key=lambda c: c.effective_load / max(1, c.slots),
        )
    compared = [*sample, home] if home is not None else sample

    def expected(candidate: Candidate) -> float:
        is_home = candidate is home
        own = relative_cost - home_saving if is_home else relative_cost
        cost = _cost(candidate, rng, own, is_home=is_home)
        if reads_long:
            cost *= 1.0 + _PAUSE_WEIGHT * max(
                0.0, candidate.pause - _NEAR_PAUSE
            )
        return cost

    return min(compared, key=expected, default=None)


def remote_choices(local: Sequence[Candidate], *, costs_known: bool) -> int:
    """Returns how many upstreams of other failure domains are compared.

    Args:
        local: The candidates that were drawn in the own one.
        costs_known: Whether the speeds of upstreams and costs are known.
    """
    if not costs_known:
        return _REMOTE_CHOICES
    crowded = all(c.load > _CROWDED * c.slots for c in local)
    return max(
        _REMOTE_CHOICES if crowded else 1, _CHOICES_BY_SPEED - len(local)
    )


def draw(
    entries: Sequence[_T],
    count: int,
    inspect: Callable[[_T], Candidate | None],
    rng: random.Random,
) -> list[Candidate]:
    """Returns random candidates, so that not all daemons choose the same.

    Load pattern: an upstream that has just become idle, or looks so in reports
    that are a second old, while requests arrive at hundreds of daemons. Each of
    them would prefer it until the next reports show its load. Only the entries
    that are drawn are inspected, as a choice must not cost time for each of
    dozens of upstreams.

    Args:
        entries: The upstreams.
        count: Maximum number of candidates.
        inspect: Returns the candidate of an upstream; None if it may not run
            the request.
        rng: Source of random numbers.
    """
    drawn: list[Candidate] = []
    left = list(entries)
    while left and len(drawn) < count:
        index = rng.randrange(len(left))
        left[index], left[-1] = left[-1], left[index]
        candidate = inspect(left.pop())
        if candidate is not None:
            drawn.append(candidate)
    return drawn


def home_terms(
    *, load: float, slots: int, upstreams: int, prefix_share: float
) -> HomeTerms:
    """Returns which upstreams can be homes of a prefix.

    Load pattern: a hot prefix. It has as many homes, the first in its rank, as
    can carry its requests within a bound on their work. With one home, all
    daemons would send to it until their peers' heartbeats show the load.

    Args:
        load: Work left at all upstreams, in requests.
        slots: Sum of their slots.
        upstreams: Their number.
        prefix_share: Fraction of the traffic that has the prefix.
    """
    bound = max(_HOME_MIN_UTILIZATION, _HOME_LOAD_FACTOR * load / max(1, slots))
    mean_slots = slots / max(1, upstreams)
    needed = math.ceil(prefix_share * load / max(1.0, bound * mean_slots))
    return HomeTerms(bound=bound, needed=max(1, needed))


def find_homes(
    by_rank: Iterable[Candidate], terms: HomeTerms
) -> list[Candidate]:
    """Returns the homes of a prefix.

    Args:
        by_rank: Candidates by their rank for the prefix; not read further than
            necessary.
        terms: Which of them can be homes.
    """
    within_bound = (
        candidate
        for candidate in by_rank
        if candidate.effective_load <= terms.bound * candidate.slots
    )
    return list(itertools.islice(within_bound, terms.needed))


def saturation(load: float, slots: int) -> float:
    """Returns the load relative to the one that doubles the latency."""
    return load / max(1.0, _LATENCY_DOUBLING_UTILIZATION * slots)


def _sample(
    candidates: Sequence[Candidate], rng: random.Random
) -> list[Candidate]:
    relayed = [c for c in candidates if c.relayed]
    local = [c for c in candidates if c.local and not c.relayed]
    remote = [c for c in candidates if not c.local and not c.relayed]
    return [
        *rng.sample(local, min(LOCAL_CHOICES, len(local))),
        *rng.sample(remote, min(_REMOTE_CHOICES, len(remote))),
        *rng.sample(relayed, min(RELAYED_CHOICES, len(relayed))),
    ]


def _cost(
    candidate: Candidate,
    rng: random.Random,
    relative_cost: float,
    *,
    is_home: bool,
) -> float:
    """Returns the expected time to the end of the request, with its risks."""
    cost = _finish_time(candidate, relative_cost) * _time_factor(candidate)
    cost *= 1.0 + _FAILURE_WEIGHT * candidate.failure_rate
    if candidate.relayed:
        cost *= _RELAYED_FACTOR
    elif not candidate.local:
        cost *= _REMOTE_FACTOR
    if is_home and candidate.slowdown is None:
        cost *= _HOME_FACTOR
    return cost * (1.0 + _JITTER * rng.random())


def _finish_time(candidate: Candidate, relative_cost: float) -> float:
    """Returns the expected time at the usual speed, in requests of mean cost.

    A request waits for a slot as long as those before it have work left; a
    large one occupies no more slots than a small one. The number of requests is
    known as of heartbeats that are a second old, and taken as spread like a
    count of independent requests, so that there is some wait to expect before
    all slots are in use.
    """
    load, slots = candidate.load, candidate.slots
    if candidate.slowdown is None:
        return 1.0 + saturation(candidate.effective_load, slots)
    spread = math.sqrt(_LOAD_VARIANCE * max(1.0, load))
    excess = load + 1.0 - slots
    ratio = excess / spread
    queued = excess * 0.5 * (1.0 + math.erf(ratio / math.sqrt(2.0)))
    queued += spread * math.exp(-ratio * ratio / 2.0) / math.sqrt(math.tau)
    utilization = min(1.0, load / max(1, slots))
    own = relative_cost * (1.0 + candidate.slowdown * utilization)
    mean_left = candidate.effective_load / max(1, load)
    return own + queued * mean_left * (1.0 + candidate.slowdown) / max(1, slots)


def _time_factor(candidate: Candidate) -> float:
    ratio = candidate.latency_ratio
    duration = candidate.duration
    if duration is not None and ratio < _UNEXPLAINED_RATIO * duration:
        # The measured latency also depends on the load, which counts anyway.
        ratio = duration
    return max(_MIN_LATENCY_RATIO, ratio)

"""Predicts how long a request waits for an upstream, and decides on waiting.

Load pattern: more requests arrive than the upstreams can run, in waves of 11 to
15 s, in bursts, or as upstreams are lost. A request that will not get a place
before its deadline is refused at once, while its caller can still come back;
less urgent ones reach that point first, as the more urgent overtake them.
"""

from __future__ import annotations

import dataclasses
import math
import random

from trefoilpitch.gateway._refusals import RETRY_SOON_MS
from trefoilpitch.gateway._service_load import ServiceLoad
from trefoilpitch.gateway._waiting import WaitTerms

# Part of the places that requests which others overtake get at least: the rates
# are measured, and a burst of urgent requests ends.
_MIN_SHARE = 0.1
# Part of the time until it is late in which a request is not overtaken: more
# urgent ones that arrive meanwhile have time left, and yield to it.
_KEPT_SHARE = 0.8
# Age above which a description of the load is ignored.
_MAX_AGE_MS = 1_000
# Part of its time that a request may be expected to wait after another of its
# kind was refused, so that refusals do not begin and end with each place.
_SHEDDING_SHARE = 0.7
_TOLERANCE_GROWTH_PER_S = 0.3
# Callers come back after at most a third of the time that they have left. The
# spread is above the lower share and ends below that third.
_RETURN_SHARE = 0.2
_RETURN_SPREAD = 0.5
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Forecast:
    """When a request is expected to get a place."""

    # Time until then, and its standard deviation.
    wait_ms: float
    spread_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Capacity is free: it gets a place as soon as an upstream is found."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """It waits for its place."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """It will not get a place before its deadline."""

    # Time after which its caller should come back.
    retry_after_ms: int


class Tolerance:
    """Which part of their time requests of one kind may be expected to wait.

    It falls when one is refused, and grows back slowly compared with the time
    between requests.
    """

    def __init__(self) -> None:
        self._refused_ms: int | None = None

    def share(self, now_ms: int) -> float:
        """Returns the part of their time."""
        if self._refused_ms is None:
            return 1.0
        elapsed_ms = now_ms - self._refused_ms
        growth = _TOLERANCE_GROWTH_PER_S * elapsed_ms / _MS_PER_S
        return min(1.0, _SHEDDING_SHARE + growth)

    def record_refused(self, now_ms: int) -> None:
        """Records that a request was refused."""
        self._refused_ms = now_ms


def forecast(
    load: ServiceLoad, terms: WaitTerms, *, ahead: int, now_ms: int
) -> Forecast | None:
    """Predicts the wait of a request.

    Args:
        load: The load of its service.
        terms: The terms of the request.
        ahead: Waiting requests that get their places before it.
        now_ms: The monotonic time.

    Returns:
        The forecast; None if the load is unknown or its description too old.
    """
    if now_ms - load.measured_ms > _MAX_AGE_MS or load.places_per_s <= 0:
        return None
    until_late_ms = max(0, terms.latest_begin_ms - now_ms)
    wait_ms = _wait_ms(load, terms, ahead, until_late_ms, late=False)
    if wait_ms > until_late_ms:
        # Those of its kind that can be in time will overtake it.
        wait_ms = _wait_ms(load, terms, ahead, until_late_ms, late=True)
    return Forecast(wait_ms=wait_ms, spread_ms=wait_ms / math.sqrt(ahead + 1))


def _wait_ms(
    load: ServiceLoad,
    terms: WaitTerms,
    ahead: int,
    until_late_ms: int,
    *,
    late: bool,
) -> float:
    overtaking_per_s = sum(
        per_s
        for priority, per_s in load.arrivals_per_s.items()
        if terms.excess
        or priority < terms.priority
        or (late and priority == terms.priority)
    )
    places_per_s = load.places_per_s
    kept_ms = 0.0 if terms.excess else _KEPT_SHARE * until_late_ms
    wait_ms = _MS_PER_S * (ahead + 1) / places_per_s
    if wait_ms <= kept_ms:
        return wait_ms
    left = ahead + 1 - places_per_s * kept_ms / _MS_PER_S
    per_s = max(places_per_s - overtaking_per_s, _MIN_SHARE * places_per_s)
    return kept_ms + _MS_PER_S * left / per_s


def decide(
    load: ServiceLoad,
    expected: Forecast | None,
    terms: WaitTerms,
    rng: random.Random,
    *,
    now_ms: int,
    tolerance: float = 1.0,
) -> Admit | Wait | Refuse:
    """Decides whether a request without a place waits for one.

    Args:
        load: The load of its service.
        expected: The forecast of its wait; None if there is none.
        terms: The terms of the request.
        rng: Spreads the times at which callers come back.
        now_ms: The monotonic time.
        tolerance: Part of its time that it may be expected to wait.
    """
    if load.is_half_free:
        return Admit()
    if not terms.may_be_refused or expected is None:
        return Wait()
    left_ms = terms.until_ms - now_ms
    if expected.wait_ms <= tolerance * left_ms:
        return Wait()
    return Refuse(retry_after_ms(expected.wait_ms, left_ms, rng))


def retry_after_ms(wait_ms: float, left_ms: int, rng: random.Random) -> int:
    """Returns after which time a refused caller should come back.

    Args:
        wait_ms: The time until it is expected to be served.
        left_ms: Time that it has left.
        rng: Spreads the callers' returns.
    """
    base_ms = max(RETRY_SOON_MS, min(wait_ms, _RETURN_SHARE * left_ms))
    return round(base_ms * (1.0 + _RETURN_SPREAD * rng.random()))

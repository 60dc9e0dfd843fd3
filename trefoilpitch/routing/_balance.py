"""Load balancing between the eligible upstreams of a target."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Collection, Mapping, Sequence

from returns.result import Failure, Result, Success

from trefoilpitch.bundle import Upstream
from trefoilpitch.routing._exceptions import (
    NoEligibleUpstreamError,
    RoutingError,
    UpstreamsFullError,
)
from trefoilpitch.routing._nodes import Target, UpstreamState
from trefoilpitch.routing._table import RoutingTable
from trefoilpitch.routing._upstreams import eligible_upstreams


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BalanceSettings:
    """Trade-offs between load, cache affinity and locality."""

    # A cache holder is preferred up to this multiple of the mean utilisation.
    affinity_factor: float = 1.25
    # A cache holder at or below this utilisation is always preferred.
    affinity_floor: float = 0.5
    # The local failure domain is preferred while its mean utilisation exceeds
    # that of all candidates by no more than this.
    locality_slack: float = 0.1
    # Age from which a load report is ignored, in milliseconds.
    report_expiry_ms: int = 5_000


DEFAULT_SETTINGS = BalanceSettings()


def utilisation(
    upstream: Upstream,
    state: UpstreamState,
    settings: BalanceSettings = DEFAULT_SETTINGS,
) -> float:
    """Estimates the share of an upstream's capacity that is in use.

    A load report counts the requests of every node but is delayed, so the
    change of this node's in-flight requests since the report is added.
    Without a usable report only this node's in-flight requests count.
    """
    report = state.report
    if report is None or report.age_ms >= settings.report_expiry_ms:
        return state.in_flight / max(upstream.capacity, 1)
    load = report.running + report.waiting + state.in_flight_change
    load = max(load, state.in_flight)
    return load / max(report.capacity, 1)


def choose_upstream(
    table: RoutingTable,
    target: Target,
    states: Mapping[str, UpstreamState],
    rng: random.Random,
    *,
    local_domain: str | None = None,
    cache_holders: Collection[str] = (),
    excluded: Collection[str] = (),
    settings: BalanceSettings = DEFAULT_SETTINGS,
) -> Result[Upstream, RoutingError]:
    """Chooses the upstream that runs a request.

    Prefers an upstream that has the prompt's prefix cached, unless it is
    overloaded; otherwise picks the less utilised of two random candidates,
    from the local failure domain unless that is overloaded.

    Args:
        table: Routing table of the newest configuration.
        target: The model version or service operation to run.
        states: The upstreams that this node follows, by name.
        rng: Source of random numbers.
        local_domain: The failure domain to prefer.
        cache_holders: Upstreams that probably have the prompt's prefix cached.
        excluded: Upstreams on which an earlier attempt of the request failed;
            used only when there is no other.
        settings: Trade-offs between load, cache affinity and locality.

    Returns:
        The upstream, or why there is none: no eligible upstream, or none
        of them with a free slot.
    """
    eligible = eligible_upstreams(table, target, states)
    if not eligible:
        return Failure(NoEligibleUpstreamError(str(target)))
    available = [up for up in eligible if states[up.name].has_free_slot]
    if not available:
        return Failure(UpstreamsFullError(str(target)))
    preferred = [up for up in available if up.name not in excluded]
    candidates = preferred or available
    loads = {
        up.name: utilisation(up, states[up.name], settings) for up in candidates
    }
    # Cache affinity is skipped while a candidate is cold. A cold upstream has
    # no prefix cached, so with affinity it would get no requests and never
    # warm up, although this node has credits for it.
    has_cold_candidate = any(states[up.name].cold for up in candidates)
    holder = _cache_holder(candidates, loads, cache_holders, settings)
    if holder is not None and not has_cold_candidate:
        return Success(holder)
    nearby = _local_candidates(candidates, loads, local_domain, settings)
    return Success(_less_loaded_of_two(nearby, loads, rng))


def _cache_holder(
    candidates: Sequence[Upstream],
    loads: Mapping[str, float],
    holders: Collection[str],
    settings: BalanceSettings,
) -> Upstream | None:
    if not holders:
        return None
    mean = sum(loads.values()) / len(loads)
    bound = max(settings.affinity_factor * mean, settings.affinity_floor)
    cached = [up for up in candidates if up.name in holders]
    within = [up for up in cached if loads[up.name] <= bound]
    return min(within, key=lambda up: loads[up.name], default=None)


def _local_candidates(
    candidates: Sequence[Upstream],
    loads: Mapping[str, float],
    local_domain: str | None,
    settings: BalanceSettings,
) -> Sequence[Upstream]:
    local = [up for up in candidates if up.failure_domain == local_domain]
    if not local:
        return candidates
    local_mean = sum(loads[up.name] for up in local) / len(local)
    mean = sum(loads.values()) / len(loads)
    if local_mean > mean + settings.locality_slack:
        return candidates
    return local


def _less_loaded_of_two(
    candidates: Sequence[Upstream],
    loads: Mapping[str, float],
    rng: random.Random,
) -> Upstream:
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    return first if loads[first.name] <= loads[second.name] else second

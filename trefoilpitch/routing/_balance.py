"""Choice of an upstream among those that are eligible."""

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
    """How load, cache affinity and locality are traded."""

    # Share of the mean utilisation that a cache holder may exceed.
    affinity_factor: float = 1.25
    # Utilisation that a cache holder may always have.
    affinity_floor: float = 0.5
    # Utilisation by which the local failure domain may exceed the mean.
    locality_slack: float = 0.1
    # Age from which a load report is not used, in milliseconds.
    report_expiry_ms: int = 5_000


DEFAULT_SETTINGS = BalanceSettings()


def utilisation(
    upstream: Upstream,
    state: UpstreamState,
    settings: BalanceSettings = DEFAULT_SETTINGS,
) -> float:
    """Estimates the share of an upstream's capacity that is in use.

    A report counts the requests of every node but lags; the change of this
    node's own requests since then is added. Without a usable report only the
    node's own requests count.
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

    Args:
        table: The newest configuration.
        target: What the request runs on.
        states: The upstreams that this node follows, by name.
        rng: Source of random numbers.
        local_domain: The failure domain to prefer.
        cache_holders: Upstreams believed to hold the prompt's prefix.
        excluded: Upstreams that an earlier try of the request failed on;
            used only when there is no other.
        settings: The trade-offs.

    Returns:
        The upstream, or why there is none: none in service, or none with
        room.
    """
    eligible = eligible_upstreams(table, target, states)
    if not eligible:
        return Failure(NoEligibleUpstreamError(str(target)))
    open_now = [up for up in eligible if states[up.name].has_room]
    if not open_now:
        return Failure(UpstreamsFullError(str(target)))
    preferred = [up for up in open_now if up.name not in excluded]
    candidates = preferred or open_now
    loads = {
        up.name: utilisation(up, states[up.name], settings) for up in candidates
    }
    # A cold upstream holds no prefix and would never get work: it would stay
    # cold, though this node has a credit for it.
    is_warming = any(states[up.name].cold for up in candidates)
    holder = _cache_holder(candidates, loads, cache_holders, settings)
    if holder is not None and not is_warming:
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
    warm = [up for up in candidates if up.name in holders]
    within = [up for up in warm if loads[up.name] <= bound]
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

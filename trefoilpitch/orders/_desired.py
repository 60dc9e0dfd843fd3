"""Derives each engine's target versions from the configuration."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from trefoilpitch.bundle import (
    VERSION_SEPARATOR,
    Bundle,
    Pool,
    Upstream,
    UpstreamKind,
    VersionRef,
)
from trefoilpitch.configuration import Configuration, RolloutPhase
from trefoilpitch.orders._scope import EngineScope


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineTarget:
    """The versions that one engine should serve."""

    # The engine.
    upstream: Upstream
    # Versions to serve, in the order in which to load them.
    versions: tuple[VersionRef, ...]
    # Versions of roll-outs that have not started: neither loaded nor unloaded.
    tolerated: frozenset[VersionRef] = frozenset()


def desired_targets(
    configuration: Configuration, scope: EngineScope | None = None
) -> Mapping[str, EngineTarget]:
    """Returns the targets by engine name.

    Engines that are out of service, by VM or by failure domain, have no target
    and get no orders. The others serve their pools' versions except withdrawn
    ones. Versions of roll-outs that have not started are not loaded, but are
    not unloaded either. A rolled-back version stays loaded, since its sessions
    keep using it until it is withdrawn.

    Args:
        configuration: The current configuration.
        scope: The engines to return targets for; every engine if absent.
    """
    bundle = configuration.bundle
    if bundle is None:
        return {}
    not_started = _versions_not_started(bundle, configuration)
    urgent = _rolling_out(configuration)
    targets: dict[str, EngineTarget] = {}
    for pool in bundle.pools:
        if pool.kind is not UpstreamKind.ENGINE:
            continue
        served = _served_versions(pool, configuration)
        for upstream in pool.upstreams:
            is_covered = scope is None or scope.covers(upstream)
            if is_covered and _is_in_service(upstream, configuration):
                earlier = targets.get(upstream.name)
                targets[upstream.name] = _merge_targets(
                    upstream, earlier, served, not_started, urgent
                )
    return targets


def _served_versions(
    pool: Pool, configuration: Configuration
) -> list[VersionRef]:
    served = [_parse(text) for text in pool.serves]
    return [one for one in served if one not in configuration.withdrawn]


def _merge_targets(
    upstream: Upstream,
    earlier: EngineTarget | None,
    served: list[VersionRef],
    not_started: frozenset[VersionRef],
    urgent: frozenset[VersionRef],
) -> EngineTarget:
    """Merges a pool's versions into the target from the engine's other pools.

    Within the pool, versions of running roll-outs are loaded first.
    """
    tolerated = not_started.intersection(served)
    wanted = [one for one in served if one not in not_started]
    wanted.sort(key=lambda version: version not in urgent)
    if earlier is not None:
        tolerated |= earlier.tolerated
        wanted = [*earlier.versions, *wanted]
    return EngineTarget(
        upstream=upstream,
        versions=tuple(dict.fromkeys(wanted)),
        tolerated=tolerated,
    )


def _parse(text: str) -> VersionRef:
    model, _, version = text.rpartition(VERSION_SEPARATOR)
    return VersionRef(model, version)


def _versions_not_started(
    bundle: Bundle, configuration: Configuration
) -> frozenset[VersionRef]:
    planned = {
        VersionRef(plan.model, plan.to_version) for plan in bundle.rollouts
    }
    begun = {
        VersionRef(rollout.model, rollout.to_version)
        for rollout in configuration.rollouts
    }
    defaults = {
        VersionRef(model.name, model.default_version) for model in bundle.models
    }
    return frozenset(planned - begun - defaults)


def _rolling_out(configuration: Configuration) -> frozenset[VersionRef]:
    return frozenset(
        VersionRef(rollout.model, rollout.to_version)
        for rollout in configuration.rollouts
        if rollout.phase is RolloutPhase.RUNNING
    )


def _is_in_service(upstream: Upstream, configuration: Configuration) -> bool:
    return (
        upstream.name not in configuration.vms_out
        and upstream.failure_domain not in configuration.failure_domains_out
    )

"""Derives what each engine should serve from the configuration."""

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
    """What one engine should serve."""

    # The engine.
    upstream: Upstream
    # The versions, the most urgent to load first.
    versions: tuple[VersionRef, ...]
    # Versions that it may have besides, of roll-outs that have not begun.
    tolerated: frozenset[VersionRef] = frozenset()


def desired_targets(
    configuration: Configuration, scope: EngineScope | None = None
) -> Mapping[str, EngineTarget]:
    """Returns the targets by engine; engines taken out get no orders.

    An engine serves its pool's versions except withdrawn ones. Those of
    roll-outs that have not begun are not loaded, but stay where they are. A
    version that was rolled back stays: its sessions keep it until it is
    withdrawn.

    Args:
        configuration: The configuration in force.
        scope: The engines to give targets for; every engine if absent.
    """
    bundle = configuration.bundle
    if bundle is None:
        return {}
    not_begun = _not_begun(bundle, configuration)
    urgent = _rolling_out(configuration)
    targets: dict[str, EngineTarget] = {}
    for pool in bundle.pools:
        if pool.kind is not UpstreamKind.ENGINE:
            continue
        served = _served(pool, configuration)
        for upstream in pool.upstreams:
            is_covered = scope is None or scope.covers(upstream)
            if is_covered and _is_in_service(upstream, configuration):
                earlier = targets.get(upstream.name)
                targets[upstream.name] = _merged(
                    upstream, earlier, served, not_begun, urgent
                )
    return targets


def _served(pool: Pool, configuration: Configuration) -> list[VersionRef]:
    served = [_parse(text) for text in pool.serves]
    return [one for one in served if one not in configuration.withdrawn]


def _merged(
    upstream: Upstream,
    earlier: EngineTarget | None,
    served: list[VersionRef],
    not_begun: frozenset[VersionRef],
    urgent: frozenset[VersionRef],
) -> EngineTarget:
    """Unites the versions of all pools that the engine is a member of."""
    tolerated = not_begun.intersection(served)
    wanted = [one for one in served if one not in not_begun]
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


def _not_begun(
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

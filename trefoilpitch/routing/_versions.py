"""Choice of the model versions that a request runs on."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import xxhash
from returns.result import Failure, Result, Success

from trefoilpitch.bundle import Model, VersionRef, Workspace
from trefoilpitch.configuration import RolloutPhase
from trefoilpitch.routing._exceptions import (
    NoEligibleVersionError,
    PinnedVersionWithdrawnError,
    RoutingError,
    TargetNotAllowedError,
)
from trefoilpitch.routing._nodes import UpstreamState
from trefoilpitch.routing._table import RoutingTable

_HASH_RANGE = 2**64
_NO_FACTORS: Mapping[VersionRef, float] = {}


def eligible_versions(
    table: RoutingTable, workspace: str, task: str
) -> tuple[VersionRef, ...]:
    """Returns every version that the workspace may use for the task.

    Withdrawn versions and those that the workspace may not use are omitted.

    Returns:
        The versions in the order of the task's cascade, each model's oldest
        first; empty when the workspace may not use the task at all.
    """
    definition = table.workspaces.get(workspace)
    if (
        definition is None
        or task not in definition.tasks
        or task not in table.tasks
    ):
        return ()
    usable = table.usable_versions[workspace]
    return tuple(
        VersionRef(model, version.name)
        for model in table.tasks[task].cascade
        if model in table.models
        for version in table.models[model].versions
        if VersionRef(model, version.name) in usable
    )


def choose_versions(
    table: RoutingTable,
    workspace: str,
    task: str,
    *,
    key: str,
    pins: tuple[VersionRef, ...] = (),
    weight_factors: Mapping[VersionRef, float] = _NO_FACTORS,
) -> Result[tuple[VersionRef, ...], RoutingError]:
    """Chooses one version of each model of the task's cascade.

    A model that the session is pinned to keeps its version. For any other
    model, the version being rolled out gets its share of the keys and the
    model's default version gets the rest.

    Args:
        table: Routing table of the newest configuration.
        workspace: The workspace that sent the request.
        task: The task that it requested.
        key: The session's key, or the request's when there is no session;
            equal keys get equal versions at equal weights.
        pins: Versions that the session is pinned to, at most one per model.
        weight_factors: Multipliers for the roll-out weight of a version, from
            0 to 1; a local circuit breaker reduces a version's share with
            them.

    Returns:
        The candidates in the order of the cascade, or why there is none.
    """
    definition = table.workspaces.get(workspace)
    if (
        definition is None
        or task not in definition.tasks
        or task not in table.tasks
    ):
        return Failure(TargetNotAllowedError(workspace, task))
    pinned = {pin.model: pin for pin in pins}
    chosen = []
    for name in table.tasks[task].cascade:
        pin = pinned.get(name)
        if pin is not None:
            if pin not in table.usable_versions[workspace]:
                return Failure(PinnedVersionWithdrawnError(pin))
            chosen.append(pin)
            continue
        model = table.models.get(name)
        if model is None:
            continue
        version = _choose_version(table, definition, model, key, weight_factors)
        if version is not None:
            chosen.append(version)
    if not chosen:
        return Failure(NoEligibleVersionError(workspace, task))
    return Success(tuple(chosen))


def rollout_weight(table: RoutingTable, model: str) -> float:
    """Returns the share of new sessions that get the version rolled out.

    A paused roll-out keeps the share of its step; pausing only stops it from
    advancing.

    Returns:
        From 0 to 1; 0 when the model has no roll-out.
    """
    entry = table.rollouts.get(model)
    if entry is None:
        return 0.0
    plan, state = entry
    if state.phase is RolloutPhase.ROLLED_BACK:
        return 0.0
    if state.phase is RolloutPhase.COMPLETED:
        return 1.0
    step = min(max(state.step, 0), len(plan.steps_percent) - 1)
    return plan.steps_percent[step] / 100


def readiness_factors(
    table: RoutingTable, states: Mapping[str, UpstreamState]
) -> Mapping[VersionRef, float]:
    """Limits the share of each roll-out to the engines that are ready for it.

    The new version's share of new sessions is at most the share of engines
    that have loaded it, so that the first engines to load it are not
    overloaded. A completed roll-out is limited only while no engine has
    loaded its version.

    Args:
        table: Routing table of the newest configuration.
        states: The upstreams that this node follows, by name.

    Returns:
        Weight factors for `choose_versions`; versions that need no limit are
        absent.
    """
    factors = {}
    for model, (_, rollout) in table.rollouts.items():
        version = VersionRef(model, rollout.to_version)
        weight = rollout_weight(table, model)
        loaded = _loaded_share(table, version, states)
        if rollout.phase is RolloutPhase.COMPLETED and loaded > 0:
            continue
        if loaded < weight:
            factors[version] = loaded / weight
    return factors


def _loaded_share(
    table: RoutingTable,
    version: VersionRef,
    states: Mapping[str, UpstreamState],
) -> float:
    members = [
        states[upstream.name]
        for pool in table.pools_by_target.get(version, ())
        for upstream in table.pool_members.get(pool, ())
        if upstream.name in states
    ]
    if not members:
        return 1.0
    return sum(state.serves(version) for state in members) / len(members)


def _choose_version(
    table: RoutingTable,
    workspace: Workspace,
    model: Model,
    key: str,
    weight_factors: Mapping[VersionRef, float],
) -> VersionRef | None:
    usable = table.usable_versions[workspace.name]
    target = _rollout_target(table, model)
    if target in usable:
        weight = rollout_weight(table, model.name)
        weight *= weight_factors.get(target, 1.0)
        if _unit_hash(f"{target}\0{key}") < weight:
            return target
    for version in _fallback_order(table, workspace, model):
        if version in usable:
            return version
    return None


def _rollout_target(table: RoutingTable, model: Model) -> VersionRef:
    entry = table.rollouts.get(model.name)
    if entry is None:
        return VersionRef(model.name, model.default_version)
    return VersionRef(model.name, entry[1].to_version)


def _fallback_order(
    table: RoutingTable, workspace: Workspace, model: Model
) -> Iterator[VersionRef]:
    """Yields the default version, then older ones, then newer ones.

    Versions newer than the default are only used in a roll-out, unless the
    workspace lists them by name.
    """
    refs = [VersionRef(model.name, version.name) for version in model.versions]
    default = VersionRef(model.name, model.default_version)
    default_index = refs.index(default) if default in refs else len(refs)
    yield default
    yield from reversed(refs[:default_index])
    for ref in refs[default_index + 1 :]:
        if str(ref) in workspace.allowed and not _is_rolled_back(table, ref):
            yield ref


def _is_rolled_back(table: RoutingTable, version: VersionRef) -> bool:
    entry = table.rollouts.get(version.model)
    if entry is None or entry[1].to_version != version.version:
        return False
    return entry[1].phase is RolloutPhase.ROLLED_BACK


def _unit_hash(text: str) -> float:
    """Hashes a text to a number from 0 to below 1."""
    return xxhash.xxh64_intdigest(text.encode()) / _HASH_RANGE

"""Decides the next order for one engine from its status."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from trefoilpitch.bundle import VersionRef
from trefoilpitch.orders._types import EngineStatus


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """The next order for one engine."""

    # The whole set of versions that the order contains.
    versions: frozenset[VersionRef]
    # The version among them that is loaded by the order, if any.
    load: VersionRef | None
    # Whether a load is deferred because of the limits on concurrent loads and
    # their rate.
    is_deferred: bool


def next_plan(
    *,
    status: EngineStatus,
    wanted: tuple[VersionRef, ...],
    tolerated: frozenset[VersionRef] = frozenset(),
    unwanted_since_ms: Mapping[VersionRef, int],
    may_load: bool,
    unload_before_ms: int,
) -> Plan:
    """Returns the next step from a status towards the wanted versions.

    At most one version is loaded per step.

    Args:
        status: The engine's current status.
        wanted: Versions to serve, in the order in which to load them.
        tolerated: Versions that are neither loaded nor unloaded.
        unwanted_since_ms: When each unwanted version that the engine has was
            first observed as such.
        may_load: Whether the load limits allow one more load.
        unload_before_ms: Versions unwanted since this time or earlier are
            unloaded unless they are busy.
    """
    missing = [version for version in wanted if version not in status.present]
    load = missing[0] if missing and may_load else None
    retained = {
        version
        for version in status.loaded
        if version in wanted
        or version in tolerated
        or version in status.busy
        or unwanted_since_ms[version] > unload_before_ms
    }
    loading = {
        version
        for version in status.loading
        if version in wanted or version in tolerated
    }
    added = set() if load is None else {load}
    return Plan(
        versions=frozenset(retained | loading | added),
        load=load,
        is_deferred=bool(missing) and not may_load,
    )


def update_unwanted_since(
    *,
    present: frozenset[VersionRef],
    wanted: frozenset[VersionRef],
    previous: Mapping[VersionRef, int],
    now_ms: int,
) -> Mapping[VersionRef, int]:
    """Returns when each present version was first observed to be unwanted.

    Args:
        present: Versions that the engine has or is loading.
        wanted: Versions that it should or may have.
        previous: The result for the status before.
        now_ms: Monotonic time.
    """
    return {
        version: previous.get(version, now_ms)
        for version in present
        if version not in wanted
    }

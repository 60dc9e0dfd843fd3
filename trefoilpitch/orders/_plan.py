"""Decides the next order for one engine from its status."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from trefoilpitch.bundle import VersionRef
from trefoilpitch.orders._types import EngineStatus


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """What one engine should be told next."""

    # The versions to serve after the next order.
    versions: frozenset[VersionRef]
    # The version to load with it, if any.
    load: VersionRef | None
    # Whether a load is put off until the weight store's share allows it.
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

    Args:
        status: What the engine serves now.
        wanted: What it should serve, the most urgent to load first.
        tolerated: What it may have besides.
        unwanted_since_ms: When versions it has were first seen unwanted.
        may_load: Whether the weight store's share allows one more load.
        unload_before_ms: Versions unwanted since then or earlier go, unless
            they are busy.
    """
    missing = [version for version in wanted if version not in status.present]
    load = missing[0] if missing and may_load else None
    kept = {
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
        versions=frozenset(kept | loading | added),
        load=load,
        is_deferred=bool(missing) and not may_load,
    )


def unwanted_since(
    *,
    present: frozenset[VersionRef],
    wanted: frozenset[VersionRef],
    before: Mapping[VersionRef, int],
    now_ms: int,
) -> Mapping[VersionRef, int]:
    """Returns since when each unwanted version has been seen as such."""
    return {
        version: before.get(version, now_ms)
        for version in present
        if version not in wanted
    }

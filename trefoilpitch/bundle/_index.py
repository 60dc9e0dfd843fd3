"""An index of a bundle for look-ups while serving requests."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Protocol, TypeVar

from trefoilpitch.bundle._schema import (
    ANY_VERSION,
    VERSION_SEPARATOR,
    Bundle,
    Model,
    ModelVersion,
    Operation,
    Pool,
    RolloutPlan,
    Service,
    Task,
    Upstream,
    VersionRef,
    Workspace,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BundleIndex:
    """Constant-time look-ups in a validated bundle; immutable."""

    # The indexed bundle.
    bundle: Bundle
    # Models by name.
    models: Mapping[str, Model]
    # Model versions by reference.
    versions: Mapping[VersionRef, ModelVersion]
    # Tasks by name.
    tasks: Mapping[str, Task]
    # Services by name.
    services: Mapping[str, Service]
    # Operations by service and operation name.
    operations: Mapping[tuple[str, str], Operation]
    # Pools by name.
    pools: Mapping[str, Pool]
    # Upstreams by name.
    upstreams: Mapping[str, Upstream]
    # Workspaces by name.
    workspaces: Mapping[str, Workspace]
    # Workspaces by the SHA-256 of their bearer token.
    workspaces_by_token: Mapping[str, Workspace]
    # Upstreams that serve a version, in the order of the bundle.
    upstreams_by_version: Mapping[VersionRef, tuple[Upstream, ...]]
    # Versions that a workspace may use, by workspace name.
    allowed_by_workspace: Mapping[str, frozenset[VersionRef]]
    # Roll-out plans by model and target version.
    rollouts: Mapping[VersionRef, RolloutPlan]

    def allowed_versions(self, workspace: str) -> frozenset[VersionRef]:
        """Returns the versions that a workspace may use; none if unknown."""
        return self.allowed_by_workspace.get(workspace, frozenset())

    def upstreams_of_version(self, ref: VersionRef) -> tuple[Upstream, ...]:
        """Returns the upstreams that serve a version; none if unknown."""
        return self.upstreams_by_version.get(ref, ())

    def upstreams_of_service(self, service: str) -> tuple[Upstream, ...]:
        """Returns the upstreams that run a service; none if unknown."""
        found = self.services.get(service)
        pool = self.pools.get(found.pool) if found else None
        return pool.upstreams if pool else ()


def index_bundle(bundle: Bundle) -> BundleIndex:
    """Returns the index of a bundle that passed validation."""
    versions = {
        VersionRef(model.name, version.name): version
        for model in bundle.models
        for version in model.versions
    }
    return BundleIndex(
        bundle=bundle,
        models=_by_name(bundle.models),
        versions=MappingProxyType(versions),
        tasks=_by_name(bundle.tasks),
        services=_by_name(bundle.services),
        operations=MappingProxyType(
            {
                (service.name, operation.name): operation
                for service in bundle.services
                for operation in service.operations
            }
        ),
        pools=_by_name(bundle.pools),
        upstreams=_by_name(
            tuple(
                upstream for pool in bundle.pools for upstream in pool.upstreams
            )
        ),
        workspaces=_by_name(bundle.workspaces),
        workspaces_by_token=MappingProxyType(
            {
                workspace.token_sha256: workspace
                for workspace in bundle.workspaces
            }
        ),
        upstreams_by_version=_upstreams_by_version(bundle),
        allowed_by_workspace=MappingProxyType(
            {
                workspace.name: _allowed(workspace, versions)
                for workspace in bundle.workspaces
            }
        ),
        rollouts=MappingProxyType(
            {
                VersionRef(plan.model, plan.to_version): plan
                for plan in bundle.rollouts
            }
        ),
    )


def _parse_ref(text: str) -> VersionRef:
    model, _, version = text.partition(VERSION_SEPARATOR)
    return VersionRef(model, version)


def _allowed(
    workspace: Workspace, versions: Mapping[VersionRef, ModelVersion]
) -> frozenset[VersionRef]:
    refs = {_parse_ref(text) for text in workspace.allowed}
    any_version_of = {ref.model for ref in refs if ref.version == ANY_VERSION}
    return frozenset(
        ref for ref in versions if ref in refs or ref.model in any_version_of
    )


def _upstreams_by_version(
    bundle: Bundle,
) -> Mapping[VersionRef, tuple[Upstream, ...]]:
    found: dict[VersionRef, tuple[Upstream, ...]] = {}
    for pool in bundle.pools:
        for text in pool.serves:
            ref = _parse_ref(text)
            found[ref] = found.get(ref, ()) + pool.upstreams
    return MappingProxyType(found)


class _Named(Protocol):
    @property
    def name(self) -> str: ...


_NamedT = TypeVar("_NamedT", bound=_Named)


def _by_name(definitions: Iterable[_NamedT]) -> Mapping[str, _NamedT]:
    return MappingProxyType(
        {definition.name: definition for definition in definitions}
    )

"""Look-up tables built once for each revision of the configuration."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from trefoilpitch.bundle import (
    ANY_VERSION,
    VERSION_SEPARATOR,
    Bundle,
    Model,
    Operation,
    RolloutPlan,
    Task,
    Upstream,
    VersionRef,
    Workspace,
)
from trefoilpitch.configuration import Configuration, RolloutState
from trefoilpitch.routing._nodes import ServiceRef, Target
from trefoilpitch.routing._subset import (
    DEFAULT_SUBSET_SIZE,
    followed_upstreams,
    subset_size,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingTable:
    """One revision of the configuration, indexed for routing.

    Building it takes time linear in the bundle; each look-up takes constant
    time. The mappings must not be modified.
    """

    # The configuration revision that the table was built from.
    configuration: Configuration
    # Workspaces, keyed by name.
    workspaces: Mapping[str, Workspace]
    # Workspaces, keyed by the hexadecimal SHA-256 of their bearer token.
    workspaces_by_token: Mapping[str, Workspace]
    # Tasks, keyed by name.
    tasks: Mapping[str, Task]
    # Models, keyed by name.
    models: Mapping[str, Model]
    # Versions that each workspace may use, without withdrawn ones.
    usable_versions: Mapping[str, frozenset[VersionRef]]
    # Operations of plain services.
    operations: Mapping[ServiceRef, Operation]
    # Names of the pools that serve each target.
    pools_by_target: Mapping[Target, tuple[str, ...]]
    # Members of each pool that the node follows, without those out of
    # service.
    pool_members: Mapping[str, tuple[Upstream, ...]]
    # Every upstream of the bundle by name, also those out of service.
    upstreams: Mapping[str, Upstream]
    # Names of the pools that each upstream belongs to.
    pools_by_upstream: Mapping[str, frozenset[str]]
    # The roll-out of each model that has one, with its current state.
    rollouts: Mapping[str, tuple[RolloutPlan, RolloutState]]

    @property
    def revision(self) -> int:
        """The revision of the configuration."""
        return self.configuration.revision

    def is_out_of_service(self, upstream: Upstream) -> bool:
        """Returns whether its VM or failure domain is out of service."""
        configuration = self.configuration
        return (
            upstream.name in configuration.vms_out
            or upstream.failure_domain in configuration.failure_domains_out
        )

    def allows(self, workspace: str, target: Target) -> bool:
        """Returns whether the workspace may run the target now."""
        if isinstance(target, VersionRef):
            return target in self.usable_versions.get(workspace, frozenset())
        definition = self.workspaces.get(workspace)
        if definition is None or target.service not in definition.services:
            return False
        return target in self.operations


def routing_table(
    configuration: Configuration,
    *,
    node: str | None = None,
    nodes: int | None = None,
) -> RoutingTable:
    """Builds the routing table; it is empty when there is no bundle.

    Args:
        configuration: The revision to index.
        node: The name of this node; limits each pool's members to the subset
            that it follows. None keeps all members.
        nodes: The number of nodes in the fleet; the fewer there are, the more
            members of a large pool each of them follows. None uses the
            default subset size.
    """
    bundle = configuration.bundle or Bundle(
        name="", version=0, failure_domains=()
    )
    workspaces = {workspace.name: workspace for workspace in bundle.workspaces}
    all_versions = frozenset(
        VersionRef(model.name, version.name)
        for model in bundle.models
        for version in model.versions
    )
    available = all_versions - configuration.withdrawn
    return RoutingTable(
        configuration=configuration,
        workspaces=workspaces,
        workspaces_by_token={
            workspace.token_sha256: workspace for workspace in bundle.workspaces
        },
        tasks={task.name: task for task in bundle.tasks},
        models={model.name: model for model in bundle.models},
        usable_versions={
            workspace.name: _usable_versions(workspace, available)
            for workspace in bundle.workspaces
        },
        operations={
            ServiceRef(service.name, operation.name): operation
            for service in bundle.services
            for operation in service.operations
        },
        pools_by_target=_pools_by_target(bundle),
        pool_members=_members_in_service(configuration, bundle, node, nodes),
        upstreams={
            upstream.name: upstream
            for pool in bundle.pools
            for upstream in pool.upstreams
        },
        pools_by_upstream=_pools_by_upstream(bundle),
        rollouts=_rollouts(configuration, bundle),
    )


def parse_version(text: str) -> VersionRef:
    """Parses ``model@version``.

    Raises:
        ValueError: If the separator is missing.
    """
    model, separator, version = text.partition(VERSION_SEPARATOR)
    if not separator:
        raise ValueError(f"{text!r} is not of the form model@version")
    return VersionRef(model, version)


def _usable_versions(
    workspace: Workspace, available: frozenset[VersionRef]
) -> frozenset[VersionRef]:
    patterns = {parse_version(text) for text in workspace.allowed}
    return frozenset(
        version
        for version in available
        if version in patterns
        or VersionRef(version.model, ANY_VERSION) in patterns
    )


def _pools_by_target(bundle: Bundle) -> dict[Target, tuple[str, ...]]:
    pools: dict[Target, tuple[str, ...]] = {}
    for pool in bundle.pools:
        for text in pool.serves:
            version = parse_version(text)
            pools[version] = (*pools.get(version, ()), pool.name)
    for service in bundle.services:
        for operation in service.operations:
            target = ServiceRef(service.name, operation.name)
            pools[target] = (service.pool,)
    return pools


def _members_in_service(
    configuration: Configuration,
    bundle: Bundle,
    node: str | None,
    nodes: int | None,
) -> dict[str, tuple[Upstream, ...]]:
    members = {}
    for pool in bundle.pools:
        in_service = tuple(
            upstream
            for upstream in pool.upstreams
            if upstream.name not in configuration.vms_out
            and upstream.failure_domain not in configuration.failure_domains_out
        )
        if node is not None:
            size = DEFAULT_SUBSET_SIZE
            if nodes is not None:
                size = subset_size(len(in_service), nodes)
            in_service = followed_upstreams(node, in_service, size)
        members[pool.name] = in_service
    return members


def _pools_by_upstream(bundle: Bundle) -> dict[str, frozenset[str]]:
    pools: dict[str, frozenset[str]] = {}
    for pool in bundle.pools:
        for upstream in pool.upstreams:
            name = upstream.name
            pools[name] = pools.get(name, frozenset()) | {pool.name}
    return pools


def _rollouts(
    configuration: Configuration, bundle: Bundle
) -> dict[str, tuple[RolloutPlan, RolloutState]]:
    plans = {(plan.model, plan.to_version): plan for plan in bundle.rollouts}
    by_model: dict[str, tuple[RolloutPlan, RolloutState]] = {}
    for state in configuration.rollouts:
        plan = plans.get((state.model, state.to_version))
        if plan is not None:
            by_model[state.model] = (plan, state)
    return by_model

"""The versioned bundle that operators sign off."""

from trefoilpitch.bundle._nodes import (
    ANY_VERSION,
    VERSION_SEPARATOR,
    Bundle,
    Model,
    ModelVersion,
    Operation,
    Pool,
    Priority,
    RolloutPlan,
    Service,
    Task,
    Upstream,
    UpstreamKind,
    VersionRef,
    Workspace,
)

__all__ = [
    "ANY_VERSION",
    "VERSION_SEPARATOR",
    "Bundle",
    "Model",
    "ModelVersion",
    "Operation",
    "Pool",
    "Priority",
    "RolloutPlan",
    "Service",
    "Task",
    "Upstream",
    "UpstreamKind",
    "VersionRef",
    "Workspace",
]

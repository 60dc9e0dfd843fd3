"""The names that a bundle defines, for checks of references."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from trefoilpitch.bundle._schema import (
    ANY_VERSION,
    VERSION_SEPARATOR,
    Bundle,
    Model,
    Pool,
    Task,
    UpstreamKind,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KnownNames:
    """Definitions of a bundle; of duplicates, the last one counts."""

    failure_domains: frozenset[str]
    # Models by name.
    models: Mapping[str, Model]
    # Pools by name.
    pools: Mapping[str, Pool]
    # Tasks by name.
    tasks: Mapping[str, Task]
    # Names of plain services.
    services: frozenset[str]
    # Every ``model@version``.
    versions: frozenset[str]
    # Every ``model@*``.
    any_versions: frozenset[str]
    # Every ``model@version`` that a pool with upstreams serves.
    served: frozenset[str]


def collect_names(bundle: Bundle) -> KnownNames:
    """Returns the names that a bundle defines."""
    return KnownNames(
        failure_domains=frozenset(bundle.failure_domains),
        models={model.name: model for model in bundle.models},
        pools={pool.name: pool for pool in bundle.pools},
        tasks={task.name: task for task in bundle.tasks},
        services=frozenset(service.name for service in bundle.services),
        versions=frozenset(
            f"{model.name}{VERSION_SEPARATOR}{version.name}"
            for model in bundle.models
            for version in model.versions
        ),
        any_versions=frozenset(
            f"{model.name}{VERSION_SEPARATOR}{ANY_VERSION}"
            for model in bundle.models
        ),
        served=frozenset(
            ref
            for pool in bundle.pools
            if pool.kind is UpstreamKind.ENGINE and pool.upstreams
            for ref in pool.serves
        ),
    )

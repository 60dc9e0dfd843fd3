"""Chooses the model version and the upstream that run a request."""

from trefoilpitch.routing._balance import (
    BalanceSettings,
    choose_upstream,
    utilisation,
)
from trefoilpitch.routing._dispatch import confirm_dispatch
from trefoilpitch.routing._exceptions import (
    NoEligibleUpstreamError,
    NoEligibleVersionError,
    PinnedVersionWithdrawnError,
    RoutingError,
    TargetNotAllowedError,
    UpstreamsFullError,
)
from trefoilpitch.routing._nodes import (
    Confirmed,
    Decision,
    Invalidated,
    InvalidationReason,
    LoadReport,
    ServiceRef,
    Target,
    UpstreamState,
)
from trefoilpitch.routing._prefix import (
    CacheEvent,
    PrefixIndex,
    prefix_blocks,
)
from trefoilpitch.routing._subset import followed_upstreams, subset_size
from trefoilpitch.routing._table import (
    RoutingTable,
    parse_version,
    routing_table,
)
from trefoilpitch.routing._upstreams import eligible_upstreams
from trefoilpitch.routing._versions import (
    choose_versions,
    eligible_versions,
    readiness_factors,
    rollout_weight,
)

__all__ = [
    "BalanceSettings",
    "CacheEvent",
    "Confirmed",
    "Decision",
    "Invalidated",
    "InvalidationReason",
    "LoadReport",
    "NoEligibleUpstreamError",
    "NoEligibleVersionError",
    "PinnedVersionWithdrawnError",
    "PrefixIndex",
    "RoutingError",
    "RoutingTable",
    "ServiceRef",
    "Target",
    "TargetNotAllowedError",
    "UpstreamState",
    "UpstreamsFullError",
    "choose_upstream",
    "choose_versions",
    "confirm_dispatch",
    "eligible_upstreams",
    "eligible_versions",
    "followed_upstreams",
    "parse_version",
    "prefix_blocks",
    "readiness_factors",
    "rollout_weight",
    "routing_table",
    "subset_size",
    "utilisation",
]

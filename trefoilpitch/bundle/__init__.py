"""The versioned configuration bundle that operators sign off."""

from trefoilpitch.bundle._check import check_bundle
from trefoilpitch.bundle._codec import (
    MAX_ENCODED_BYTES,
    bundle_digest,
    decode_bundle,
    decode_encoded_bundle,
    encode_bundle,
    token_digest,
)
from trefoilpitch.bundle._diff import (
    Difference,
    DifferenceKind,
    diff_bundles,
)
from trefoilpitch.bundle._exceptions import BundleError, Fault
from trefoilpitch.bundle._index import BundleIndex, index_bundle
from trefoilpitch.bundle._patch import apply_patch, make_patch
from trefoilpitch.bundle._schema import (
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
    "MAX_ENCODED_BYTES",
    "VERSION_SEPARATOR",
    "Bundle",
    "BundleError",
    "BundleIndex",
    "Difference",
    "DifferenceKind",
    "Fault",
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
    "apply_patch",
    "bundle_digest",
    "check_bundle",
    "decode_bundle",
    "decode_encoded_bundle",
    "diff_bundles",
    "encode_bundle",
    "index_bundle",
    "make_patch",
    "token_digest",
]

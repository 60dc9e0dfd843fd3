"""The administration API, an HTTP API for operators."""

from trefoilpitch.administration._api import AdminApi, AdminDependencies
from trefoilpitch.administration._changes import (
    ChangeBody,
    FailureDomainBody,
    RolloutAdvanceBody,
    RolloutBackBody,
    RolloutPauseBody,
    RolloutResumeBody,
    RolloutStartBody,
    SignOffBody,
    VmBody,
    WithdrawBody,
)
from trefoilpitch.administration._responses import (
    BundleResponse,
    ChangeResponse,
    DryRunResponse,
    HistoryEntry,
    HistoryResponse,
    LedgerPage,
)
from trefoilpitch.administration._status import (
    FleetStatus,
    NodeReport,
    RolloutProgress,
    fleet_status,
)

__all__ = [
    "AdminApi",
    "AdminDependencies",
    "BundleResponse",
    "ChangeBody",
    "ChangeResponse",
    "DryRunResponse",
    "FailureDomainBody",
    "FleetStatus",
    "HistoryEntry",
    "HistoryResponse",
    "LedgerPage",
    "NodeReport",
    "RolloutAdvanceBody",
    "RolloutBackBody",
    "RolloutPauseBody",
    "RolloutProgress",
    "RolloutResumeBody",
    "RolloutStartBody",
    "SignOffBody",
    "VmBody",
    "WithdrawBody",
    "fleet_status",
]

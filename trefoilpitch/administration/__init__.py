"""The API that operators use."""

from trefoilpitch.administration._api import AdminApi, AdminServices
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
from trefoilpitch.administration._replies import (
    BundleReply,
    ChangeReply,
    DryRunReply,
    HistoryLine,
    HistoryReply,
    LedgerPage,
)
from trefoilpitch.administration._status import (
    FleetStatus,
    NodeLine,
    RolloutLine,
    fleet_status,
)

__all__ = [
    "AdminApi",
    "AdminServices",
    "BundleReply",
    "ChangeBody",
    "ChangeReply",
    "DryRunReply",
    "FailureDomainBody",
    "FleetStatus",
    "HistoryLine",
    "HistoryReply",
    "LedgerPage",
    "NodeLine",
    "RolloutAdvanceBody",
    "RolloutBackBody",
    "RolloutLine",
    "RolloutPauseBody",
    "RolloutResumeBody",
    "RolloutStartBody",
    "SignOffBody",
    "VmBody",
    "WithdrawBody",
    "fleet_status",
]

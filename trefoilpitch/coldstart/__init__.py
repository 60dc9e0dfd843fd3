"""Limits the work sent to upstreams that may be in a cold start.

One member of the fleet, the gatekeeper, grants credits for an upstream, each
for one piece of work. Members that send work hold these credits until the
upstream is warm.
"""

from trefoilpitch.coldstart._events import (
    Admission,
    AdmissionChanged,
    AdmissionKind,
    DemandChanged,
    FleetObserved,
    GatekeeperEvent,
    GatekeeperMessageReceived,
    HandoverMessageReceived,
    HolderAction,
    HolderEvent,
    HolderMessageReceived,
    SendFromGatekeeper,
    SendToGatekeeper,
    TimePassed,
    UpstreamReported,
    UpstreamsChanged,
    WorkEnded,
    WorkOutcome,
)
from trefoilpitch.coldstart._gatekeeper import step_gatekeeper
from trefoilpitch.coldstart._gatekeeper_state import (
    GatekeeperState,
    create_gatekeeper,
    is_acting,
)
from trefoilpitch.coldstart._holder import (
    admit_work,
    is_cold,
    step_holder,
    usable_credits,
)
from trefoilpitch.coldstart._holder_state import HolderState, create_holder
from trefoilpitch.coldstart._host import ColdStartHost
from trefoilpitch.coldstart._messages import (
    PAYLOAD_KINDS,
    ColdNotice,
    ColdSign,
    CreditGrant,
    CreditRef,
    CreditRefusal,
    CreditRequest,
    CreditReturn,
    GatekeeperMessage,
    Handover,
    HandoverMessage,
    HandoverRequest,
    HeldCredits,
    HolderMessage,
    WarmNotice,
)
from trefoilpitch.coldstart._ramp import ramp_limit
from trefoilpitch.coldstart._rendezvous import (
    Roster,
    choose_gatekeeper,
    create_roster,
)
from trefoilpitch.coldstart._settings import ColdStartSettings
from trefoilpitch.coldstart._summary import (
    GatekeeperPhase,
    GatekeeperSummary,
    HolderSummary,
    summarize_gatekeeper,
    summarize_holder,
)

__all__ = [
    "ColdStartHost",
    "ColdStartSettings",
    "create_holder",
    "step_holder",
    "admit_work",
    "is_cold",
    "usable_credits",
    "HolderState",
    "HolderEvent",
    "HolderAction",
    "Admission",
    "AdmissionKind",
    "AdmissionChanged",
    "DemandChanged",
    "WorkEnded",
    "WorkOutcome",
    "GatekeeperMessageReceived",
    "TimePassed",
    "SendToGatekeeper",
    "create_gatekeeper",
    "step_gatekeeper",
    "is_acting",
    "GatekeeperState",
    "GatekeeperEvent",
    "HolderMessageReceived",
    "HandoverMessageReceived",
    "SendFromGatekeeper",
    "FleetObserved",
    "UpstreamsChanged",
    "UpstreamReported",
    "choose_gatekeeper",
    "create_roster",
    "Roster",
    "ramp_limit",
    "summarize_gatekeeper",
    "summarize_holder",
    "GatekeeperPhase",
    "GatekeeperSummary",
    "HolderSummary",
    "PAYLOAD_KINDS",
    "HolderMessage",
    "GatekeeperMessage",
    "HandoverMessage",
    "HandoverRequest",
    "Handover",
    "CreditRef",
    "CreditRequest",
    "CreditGrant",
    "CreditRefusal",
    "CreditReturn",
    "HeldCredits",
    "WarmNotice",
    "ColdSign",
    "ColdNotice",
]

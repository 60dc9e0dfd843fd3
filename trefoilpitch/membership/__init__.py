"""Gossip-based membership: the daemons of the fleet and their states."""

from trefoilpitch.membership._events import (
    Departed,
    Disconnect,
    LeaveRequested,
    MembershipAction,
    MembershipEvent,
    MessageReceived,
    ReportChanged,
    SeedsChanged,
    SendMessage,
    Superseded,
    Tick,
    ViewChanged,
)
from trefoilpitch.membership._host import MembershipHost
from trefoilpitch.membership._messages import (
    PAYLOAD_KINDS,
    Digest,
    MemberRecord,
    MemberReport,
    MembershipMessage,
    Probe,
    ProbeReply,
    ProbeRequest,
    SyncPage,
    SyncRequest,
)
from trefoilpitch.membership._nodes import (
    Endpoints,
    Member,
    MembershipView,
    MemberState,
    Report,
)
from trefoilpitch.membership._state import (
    MembershipSettings,
    MembershipState,
    create_membership,
)
from trefoilpitch.membership._step import step
from trefoilpitch.membership._view import create_view

__all__ = [
    "step",
    "create_membership",
    "create_view",
    "MembershipHost",
    "MembershipSettings",
    "MembershipState",
    "MembershipView",
    "Member",
    "MemberState",
    "Endpoints",
    "Report",
    "MembershipEvent",
    "Tick",
    "MessageReceived",
    "SeedsChanged",
    "ReportChanged",
    "LeaveRequested",
    "Departed",
    "MembershipAction",
    "SendMessage",
    "Disconnect",
    "ViewChanged",
    "Superseded",
    "PAYLOAD_KINDS",
    "MembershipMessage",
    "MemberRecord",
    "MemberReport",
    "Digest",
    "ProbeRequest",
    "Probe",
    "ProbeReply",
    "SyncRequest",
    "SyncPage",
]

"""Input events of the membership protocol and the actions it returns."""

from __future__ import annotations

import dataclasses

from trefoilpitch.membership._messages import MembershipMessage
from trefoilpitch.membership._nodes import Report


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; due every ``MembershipSettings.tick_interval_ms``."""


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A peer sent a message of the membership protocol."""

    # The sender's VM name.
    sender: str
    # The sender's peer address, for replies.
    address: str
    message: MembershipMessage


@dataclasses.dataclass(frozen=True, slots=True)
class SeedsChanged:
    """The VM list was read.

    The list lags behind the fleet, so its addresses are only contacted and
    never taken as members.
    """

    # Peer addresses, each IP number and port.
    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportChanged:
    """This daemon's own load or configuration revision changed."""

    report: Report


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveRequested:
    """This daemon begins a graceful shutdown and announces it as leaving."""


@dataclasses.dataclass(frozen=True, slots=True)
class Departed:
    """This daemon has finished its work and announces that it exits."""


MembershipEvent = (
    Tick
    | MessageReceived
    | SeedsChanged
    | ReportChanged
    | LeaveRequested
    | Departed
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a peer, without waiting."""

    # The recipient's peer address.
    address: str
    message: MembershipMessage
    # Whether to send at once instead of batching with other messages.
    urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection to an address where no peer is expected."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """Publish a new view: a member appeared or changed its state."""


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """A later incarnation of this VM exists; this process has to exit."""

    # The later incarnation, not this process's own.
    incarnation: str


MembershipAction = SendMessage | Disconnect | ViewChanged | Superseded

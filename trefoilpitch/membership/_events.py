"""What happens to a member, and what it then wants done."""

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
    # Where to send an answer.
    address: str
    # What it sent.
    message: MembershipMessage


@dataclasses.dataclass(frozen=True, slots=True)
class SeedsChanged:
    """The VM list was read; it lags, so it only hints at whom to contact."""

    # Peer addresses.
    addresses: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportChanged:
    """This daemon has something new to say of itself."""

    # What it says.
    report: Report


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveRequested:
    """This daemon begins a graceful shutdown."""


@dataclasses.dataclass(frozen=True, slots=True)
class Departed:
    """This daemon has finished its work and ends."""


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

    # The peer's address.
    address: str
    # What to send.
    message: MembershipMessage
    # Whether it should not wait for other messages to the same peer.
    urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection to an address where no peer is expected."""

    # The address.
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """Publish a new view: a member appeared or changed its state."""


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """A later incarnation of this VM exists; this process has to end."""

    # The later incarnation.
    incarnation: str


MembershipAction = SendMessage | Disconnect | ViewChanged | Superseded

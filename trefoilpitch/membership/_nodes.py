"""The public view of the fleet's members."""

from __future__ import annotations

import dataclasses
import enum
import functools
from collections.abc import Mapping


class MemberState(enum.Enum):
    """Last known state of a member."""

    # Responding, or not yet silent for long enough to be suspected.
    ALIVE = "alive"
    # Stopped responding; may still refute the suspicion.
    SUSPECT = "suspect"
    # Announced a shutdown; finishes its in-flight work.
    LEAVING = "leaving"
    # Left, or did not refute the suspicion in time.
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Endpoints:
    """The addresses of one daemon, each IP number and port."""

    # Where callers send requests.
    caller_address: str
    # The administration API.
    admin_address: str
    # The peer transport.
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """A member's periodic report on itself."""

    # In-flight requests relative to capacity, from 0 to 1.
    in_flight_share: float = 0.0
    # Revision of the configuration that the member applies.
    configuration_revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """The daemon of one entry VM."""

    # The VM's name.
    name: str
    # The process incarnation; a later one of the same VM sorts higher.
    incarnation: str
    failure_domain: str
    endpoints: Endpoints
    state: MemberState
    # The most recent report received.
    report: Report
    # When the report was received, on the monotonic clock of the view's owner.
    report_ms: int
    # False from a pause of the view's owner until it receives a message from
    # the member or a record of it that is not older than the known one.
    is_confirmed: bool = True
    # Whether a member in state GONE announced its exit.
    has_departed: bool = False

    @property
    def is_eligible(self) -> bool:
        """Whether new requests may be sent to the member."""
        return self.state is MemberState.ALIVE and self.is_confirmed


@dataclasses.dataclass(frozen=True, kw_only=True)
class MembershipView:
    """A snapshot of the fleet as last known to one daemon."""

    # VM name of the daemon that built the view.
    own_name: str
    # Every known member sorted by name, the owner included; gone members
    # until their retention period ends.
    members: tuple[Member, ...]
    # Time of the protocol's last tick, on the owner's monotonic clock.
    as_of_ms: int
    # When the last message from a peer was received; None before the first.
    last_contact_ms: int | None
    # Whether the view was synchronized with a peer since the last start or
    # pause, or the time limit for that has passed.
    is_settled: bool
    # Number of VM list addresses without a known member.
    unmatched_seeds: int = 0

    @functools.cached_property
    def by_name(self) -> Mapping[str, Member]:
        """Members by VM name."""
        return {member.name: member for member in self.members}

    def get(self, name: str) -> Member | None:
        """Returns the member with a name; None if it is unknown."""
        return self.by_name.get(name)

    @property
    def own(self) -> Member:
        """The member that built the view."""
        return self.by_name[self.own_name]

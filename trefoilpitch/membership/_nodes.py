"""Members of the fleet as other subsystems see them."""

from __future__ import annotations

import dataclasses
import enum
import functools
from collections.abc import Mapping


class MemberState(enum.Enum):
    """What is known of a member."""

    # It answers, or was not doubted yet.
    ALIVE = "alive"
    # It stopped answering; it may still refute that.
    SUSPECT = "suspect"
    # It announced that it shuts down; it finishes the work it has.
    LEAVING = "leaving"
    # It left, or never refuted the suspicion.
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
    """What a member says of itself every now and then."""

    # Share of the requests that it can serve at once, from 0 to 1.
    in_flight_share: float = 0.0
    # Revision of the configuration that it has in force.
    configuration_revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One entry VM's daemon."""

    # The VM's name.
    name: str
    # The process incarnation; a later one of the same VM sorts higher.
    incarnation: str
    # The failure domain that the VM runs in.
    failure_domain: str
    # Where it is reached.
    endpoints: Endpoints
    # What is known of it.
    state: MemberState
    # The newest report that arrived.
    report: Report
    # When that report arrived, on the monotonic clock of the view's owner.
    report_ms: int
    # False after the owner was paused, until news of the member arrives.
    is_confirmed: bool = True
    # Whether a member that is gone announced its end.
    has_departed: bool = False

    @property
    def is_eligible(self) -> bool:
        """Whether new work may be sent to it."""
        return self.state is MemberState.ALIVE and self.is_confirmed


@dataclasses.dataclass(frozen=True, kw_only=True)
class MembershipView:
    """One daemon's knowledge of the fleet at one time."""

    # The VM whose knowledge this is.
    own_name: str
    # Every known member, itself included, by name; gone ones for a while.
    members: tuple[Member, ...]
    # When the protocol last ran, on the owner's monotonic clock.
    as_of_ms: int
    # When a peer was last heard; ``None`` before the first.
    last_contact_ms: int | None
    # Whether the view has caught up with a peer since a start or a pause.
    is_settled: bool
    # Addresses on the VM list at which no member was ever met.
    unmatched_seeds: int = 0

    @functools.cached_property
    def by_name(self) -> Mapping[str, Member]:
        """Members by VM name."""
        return {member.name: member for member in self.members}

    def get(self, name: str) -> Member | None:
        """Returns the member of a name, if it is known."""
        return self.by_name.get(name)

    @property
    def own(self) -> Member:
        """The view's owner."""
        return self.by_name[self.own_name]

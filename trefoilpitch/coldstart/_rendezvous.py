"""Chooses gatekeepers by rendezvous hashing, from a membership view."""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Mapping, Sequence

from trefoilpitch.bundle import Upstream
from trefoilpitch.coldstart._settings import ColdStartSettings
from trefoilpitch.membership import Member, MembershipView, MemberState
from trefoilpitch.rendezvous import score

_PRESENT_STATES = (MemberState.ALIVE, MemberState.LEAVING)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scope:
    """A group of members from which gatekeepers are chosen."""

    # Members that may be gatekeepers.
    eligible: tuple[Member, ...]
    # Confirmed members that are alive or leaving.
    present: tuple[Member, ...]
    # Whether more than half of the expected members are present.
    has_quorum: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Roster:
    """A membership view, prepared for the choice of gatekeepers.

    The gatekeeper is a member of the upstream's failure domain if that has
    enough members, so that a failure domain that is partitioned from the
    others can still start its own upstreams. Otherwise it is any member.
    """

    view: MembershipView
    # By failure domain, for those with at least ``min_scope`` members.
    domains: Mapping[str, Scope]
    # All members.
    fleet: Scope

    def scope_of(self, upstream: Upstream) -> Scope:
        """Returns the members to choose an upstream's gatekeeper from."""
        return self.domains.get(upstream.failure_domain, self.fleet)

    def gatekeeper_of(self, upstream: Upstream) -> Member | None:
        """Returns the eligible member with the highest rank for an upstream."""
        return _highest_ranked(self.scope_of(upstream).eligible, upstream)

    def predecessor_of(self, upstream: Upstream) -> Member | None:
        """Returns the gatekeeper as chosen without the view's owner."""
        others = [
            member
            for member in self.scope_of(upstream).present
            if member.name != self.view.own_name
        ]
        return _highest_ranked(others, upstream)

    def is_owner_gatekeeper(self, upstream: Upstream) -> bool:
        """Tells whether the view's owner is the gatekeeper, with a quorum.

        At most one side of a partition has a quorum, as long as each side
        still lists the members of the other.
        """
        scope = self.scope_of(upstream)
        chosen = _highest_ranked(scope.eligible, upstream)
        if chosen is None or chosen.name != self.view.own_name:
            return False
        return scope.has_quorum

    @functools.cached_property
    def signature(self) -> tuple[object, ...]:
        """Equal if and only if two views lead to the same choices."""
        members = tuple(
            (m.name, m.incarnation, m.state, m.is_confirmed, m.has_departed)
            for m in self.view.members
        )
        return (*members, self.view.is_settled, self.view.unmatched_seeds)


def create_roster(view: MembershipView, settings: ColdStartSettings) -> Roster:
    """Prepares a view for the choice of gatekeepers."""
    known = [member for member in view.members if not member.has_departed]
    by_domain: dict[str, list[Member]] = {}
    for member in known:
        by_domain.setdefault(member.failure_domain, []).append(member)
    return Roster(
        view=view,
        domains={
            domain: _create_scope(members, len(members))
            for domain, members in by_domain.items()
            if len(members) >= settings.min_scope
        },
        # Seed VMs that were never contacted count as missing.
        fleet=_create_scope(known, len(known) + view.unmatched_seeds),
    )


def choose_gatekeeper(
    view: MembershipView, upstream: Upstream, settings: ColdStartSettings
) -> Member | None:
    """Returns an upstream's gatekeeper according to a view."""
    return create_roster(view, settings).gatekeeper_of(upstream)


def _create_scope(members: Sequence[Member], expected: int) -> Scope:
    present = tuple(
        member
        for member in members
        if member.is_confirmed and member.state in _PRESENT_STATES
    )
    return Scope(
        eligible=tuple(m for m in members if m.is_eligible),
        present=present,
        has_quorum=2 * len(present) > expected,
    )


def _highest_ranked(
    members: Sequence[Member], upstream: Upstream
) -> Member | None:
    return max(
        members,
        key=lambda member: score(upstream.name, member.name),
        default=None,
    )

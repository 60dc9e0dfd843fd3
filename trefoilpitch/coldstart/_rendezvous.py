"""Which member is the gatekeeper of an upstream, in one member's view."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from trefoilpitch.bundle import Upstream
from trefoilpitch.coldstart._settings import ColdStartSettings
from trefoilpitch.membership import Member, MembershipView, MemberState


def choose_gatekeeper(
    view: MembershipView, upstream: Upstream, settings: ColdStartSettings
) -> Member | None:
    """Returns the eligible member that ranks first for an upstream.

    Members of the upstream's failure domain are considered if there are
    enough of them, so that a region cut off from the others still starts its
    own upstreams; else all members are.
    """
    scope = _members_in_scope(view, upstream, settings)
    eligible = [member for member in scope if member.is_eligible]
    if not eligible:
        return None
    return max(eligible, key=lambda member: _score(member.name, upstream.name))


def has_quorum(
    view: MembershipView, upstream: Upstream, settings: ColdStartSettings
) -> bool:
    """Tells whether the view shows more than half of the scope.

    Of the sides of a partition at most one passes, as long as each side still
    remembers the members of the other. Members that announced their end don't
    count; VMs that are listed but were never met count as missing.
    """
    scope = _members_in_scope(view, upstream, settings)
    present = sum(1 for member in scope if _is_present(member))
    expected = len(scope)
    if _is_whole_fleet(view, scope):
        expected += view.unmet_seeds
    return 2 * present > expected


def _members_in_scope(
    view: MembershipView, upstream: Upstream, settings: ColdStartSettings
) -> Sequence[Member]:
    known = [member for member in view.members if not member.has_departed]
    near = [
        member
        for member in known
        if member.failure_domain == upstream.failure_domain
    ]
    return near if len(near) >= settings.min_scope else known


def _is_whole_fleet(view: MembershipView, scope: Sequence[Member]) -> bool:
    known = sum(1 for member in view.members if not member.has_departed)
    return len(scope) == known


def _is_present(member: Member) -> bool:
    states = (MemberState.ALIVE, MemberState.LEAVING)
    return member.is_confirmed and member.state in states


def _score(member: str, upstream: str) -> int:
    score: int = xxhash.xxh64_intdigest(f"{upstream}/{member}".encode())
    return score

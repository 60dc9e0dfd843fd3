"""Builds the views that other subsystems work on."""

from __future__ import annotations

from trefoilpitch.membership._nodes import Member, MembershipView
from trefoilpitch.membership._records import to_member
from trefoilpitch.membership._state import MembershipState, Peer


class ViewBuilder:
    """Builds views and reuses the members that did not change."""

    def __init__(self) -> None:
        self._built: dict[str, tuple[Peer, Member]] = {}

    def build(self, state: MembershipState, now_ms: int) -> MembershipView:
        """Takes a view.

        Args:
            state: The protocol's state.
            now_ms: Monotonic time.
        """
        own = to_member(state.own, report_ms=now_ms, is_confirmed=True)
        members = [own]
        built: dict[str, tuple[Peer, Member]] = {}
        for name, peer in state.peers.items():
            member = self._member_of(name, peer)
            built[name] = (peer, member)
            members.append(member)
        self._built = built
        members.sort(key=_name_of)
        return MembershipView(
            own_name=state.own.name,
            members=tuple(members),
            as_of_ms=state.timers.last_tick_ms,
            last_contact_ms=state.timers.last_contact_ms,
            is_settled=state.timers.unsettled_since_ms is None,
            unmatched_seeds=_count_unmatched_seeds(state),
        )

    def _member_of(self, name: str, peer: Peer) -> Member:
        known = self._built.get(name)
        if known is not None:
            before, member = known
            if (
                before.record is peer.record
                and before.is_confirmed is peer.is_confirmed
            ):
                return member
        return to_member(
            peer.record,
            report_ms=peer.report_ms,
            is_confirmed=peer.is_confirmed,
        )


def create_view(state: MembershipState, now_ms: int) -> MembershipView:
    """Takes a single view."""
    return ViewBuilder().build(state, now_ms)


def _name_of(member: Member) -> str:
    return member.name


def _count_unmatched_seeds(state: MembershipState) -> int:
    met = {peer.record.peer_address for peer in state.peers.values()}
    met.add(state.own.peer_address)
    return len(set(state.seeding.addresses) - met)

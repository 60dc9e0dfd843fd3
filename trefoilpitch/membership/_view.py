"""Builds the membership views that other subsystems read."""

from __future__ import annotations

from trefoilpitch.membership._nodes import Member, MembershipView
from trefoilpitch.membership._records import to_member
from trefoilpitch.membership._state import MembershipState, Peer


class ViewBuilder:
    """Builds views, reusing the ``Member`` objects that did not change."""

    def __init__(self) -> None:
        self._cache: dict[str, tuple[Peer, Member]] = {}

    def build(self, state: MembershipState, now_ms: int) -> MembershipView:
        """Builds a view of the current state.

        Args:
            state: The protocol's state.
            now_ms: Monotonic time; the report time of the own member.
        """
        own = to_member(state.own, report_ms=now_ms, is_confirmed=True)
        members = [own]
        cache: dict[str, tuple[Peer, Member]] = {}
        for name, peer in state.peers.items():
            member = self._get_member(name, peer)
            cache[name] = (peer, member)
            members.append(member)
        self._cache = cache
        members.sort(key=_get_name)
        return MembershipView(
            own_name=state.own.name,
            members=tuple(members),
            as_of_ms=state.timers.last_tick_ms,
            last_contact_ms=state.timers.last_contact_ms,
            is_settled=state.timers.unsettled_since_ms is None,
            unmatched_seeds=_count_unmatched_seeds(state),
        )

    def _get_member(self, name: str, peer: Peer) -> Member:
        cached = self._cache.get(name)
        if cached is not None:
            previous, member = cached
            if (
                previous.record is peer.record
                and previous.is_confirmed is peer.is_confirmed
            ):
                return member
        return to_member(
            peer.record,
            report_ms=peer.report_ms,
            is_confirmed=peer.is_confirmed,
        )


def create_view(state: MembershipState, now_ms: int) -> MembershipView:
    """Builds a single view without reusing earlier members."""
    return ViewBuilder().build(state, now_ms)


def _get_name(member: Member) -> str:
    return member.name


def _count_unmatched_seeds(state: MembershipState) -> int:
    known_addresses = {
        peer.record.peer_address for peer in state.peers.values()
    }
    known_addresses.add(state.own.peer_address)
    return len(set(state.seed_state.addresses) - known_addresses)

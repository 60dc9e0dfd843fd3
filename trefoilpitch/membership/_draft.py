"""A working copy of the state during one step."""

from __future__ import annotations

import dataclasses
from typing import Any

import msgspec
import xxhash

from trefoilpitch.membership._events import (
    Disconnect,
    MembershipAction,
    SendMessage,
    Superseded,
    ViewChanged,
)
from trefoilpitch.membership._messages import (
    MemberRecord,
    MemberReport,
    MembershipMessage,
)
from trefoilpitch.membership._nodes import MemberState
from trefoilpitch.membership._overlay import choose_neighbours
from trefoilpitch.membership._records import (
    hash_incarnation,
    merge_records,
    merge_report,
    precedence,
    state_of,
    with_state,
)
from trefoilpitch.membership._state import (
    MembershipSettings,
    MembershipState,
    Peer,
    Table,
)


class Draft:
    """Collects the changes and actions of one step.

    Args:
        state: The state before the step; never modified.
        now_ms: Monotonic time of the step.
    """

    def __init__(self, state: MembershipState, now_ms: int) -> None:
        self._state = state
        self._is_table_changed = False
        self._actions: list[MembershipAction] = []
        self._now_ms = now_ms
        self.own = state.own
        self.peers = dict(state.peers)
        self.rumours = dict(state.rumours)
        self.table = state.table
        self.timers = state.timers
        self.seeding = state.seeding
        self.digests_sent = state.digests_sent

    @property
    def now_ms(self) -> int:
        """Monotonic time of the step."""
        return self._now_ms

    @property
    def before(self) -> MembershipState:
        """The state before the step."""
        return self._state

    @property
    def settings(self) -> MembershipSettings:
        """Intervals and limits."""
        return self._state.settings

    def set_timers(self, **changes: int | None) -> None:
        """Changes some of the timers."""
        self.timers = dataclasses.replace(self.timers, **changes)  # type: ignore[arg-type]

    def send(
        self, address: str, message: MembershipMessage, *, urgent: bool = False
    ) -> None:
        """Sends a message."""
        self._actions.append(SendMessage(address, message, urgent))

    def disconnect(self, address: str) -> None:
        """Closes the connection to an address."""
        self._actions.append(Disconnect(address))

    def merge(self, record: MemberRecord) -> None:
        """Takes in what a peer believes of a member."""
        if record.name == self.own.name:
            self._merge_own(record)
            return
        peer = self.peers.get(record.name)
        if peer is None:
            self._add(record)
            return
        merged = merge_records(peer.record, record)
        if precedence(record) >= precedence(peer.record):
            self._confirm(record.name)
        if precedence(merged) != precedence(peer.record):
            self._replace(merged)
        elif merged is not peer.record:
            self._update(record.name, record=merged, report_ms=self._now_ms)

    def merge_report(self, report: MemberReport) -> None:
        """Takes in a report of a member that is known."""
        peer = self.peers.get(report.name)
        if peer is None:
            return
        merged = merge_report(peer.record, report)
        if merged is not peer.record:
            self._update(report.name, record=merged, report_ms=self._now_ms)

    def conclude(self, name: str, state: MemberState) -> None:
        """Changes the state of another member by own observation."""
        self._replace(with_state(self.peers[name].record, state))

    def announce(self, state: str) -> None:
        """Changes the state of this daemon and spreads it."""
        self.own = msgspec.structs.replace(
            self.own,
            state=state,
            refutation=self.own.refutation + 1,
        )
        self._touch(self.own.name)

    def replace_own_report(self, report: MemberReport) -> None:
        """Changes what this daemon says of itself."""
        self.own = msgspec.structs.replace(self.own, report=report)

    def heard(self, name: str) -> None:
        """Notes a sign of life."""
        self.set_timers(last_contact_ms=self._now_ms)
        if name in self.peers:
            self._update(name, heard_ms=self._now_ms, probed_ms=None)
            self._confirm(name)

    def probed(self, name: str) -> None:
        """Notes that a member was probed through others."""
        self._update(name, probed_ms=self._now_ms)

    def forget(self, name: str) -> None:
        """Removes a gone member."""
        del self.peers[name]
        self.rumours.pop(name, None)
        self._is_table_changed = True

    def restart_timers(self) -> None:
        """Forgives every silence and doubts all that was known."""
        for name in self.peers:
            self._update(
                name,
                heard_ms=self._now_ms,
                changed_ms=self._now_ms,
                probed_ms=None,
                is_confirmed=False,
            )
        self._actions.append(ViewChanged())

    def finish(self) -> tuple[MembershipState, tuple[MembershipAction, ...]]:
        """Returns the state after the step and what it wants done."""
        if self._is_table_changed:
            self._rebuild_table()
        state = dataclasses.replace(
            self._state,
            own=self.own,
            peers=self.peers,
            rumours=self.rumours,
            table=self.table,
            timers=self.timers,
            seeding=self.seeding,
            digests_sent=self.digests_sent,
        )
        return state, tuple(self._actions)

    def _merge_own(self, record: MemberRecord) -> None:
        if record.incarnation > self.own.incarnation:
            self._actions.append(Superseded(record.incarnation))
            return
        if record.incarnation < self.own.incarnation:
            self._touch(self.own.name)
            return
        if precedence(record) <= precedence(self.own):
            return
        self.own = msgspec.structs.replace(
            self.own, refutation=record.refutation + 1
        )
        self._touch(self.own.name)

    def _add(self, record: MemberRecord) -> None:
        # Records of gone members would otherwise outlive every retention by
        # passing between daemons that forget them at different times.
        if state_of(record) is MemberState.GONE:
            return
        self.peers[record.name] = Peer(
            record=record,
            changed_ms=self._now_ms,
            heard_ms=self._now_ms,
            report_ms=self._now_ms,
        )
        self._touch(record.name)

    def _replace(self, record: MemberRecord) -> None:
        name = record.name
        earlier = self.peers[name].record
        self._update(name, record=record, changed_ms=self._now_ms)
        if record.incarnation != earlier.incarnation:
            self._update(name, heard_ms=self._now_ms, report_ms=self._now_ms)
        if record.peer_address != earlier.peer_address:
            self.disconnect(earlier.peer_address)
        if state_of(record) is MemberState.GONE:
            self.disconnect(record.peer_address)
        self._touch(name)

    def _confirm(self, name: str) -> None:
        if not self.peers[name].is_confirmed:
            self._update(name, is_confirmed=True)
            self._actions.append(ViewChanged())

    def _update(self, name: str, **changes: Any) -> None:
        self.peers[name] = dataclasses.replace(self.peers[name], **changes)

    def _touch(self, name: str) -> None:
        self.rumours[name] = self.settings.rumour_rounds
        self._is_table_changed = True
        if ViewChanged() not in self._actions:
            self._actions.append(ViewChanged())

    def _rebuild_table(self) -> None:
        present = {
            name: peer.record
            for name, peer in self.peers.items()
            if state_of(peer.record) is not MemberState.GONE
        }
        names = tuple(sorted(present))
        neighbours = choose_neighbours(
            self.own.name, names, self.settings.rings
        )
        for name in neighbours:
            if name not in self._state.table.neighbours:
                self._update(name, heard_ms=self._now_ms, probed_ms=None)
        records = [*present.values(), self.own]
        table_hash = 0
        for record in records:
            table_hash ^= _hash_record(record)
        settled_states = (MemberState.ALIVE, MemberState.LEAVING)
        doubtful = tuple(
            name
            for name, peer in self.peers.items()
            if state_of(peer.record) not in settled_states
        )
        self.table = Table(
            names=names,
            neighbours=neighbours,
            doubtful=doubtful,
            digest=table_hash,
        )


def _hash_record(record: MemberRecord) -> int:
    key = (
        f"{record.name}/{hash_incarnation(record.incarnation)}"
        f"/{record.refutation}/{record.state}"
    )
    digest: int = xxhash.xxh32_intdigest(key.encode())
    return digest

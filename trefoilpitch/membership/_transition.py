"""Builds the next state and the actions of one protocol step."""

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
    MemberTable,
    Peer,
)


class Transition:
    """Mutable builder of the next state and its actions.

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
        self.pending_updates = dict(state.pending_updates)
        self.table = state.table
        self.timers = state.timers
        self.seed_state = state.seed_state
        self.report_selections = state.report_selections

    @property
    def now_ms(self) -> int:
        """Monotonic time of the step."""
        return self._now_ms

    @property
    def previous(self) -> MembershipState:
        """The state before the step."""
        return self._state

    @property
    def settings(self) -> MembershipSettings:
        """Intervals and limits."""
        return self._state.settings

    def set_timers(self, **changes: int | None) -> None:
        """Replaces the given fields of the timers."""
        self.timers = dataclasses.replace(self.timers, **changes)  # type: ignore[arg-type]

    def send(
        self, address: str, message: MembershipMessage, *, urgent: bool = False
    ) -> None:
        """Adds an action that sends a message."""
        self._actions.append(SendMessage(address, message, urgent))

    def disconnect(self, address: str) -> None:
        """Adds an action that closes the connection to an address."""
        self._actions.append(Disconnect(address))

    def merge_record(self, record: MemberRecord) -> None:
        """Merges a record received from a peer into the peer table."""
        if record.name == self.own.name:
            self._merge_own(record)
            return
        peer = self.peers.get(record.name)
        if peer is None:
            self._add_peer(record)
            return
        merged = merge_records(peer.record, record)
        if precedence(record) >= precedence(peer.record):
            self._confirm_peer(record.name)
        if precedence(merged) != precedence(peer.record):
            self._replace_record(merged)
        elif merged is not peer.record:
            self._update_peer(
                record.name, record=merged, report_ms=self._now_ms
            )

    def merge_report(self, report: MemberReport) -> None:
        """Applies a report to the record of a known member."""
        peer = self.peers.get(report.name)
        if peer is None:
            return
        merged = merge_report(peer.record, report)
        if merged is not peer.record:
            self._update_peer(
                report.name, record=merged, report_ms=self._now_ms
            )

    def set_observed_state(self, name: str, state: MemberState) -> None:
        """Sets a member's state as observed by this daemon."""
        self._replace_record(with_state(self.peers[name].record, state))

    def set_own_state(self, state: str) -> None:
        """Sets this daemon's state and queues its record for gossip."""
        self.own = msgspec.structs.replace(
            self.own,
            state=state,
            refutation=self.own.refutation + 1,
        )
        self._mark_changed(self.own.name)

    def set_own_report(self, report: MemberReport) -> None:
        """Replaces the report in this daemon's own record."""
        self.own = msgspec.structs.replace(self.own, report=report)

    def record_contact(self, name: str) -> None:
        """Records a message from a member, which shows that it is alive."""
        self.set_timers(last_contact_ms=self._now_ms)
        if name in self.peers:
            self._update_peer(
                name, last_seen_ms=self._now_ms, last_probe_ms=None
            )
            self._confirm_peer(name)

    def record_probe(self, name: str) -> None:
        """Records the time of an indirect probe of a member."""
        self._update_peer(name, last_probe_ms=self._now_ms)

    def remove(self, name: str) -> None:
        """Removes a member whose retention period has ended."""
        del self.peers[name]
        self.pending_updates.pop(name, None)
        self._is_table_changed = True

    def reset_observations(self) -> None:
        """Restarts all failure timers and marks every member unconfirmed.

        Called after this daemon was paused: it could not receive messages, so
        silence says nothing about its peers, and its records may be outdated.
        """
        for name in self.peers:
            self._update_peer(
                name,
                last_seen_ms=self._now_ms,
                state_changed_ms=self._now_ms,
                last_probe_ms=None,
                is_confirmed=False,
            )
        self._actions.append(ViewChanged())

    def finish(self) -> tuple[MembershipState, tuple[MembershipAction, ...]]:
        """Returns the state after the step and the actions to perform."""
        if self._is_table_changed:
            self._rebuild_table()
        state = dataclasses.replace(
            self._state,
            own=self.own,
            peers=self.peers,
            pending_updates=self.pending_updates,
            table=self.table,
            timers=self.timers,
            seed_state=self.seed_state,
            report_selections=self.report_selections,
        )
        return state, tuple(self._actions)

    def _merge_own(self, record: MemberRecord) -> None:
        if record.incarnation > self.own.incarnation:
            self._actions.append(Superseded(record.incarnation))
            return
        if record.incarnation < self.own.incarnation:
            self._mark_changed(self.own.name)
            return
        if precedence(record) <= precedence(self.own):
            return
        self.own = msgspec.structs.replace(
            self.own, refutation=record.refutation + 1
        )
        self._mark_changed(self.own.name)

    def _add_peer(self, record: MemberRecord) -> None:
        # Daemons remove gone members at different times. If they accepted
        # such records from each other again, the records would never expire.
        if state_of(record) is MemberState.GONE:
            return
        self.peers[record.name] = Peer(
            record=record,
            state_changed_ms=self._now_ms,
            last_seen_ms=self._now_ms,
            report_ms=self._now_ms,
        )
        self._mark_changed(record.name)

    def _replace_record(self, record: MemberRecord) -> None:
        name = record.name
        previous_record = self.peers[name].record
        self._update_peer(name, record=record, state_changed_ms=self._now_ms)
        if record.incarnation != previous_record.incarnation:
            self._update_peer(
                name, last_seen_ms=self._now_ms, report_ms=self._now_ms
            )
        if record.peer_address != previous_record.peer_address:
            self.disconnect(previous_record.peer_address)
        if state_of(record) is MemberState.GONE:
            self.disconnect(record.peer_address)
        self._mark_changed(name)

    def _confirm_peer(self, name: str) -> None:
        if not self.peers[name].is_confirmed:
            self._update_peer(name, is_confirmed=True)
            self._actions.append(ViewChanged())

    def _update_peer(self, name: str, **changes: Any) -> None:
        self.peers[name] = dataclasses.replace(self.peers[name], **changes)

    def _mark_changed(self, name: str) -> None:
        self.pending_updates[name] = self.settings.update_transmissions
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
                self._update_peer(
                    name, last_seen_ms=self._now_ms, last_probe_ms=None
                )
        records = [*present.values(), self.own]
        table_hash = 0
        for record in records:
            table_hash ^= _hash_record(record)
        healthy_states = (MemberState.ALIVE, MemberState.LEAVING)
        unhealthy = tuple(
            name
            for name, peer in self.peers.items()
            if state_of(peer.record) not in healthy_states
        )
        self.table = MemberTable(
            names=names,
            neighbours=neighbours,
            unhealthy=unhealthy,
            content_hash=table_hash,
        )


def _hash_record(record: MemberRecord) -> int:
    key = (
        f"{record.name}/{hash_incarnation(record.incarnation)}"
        f"/{record.refutation}/{record.state}"
    )
    digest: int = xxhash.xxh32_intdigest(key.encode())
    return digest

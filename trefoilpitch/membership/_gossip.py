"""Exchanges member records and reports between daemons by gossip."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from trefoilpitch.membership._messages import (
    Digest,
    MemberRecord,
    MemberReport,
    SyncPage,
    SyncRequest,
)
from trefoilpitch.membership._nodes import MemberState
from trefoilpitch.membership._overlay import pseudo_random_value
from trefoilpitch.membership._records import state_of
from trefoilpitch.membership._state import Peer
from trefoilpitch.membership._transition import Transition


def send_heartbeats(transition: Transition) -> None:
    """Sends every neighbour a heartbeat with changed records and reports."""
    records = _take_pending_updates(transition)
    for peer in _neighbours_not_gone(transition):
        extra = records
        if state_of(peer.record) is MemberState.SUSPECT:
            # The neighbour must see the suspicion to be able to refute it.
            extra = (peer.record, *records)
        digest = _create_digest(
            transition, extra, _next_reports(transition), wants_reply=True
        )
        transition.send(peer.record.peer_address, digest)


def send_updates(transition: Transition) -> None:
    """Sends changed records to the neighbours between heartbeats."""
    records = _take_pending_updates(transition)
    digest = _create_digest(transition, records, (), wants_reply=False)
    for peer in _neighbours_not_gone(transition):
        transition.send(peer.record.peer_address, digest)


def contact_seed(transition: Transition) -> None:
    """Sends a digest to the next VM list address without a known member."""
    if transition.now_ms < transition.timers.next_seed_ms:
        return
    settings = transition.settings
    known = {transition.own.peer_address}
    for name in transition.table.names:
        known.add(transition.peers[name].record.peer_address)
    last_contacted = transition.seed_state.last_contacted
    if last_contacted is not None and last_contacted not in known:
        transition.disconnect(last_contacted)
    interval_ms = settings.seed_interval_ms
    if len(known) == 1:
        interval_ms = settings.isolated_seed_interval_ms
    transition.set_timers(next_seed_ms=transition.now_ms + interval_ms)
    transition.seed_state = dataclasses.replace(
        transition.seed_state, last_contacted=None
    )
    unknown = [a for a in transition.seed_state.addresses if a not in known]
    if not unknown:
        return
    cursor = transition.seed_state.cursor
    address = unknown[cursor % len(unknown)]
    transition.seed_state = dataclasses.replace(
        transition.seed_state, last_contacted=address, cursor=cursor + 1
    )
    transition.send(
        address, _create_digest(transition, (), (), wants_reply=True)
    )


def receive_digest(
    transition: Transition, sender: str, address: str, digest: Digest
) -> None:
    """Handles a heartbeat, a reply to one, or a changed-records digest."""
    _merge_sender(transition, sender, digest.own)
    for record in digest.records:
        transition.merge_record(record)
    for report in digest.reports:
        transition.merge_report(report)
    if (
        digest.wants_reply
        and sender not in transition.previous.table.neighbours
    ):
        records = _known_records(transition, sender)
        reply = _create_digest(
            transition, records, _next_reports(transition), wants_reply=False
        )
        transition.send(address, reply)
    _compare_table_hash(transition, address, digest.table_hash)


def receive_sync_request(
    transition: Transition, address: str, request: SyncRequest
) -> None:
    """Replies with one page of the member table."""
    later = sorted(
        name
        for name, peer in transition.peers.items()
        if name > request.after and peer.is_confirmed
    )
    names = later[: transition.settings.sync_page_size]
    is_last = len(later) == len(names)
    transition.send(
        address,
        SyncPage(
            records=tuple(transition.peers[name].record for name in names),
            next_after="" if is_last else names[-1],
        ),
        urgent=True,
    )


def receive_page(transition: Transition, address: str, page: SyncPage) -> None:
    """Merges one page of a peer's table and requests the next."""
    for record in page.records:
        transition.merge_record(record)
    if page.next_after:
        transition.send(address, SyncRequest(page.next_after), urgent=True)
        return
    _mark_settled(transition)


def _neighbours_not_gone(transition: Transition) -> Iterator[Peer]:
    for name in transition.previous.table.neighbours:
        peer = transition.peers.get(name)
        if peer is None or state_of(peer.record) is MemberState.GONE:
            continue
        yield peer


def _merge_sender(
    transition: Transition, sender: str, record: MemberRecord
) -> None:
    if record.name != sender:
        return
    peer = transition.peers.get(sender)
    transition.merge_record(record)
    if peer is None or peer.record.incarnation != record.incarnation:
        return
    if state_of(peer.record) is MemberState.GONE:
        # The sender is alive but recorded as gone. Sending it that record
        # lets it refute the state.
        transition.send(
            record.peer_address,
            _create_digest(transition, (peer.record,), (), wants_reply=False),
        )


def _known_records(
    transition: Transition, name: str
) -> tuple[MemberRecord, ...]:
    peer = transition.peers.get(name)
    return () if peer is None else (peer.record,)


def _compare_table_hash(
    transition: Transition, address: str, table_hash: int
) -> None:
    if table_hash == transition.previous.table.content_hash:
        transition.set_timers(sync_due_ms=None)
        _mark_settled(transition)
        return
    settings = transition.settings
    is_settled = transition.timers.unsettled_since_ms is None
    due_ms = transition.timers.sync_due_ms
    if due_ms is None:
        due_ms = transition.now_ms + (
            settings.sync_delay_ms if is_settled else 0
        )
        transition.set_timers(sync_due_ms=due_ms)
    began_ms = transition.timers.sync_began_ms
    if began_ms is not None:
        gap_ms = settings.unsettled_sync_interval_ms
        if is_settled:
            gap_ms = settings.sync_interval_ms
        due_ms = max(due_ms, began_ms + gap_ms)
    if transition.now_ms >= due_ms:
        transition.set_timers(sync_began_ms=transition.now_ms, sync_due_ms=None)
        transition.send(address, SyncRequest(after=""), urgent=True)


def _mark_settled(transition: Transition) -> None:
    transition.set_timers(unsettled_since_ms=None)


def _take_pending_updates(transition: Transition) -> tuple[MemberRecord, ...]:
    chosen = sorted(
        transition.pending_updates,
        key=lambda name: (-transition.pending_updates[name], name),
    )[: transition.settings.max_records_per_message]
    records: list[MemberRecord] = []
    for name in chosen:
        transition.pending_updates[name] -= 1
        if not transition.pending_updates[name]:
            del transition.pending_updates[name]
        # The own record is part of every digest.
        if name != transition.own.name and transition.peers[name].is_confirmed:
            records.append(transition.peers[name].record)
    return tuple(records)


def _next_reports(transition: Transition) -> tuple[MemberReport, ...]:
    names = transition.table.names
    count = min(len(names), transition.settings.max_reports_per_heartbeat)
    number = transition.report_selections
    transition.report_selections = number + 1
    # A start that advanced by a fixed amount could send a given neighbour the
    # same part of the table in every round.
    start = pseudo_random_value(transition.own.name, number)
    reports: list[MemberReport] = []
    for offset in range(count):
        peer = transition.peers[names[(start + offset) % len(names)]]
        if peer.is_confirmed:
            reports.append(peer.record.report)
    return tuple(reports)


def _create_digest(
    transition: Transition,
    records: tuple[MemberRecord, ...],
    reports: tuple[MemberReport, ...],
    *,
    wants_reply: bool,
) -> Digest:
    return Digest(
        own=transition.own,
        records=records,
        reports=reports,
        table_hash=transition.table.content_hash,
        wants_reply=wants_reply,
    )

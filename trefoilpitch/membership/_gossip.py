"""Spreads records and reports between daemons."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from trefoilpitch.membership._draft import Draft
from trefoilpitch.membership._messages import (
    Digest,
    MemberRecord,
    MemberReport,
    SyncPage,
    SyncRequest,
)
from trefoilpitch.membership._nodes import MemberState
from trefoilpitch.membership._overlay import scatter
from trefoilpitch.membership._records import state_of
from trefoilpitch.membership._state import Peer


def send_heartbeats(draft: Draft) -> None:
    """Sends every neighbour a sign of life, news and some reports."""
    records = _take_rumours(draft)
    for peer in _present_neighbours(draft):
        extra = records
        if state_of(peer.record) is MemberState.SUSPECT:
            # Tells the neighbour what it has to refute.
            extra = (peer.record, *records)
        digest = _create_digest(
            draft, extra, _next_reports(draft), wants_answer=True
        )
        draft.send(peer.record.peer_address, digest)


def send_news(draft: Draft) -> None:
    """Sends changed records to the neighbours between heartbeats."""
    records = _take_rumours(draft)
    digest = _create_digest(draft, records, (), wants_answer=False)
    for peer in _present_neighbours(draft):
        draft.send(peer.record.peer_address, digest)


def try_seed(draft: Draft) -> None:
    """Tries an address of the VM list at which no member is known."""
    if draft.now_ms < draft.timers.next_seed_ms:
        return
    settings = draft.settings
    known = {draft.own.peer_address}
    for name in draft.table.names:
        known.add(draft.peers[name].record.peer_address)
    tried = draft.seeding.tried
    if tried is not None and tried not in known:
        draft.disconnect(tried)
    interval_ms = settings.seed_interval_ms
    if len(known) == 1:
        interval_ms = settings.lonely_seed_interval_ms
    draft.set_timers(next_seed_ms=draft.now_ms + interval_ms)
    draft.seeding = dataclasses.replace(draft.seeding, tried=None)
    unknown = [a for a in draft.seeding.addresses if a not in known]
    if not unknown:
        return
    cursor = draft.seeding.cursor
    address = unknown[cursor % len(unknown)]
    draft.seeding = dataclasses.replace(
        draft.seeding, tried=address, cursor=cursor + 1
    )
    draft.send(address, _create_digest(draft, (), (), wants_answer=True))


def receive_digest(
    draft: Draft, sender: str, address: str, digest: Digest
) -> None:
    """Takes in a heartbeat, an answer or news."""
    _merge_sender(draft, sender, digest.own)
    for record in digest.records:
        draft.merge(record)
    for report in digest.reports:
        draft.merge_report(report)
    if digest.wants_answer and sender not in draft.before.table.neighbours:
        records = _known_of(draft, sender)
        answer = _create_digest(
            draft, records, _next_reports(draft), wants_answer=False
        )
        draft.send(address, answer)
    _compare_tables(draft, address, digest.table_hash)


def receive_sync_request(
    draft: Draft, address: str, request: SyncRequest
) -> None:
    """Answers with one page of the table."""
    later = sorted(
        name
        for name, peer in draft.peers.items()
        if name > request.after and peer.is_confirmed
    )
    names = later[: draft.settings.page_records]
    is_last = len(later) == len(names)
    draft.send(
        address,
        SyncPage(
            records=tuple(draft.peers[name].record for name in names),
            next_after="" if is_last else names[-1],
        ),
        urgent=True,
    )


def receive_page(draft: Draft, address: str, page: SyncPage) -> None:
    """Takes in one page and asks for the next."""
    for record in page.records:
        draft.merge(record)
    if page.next_after:
        draft.send(address, SyncRequest(page.next_after), urgent=True)
        return
    _settle(draft)


def _present_neighbours(draft: Draft) -> Iterator[Peer]:
    for name in draft.before.table.neighbours:
        peer = draft.peers.get(name)
        if peer is None or state_of(peer.record) is MemberState.GONE:
            continue
        yield peer


def _merge_sender(draft: Draft, sender: str, record: MemberRecord) -> None:
    if record.name != sender:
        return
    peer = draft.peers.get(sender)
    draft.merge(record)
    if peer is None or peer.record.incarnation != record.incarnation:
        return
    if state_of(peer.record) is MemberState.GONE:
        # It doesn't know yet that it has to refute this.
        draft.send(
            record.peer_address,
            _create_digest(draft, (peer.record,), (), wants_answer=False),
        )


def _known_of(draft: Draft, name: str) -> tuple[MemberRecord, ...]:
    peer = draft.peers.get(name)
    return () if peer is None else (peer.record,)


def _compare_tables(draft: Draft, address: str, table_hash: int) -> None:
    if table_hash == draft.before.table.digest:
        draft.set_timers(sync_due_ms=None)
        _settle(draft)
        return
    settings = draft.settings
    is_settled = draft.timers.unsettled_since_ms is None
    due_ms = draft.timers.sync_due_ms
    if due_ms is None:
        due_ms = draft.now_ms + (settings.sync_delay_ms if is_settled else 0)
        draft.set_timers(sync_due_ms=due_ms)
    began_ms = draft.timers.sync_began_ms
    if began_ms is not None:
        gap_ms = settings.unsettled_sync_interval_ms
        if is_settled:
            gap_ms = settings.sync_interval_ms
        due_ms = max(due_ms, began_ms + gap_ms)
    if draft.now_ms >= due_ms:
        draft.set_timers(sync_began_ms=draft.now_ms, sync_due_ms=None)
        draft.send(address, SyncRequest(after=""), urgent=True)


def _settle(draft: Draft) -> None:
    draft.set_timers(unsettled_since_ms=None)


def _take_rumours(draft: Draft) -> tuple[MemberRecord, ...]:
    chosen = sorted(
        draft.rumours, key=lambda name: (-draft.rumours[name], name)
    )[: draft.settings.max_records]
    records: list[MemberRecord] = []
    for name in chosen:
        draft.rumours[name] -= 1
        if not draft.rumours[name]:
            del draft.rumours[name]
        # The own record is part of every digest.
        if name != draft.own.name and draft.peers[name].is_confirmed:
            records.append(draft.peers[name].record)
    return tuple(records)


def _next_reports(draft: Draft) -> tuple[MemberReport, ...]:
    names = draft.table.names
    count = min(len(names), draft.settings.max_reports)
    number = draft.digests_sent
    draft.digests_sent = number + 1
    # A start that moved on evenly could give each neighbour the same part of
    # the table again and again.
    start = scatter(draft.own.name, number)
    reports: list[MemberReport] = []
    for offset in range(count):
        peer = draft.peers[names[(start + offset) % len(names)]]
        if peer.is_confirmed:
            reports.append(peer.record.report)
    return tuple(reports)


def _create_digest(
    draft: Draft,
    records: tuple[MemberRecord, ...],
    reports: tuple[MemberReport, ...],
    *,
    wants_answer: bool,
) -> Digest:
    return Digest(
        own=draft.own,
        records=records,
        reports=reports,
        table_hash=draft.table.digest,
        wants_answer=wants_answer,
    )

"""Finds out which members are alive."""

from __future__ import annotations

from trefoilpitch.membership._draft import Draft
from trefoilpitch.membership._messages import (
    Probe,
    ProbeAnswer,
    ProbeRequest,
)
from trefoilpitch.membership._nodes import MemberState
from trefoilpitch.membership._overlay import rank_helpers
from trefoilpitch.membership._records import DEPARTED, state_of
from trefoilpitch.membership._state import Peer


def note_pause(draft: Draft) -> None:
    """Blames a long gap between ticks on this daemon, not on its peers."""
    timers = draft.timers
    settings = draft.settings
    if draft.now_ms - timers.last_tick_ms > settings.pause_threshold_ms:
        draft.restart_timers()
        draft.set_timers(
            unsettled_since_ms=draft.now_ms,
            sync_due_ms=None,
            sync_began_ms=None,
            next_heartbeat_ms=draft.now_ms,
        )
        return
    since_ms = timers.unsettled_since_ms
    if since_ms is not None and (
        draft.now_ms - since_ms >= settings.settle_limit_ms
    ):
        draft.set_timers(unsettled_since_ms=None)


def advance_states(draft: Draft) -> None:
    """Ends suspicions that were not refuted and forgets gone members."""
    settings = draft.settings
    for name in draft.before.table.doubtful:
        peer = draft.peers[name]
        age_ms = draft.now_ms - peer.changed_ms
        state = state_of(peer.record)
        if state is MemberState.SUSPECT and age_ms >= settings.gone_after_ms:
            draft.conclude(name, MemberState.GONE)
        elif state is MemberState.GONE and age_ms >= _retention_ms(draft, peer):
            draft.forget(name)


def probe_silent_neighbours(draft: Draft) -> None:
    """Probes silent neighbours through others, then suspects them."""
    settings = draft.settings
    for name in draft.before.table.neighbours:
        peer = draft.peers.get(name)
        if peer is None or not _is_doubtable(peer):
            continue
        silence_ms = draft.now_ms - peer.heard_ms
        if silence_ms >= settings.suspect_after_ms:
            draft.conclude(name, MemberState.SUSPECT)
        elif silence_ms >= settings.probe_after_ms and _is_probe_due(
            draft, peer
        ):
            draft.probed(name)
            _ask_helpers(draft, peer)


def receive_probe_request(draft: Draft, request: ProbeRequest) -> None:
    """Probes a member for another one."""
    draft.send(
        request.target.peer_address,
        Probe(target=request.target, origin_address=request.origin_address),
        urgent=True,
    )


def receive_probe(draft: Draft, address: str, probe: Probe) -> None:
    """Gives a sign of life, with a refutation where one is needed."""
    if probe.target.name != draft.own.name:
        return
    draft.merge(probe.target)
    answer = ProbeAnswer(record=draft.own, origin_address=probe.origin_address)
    draft.send(address, answer, urgent=True)


def receive_probe_answer(draft: Draft, answer: ProbeAnswer) -> None:
    """Takes in a sign of life, or passes it on to who asked for it."""
    if answer.origin_address != draft.own.peer_address:
        draft.send(answer.origin_address, answer, urgent=True)
        return
    draft.merge(answer.record)
    peer = draft.peers.get(answer.record.name)
    if (
        peer is not None
        and peer.record.incarnation == answer.record.incarnation
    ):
        draft.heard(answer.record.name)


def _retention_ms(draft: Draft, peer: Peer) -> int:
    record = peer.record
    if (
        record.state != DEPARTED
        and record.peer_address in draft.seeding.addresses
    ):
        return draft.settings.listed_retention_ms
    return draft.settings.gone_retention_ms


def _is_doubtable(peer: Peer) -> bool:
    return state_of(peer.record) in (MemberState.ALIVE, MemberState.LEAVING)


def _is_probe_due(draft: Draft, peer: Peer) -> bool:
    if peer.probed_ms is None:
        return True
    interval_ms = draft.settings.heartbeat_interval_ms
    return draft.now_ms - peer.probed_ms >= interval_ms


def _ask_helpers(draft: Draft, peer: Peer) -> None:
    candidates = [
        name
        for name in draft.before.table.names
        if name != peer.record.name and _is_doubtable(draft.peers[name])
    ]
    salt = f"{peer.record.name}/{draft.now_ms}"
    helpers = rank_helpers(salt, candidates)[: draft.settings.probe_helpers]
    request = ProbeRequest(
        target=peer.record, origin_address=draft.own.peer_address
    )
    for name in helpers:
        address = draft.peers[name].record.peer_address
        draft.send(address, request, urgent=True)

"""Detects failed members by heartbeat time-outs and indirect probes."""

from __future__ import annotations

from trefoilpitch.membership._messages import (
    Probe,
    ProbeReply,
    ProbeRequest,
)
from trefoilpitch.membership._nodes import MemberState
from trefoilpitch.membership._overlay import shuffle_names
from trefoilpitch.membership._records import DEPARTED, state_of
from trefoilpitch.membership._state import Peer
from trefoilpitch.membership._transition import Transition


def detect_pause(transition: Transition) -> None:
    """Resets all observations if this daemon itself was paused.

    A long gap between ticks means that the daemon did not run. Without the
    reset it would suspect every peer whose heartbeats it missed. Also ends an
    unsettled period that reached its time limit.
    """
    timers = transition.timers
    settings = transition.settings
    if transition.now_ms - timers.last_tick_ms > settings.pause_threshold_ms:
        transition.reset_observations()
        transition.set_timers(
            unsettled_since_ms=transition.now_ms,
            sync_due_ms=None,
            sync_began_ms=None,
            next_heartbeat_ms=transition.now_ms,
        )
        return
    since_ms = timers.unsettled_since_ms
    if since_ms is not None and (
        transition.now_ms - since_ms >= settings.settle_limit_ms
    ):
        transition.set_timers(unsettled_since_ms=None)


def advance_states(transition: Transition) -> None:
    """Declares unrefuted suspects gone and removes expired gone members."""
    settings = transition.settings
    for name in transition.previous.table.unhealthy:
        peer = transition.peers[name]
        age_ms = transition.now_ms - peer.state_changed_ms
        state = state_of(peer.record)
        if state is MemberState.SUSPECT and age_ms >= settings.gone_after_ms:
            transition.set_observed_state(name, MemberState.GONE)
        elif state is MemberState.GONE and age_ms >= _retention_ms(
            transition, peer
        ):
            transition.remove(name)


def probe_silent_neighbours(transition: Transition) -> None:
    """Probes silent neighbours indirectly, then marks them as suspect."""
    settings = transition.settings
    for name in transition.previous.table.neighbours:
        peer = transition.peers.get(name)
        if peer is None or not _can_become_suspect(peer):
            continue
        silence_ms = transition.now_ms - peer.last_seen_ms
        if silence_ms >= settings.suspect_after_ms:
            transition.set_observed_state(name, MemberState.SUSPECT)
        elif silence_ms >= settings.probe_after_ms and _is_probe_due(
            transition, peer
        ):
            transition.record_probe(name)
            _request_indirect_probes(transition, peer)


def receive_probe_request(
    transition: Transition, request: ProbeRequest
) -> None:
    """Probes a member on behalf of the request's origin."""
    transition.send(
        request.target.peer_address,
        Probe(target=request.target, origin_address=request.origin_address),
        urgent=True,
    )


def receive_probe(transition: Transition, address: str, probe: Probe) -> None:
    """Replies with this daemon's own record, refuting a wrong state."""
    if probe.target.name != transition.own.name:
        return
    transition.merge_record(probe.target)
    reply = ProbeReply(
        record=transition.own, origin_address=probe.origin_address
    )
    transition.send(address, reply, urgent=True)


def receive_probe_reply(transition: Transition, reply: ProbeReply) -> None:
    """Records contact with the probed member, or relays the reply."""
    if reply.origin_address != transition.own.peer_address:
        transition.send(reply.origin_address, reply, urgent=True)
        return
    transition.merge_record(reply.record)
    peer = transition.peers.get(reply.record.name)
    if peer is not None and peer.record.incarnation == reply.record.incarnation:
        transition.record_contact(reply.record.name)


def _retention_ms(transition: Transition, peer: Peer) -> int:
    record = peer.record
    if (
        record.state != DEPARTED
        and record.peer_address in transition.seed_state.addresses
    ):
        return transition.settings.listed_retention_ms
    return transition.settings.gone_retention_ms


def _can_become_suspect(peer: Peer) -> bool:
    return state_of(peer.record) in (MemberState.ALIVE, MemberState.LEAVING)


def _is_probe_due(transition: Transition, peer: Peer) -> bool:
    if peer.last_probe_ms is None:
        return True
    interval_ms = transition.settings.heartbeat_interval_ms
    return transition.now_ms - peer.last_probe_ms >= interval_ms


def _request_indirect_probes(transition: Transition, peer: Peer) -> None:
    candidates = [
        name
        for name in transition.previous.table.names
        if name != peer.record.name
        and _can_become_suspect(transition.peers[name])
    ]
    salt = f"{peer.record.name}/{transition.now_ms}"
    helpers = shuffle_names(salt, candidates)[
        : transition.settings.indirect_probe_helpers
    ]
    request = ProbeRequest(
        target=peer.record, origin_address=transition.own.peer_address
    )
    for name in helpers:
        address = transition.peers[name].record.peer_address
        transition.send(address, request, urgent=True)

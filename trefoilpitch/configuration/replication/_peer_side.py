"""Synchronizes a replica with its peers."""

from __future__ import annotations

from types import MappingProxyType

from returns.result import Success

from trefoilpitch.configuration._codec import decode_delta, encode_delta
from trefoilpitch.configuration._deltas import Delta
from trefoilpitch.configuration.replication._adopt import (
    adopt_deltas,
)
from trefoilpitch.configuration.replication._events import PeerNode
from trefoilpitch.configuration.replication._fetch import (
    expire_fetch,
    on_snapshot_page,
    on_snapshot_request,
)
from trefoilpitch.configuration.replication._freshness import is_confirmed
from trefoilpitch.configuration.replication._links import plan_links
from trefoilpitch.configuration.replication._messages import (
    DomainContact,
    ReplicaMessage,
    RevisionProbe,
    RevisionReply,
    SnapshotPage,
    SnapshotRequest,
)
from trefoilpitch.configuration.replication._state import (
    Contact,
    OutstandingProbe,
)
from trefoilpitch.configuration.replication._transition import Transition

# Relays probed at once when the first peers are known.
_FIRST_PROBES = 3


def on_peers_changed(
    transition: Transition, peers: tuple[PeerNode, ...]
) -> None:
    """Chooses the peers to probe from a new membership view."""
    state, settings = transition.state, transition.state.settings
    if peers == state.peers:
        return
    own = PeerNode(
        name=settings.name,
        failure_domain=settings.failure_domain,
        address=settings.address,
    )
    links = plan_links(own, peers, settings.relays_per_domain)
    domains = {peer.failure_domain for peer in peers}
    transition.update(
        joined_ms=transition.now_ms
        if state.joined_ms is None
        else state.joined_ms,
        peers=peers,
        links=links,
        known_domains=state.known_domains | domains,
        has_domain_peer=state.has_domain_peer or own.failure_domain in domains,
    )
    if not state.peers:
        for node in links.relays[:_FIRST_PROBES]:
            transition.probe(node.address, is_urgent=True)


def on_message(
    transition: Transition, address: str, message: ReplicaMessage
) -> None:
    """Handles a message from a peer."""
    match message:
        case RevisionProbe():
            _on_probe(transition, address, message)
        case RevisionReply():
            _on_reply(transition, address, message)
        case SnapshotRequest():
            on_snapshot_request(transition, address, message)
        case SnapshotPage():
            on_snapshot_page(transition, address, message)


def tick_peers(transition: Transition) -> None:
    """Times out probes and pages, and sends the probes that are due."""
    _expire_probes(transition)
    expire_fetch(transition)
    if transition.now_ms >= transition.state.next_probe_ms:
        _send_due_probes(transition)


def _send_due_probes(transition: Transition) -> None:
    state, settings = transition.state, transition.state.settings
    links = state.links
    interval_ms = settings.probe_interval_ms
    if links.is_relay or _awaits_confirmation(transition):
        interval_ms = settings.relay_probe_interval_ms
    probe_number = state.probe_round
    transition.update(
        next_probe_ms=transition.now_ms + interval_ms,
        probe_round=probe_number + 1,
    )
    if links.relays:
        index = probe_number if links.is_relay else state.relay_offset
        transition.probe(links.relays[index % len(links.relays)].address)
    is_cross_domain_due = (
        probe_number % settings.probes_per_cross_domain_probe == 0
    )
    if links.cross_domain_peer and is_cross_domain_due:
        transition.probe(links.cross_domain_peer.address)


def _awaits_confirmation(transition: Transition) -> bool:
    """Returns whether this node probes often to confirm its revision.

    That is so for a while after it read or wrote the revision in the store,
    as it may then be the node that committed it.
    """
    state = transition.state
    if transition.now_ms >= state.confirming_until_ms:
        return False
    return not is_confirmed(state, state.revision)


def _expire_probes(transition: Transition) -> None:
    state = transition.state
    oldest_ms = transition.now_ms - state.settings.probe_timeout_ms
    live = tuple(p for p in state.outstanding if p.sent_ms > oldest_ms)
    lost = [p for p in state.outstanding if p.sent_ms <= oldest_ms]
    if not lost:
        return
    transition.update(outstanding=live)
    transition.count(probes_lost=len(lost))
    relays = state.links.relays
    if state.links.is_relay or not relays:
        return
    current = relays[state.relay_offset % len(relays)].address
    if any(probe.address == current for probe in lost):
        transition.update(relay_offset=state.relay_offset + 1)


def _on_probe(
    transition: Transition, address: str, probe: RevisionProbe
) -> None:
    # Recorded before replying: the reply confirms to the sender that this
    # node has learned of its revision.
    transition.record_head(probe.revision, address)
    state, now_ms = transition.state, transition.now_ms
    proof_age_ms = None if state.proven_ms is None else now_ms - state.proven_ms
    reply = RevisionReply(
        nonce=probe.nonce,
        revision=state.revision,
        digest=state.digest,
        head_revision=state.known_revision,
        proof_age_ms=proof_age_ms,
        contacts=_reported_contacts(transition),
        deltas=_encode_deltas_since(transition, probe.revision),
    )
    transition.send(address, reply)


def _reported_contacts(transition: Transition) -> tuple[DomainContact, ...]:
    state, now_ms = transition.state, transition.now_ms
    own = Contact(last_contact_ms=now_ms, revision=state.known_revision)
    contacts = {**state.contacts, state.settings.failure_domain: own}
    reported: list[DomainContact] = []
    for domain in sorted(state.known_domains):
        contact = contacts.get(domain)
        reported.append(
            DomainContact(
                failure_domain=domain,
                age_ms=now_ms - contact.last_contact_ms if contact else None,
                revision=contact.revision if contact else 0,
            )
        )
    return tuple(reported)


def _encode_deltas_since(
    transition: Transition, revision: int
) -> tuple[bytes, ...]:
    log = transition.state.log
    if not log or not log[0].revision <= revision + 1 <= log[-1].revision:
        return ()
    return tuple(
        encode_delta(delta) for delta in log if delta.revision > revision
    )


def _on_reply(
    transition: Transition, address: str, reply: RevisionReply
) -> None:
    probe = _pop_outstanding(transition, address, reply.nonce)
    if probe:
        _record_contacts(transition, probe, reply)
    mismatches = transition.state.counters.digest_mismatches
    if reply.revision > transition.state.revision:
        deltas = _decode_deltas(transition, reply.deltas)
        if deltas:
            adopt_deltas(transition, deltas, reply.revision, reply.digest)
    # Either side may have diverged; if the store is available, it decides.
    is_mismatch = transition.state.counters.digest_mismatches > mismatches
    use_store = is_mismatch and transition.state.read_failures == 0
    transition.record_head(reply.revision, "" if use_store else address)
    if transition.state.revision < reply.revision:
        transition.update(probed_revision=reply.revision)
    transition.record_head(reply.head_revision)
    if reply.revision == transition.state.revision:
        _compare_digests(transition, probe, reply)


def _compare_digests(
    transition: Transition, probe: OutstandingProbe | None, reply: RevisionReply
) -> None:
    """Adopts the proof of a peer with the same digest.

    Reads the head at once if the digests differ.
    """
    if reply.digest != transition.state.digest:
        transition.count(divergences=1)
        transition.update(
            next_read_ms=min(transition.state.next_read_ms, transition.now_ms)
        )
    elif probe and reply.proof_age_ms is not None:
        transition.record_proof(probe.sent_ms - reply.proof_age_ms)


def _pop_outstanding(
    transition: Transition, address: str, nonce: int
) -> OutstandingProbe | None:
    for probe in transition.state.outstanding:
        if (probe.address, probe.nonce) == (address, nonce):
            left = tuple(p for p in transition.state.outstanding if p != probe)
            transition.update(outstanding=left)
            return probe
    return None


def _record_contacts(
    transition: Transition, probe: OutstandingProbe, reply: RevisionReply
) -> None:
    contacts = dict(transition.state.contacts)
    for reported in reply.contacts:
        if reported.age_ms is None:
            continue
        last_contact_ms = probe.sent_ms - reported.age_ms
        new = Contact(
            last_contact_ms=last_contact_ms, revision=reported.revision
        )
        known = contacts.get(reported.failure_domain, new)
        contacts[reported.failure_domain] = Contact(
            last_contact_ms=max(known.last_contact_ms, new.last_contact_ms),
            revision=max(known.revision, new.revision),
        )
    domains = {reported.failure_domain for reported in reply.contacts}
    transition.update(
        contacts=MappingProxyType(contacts),
        known_domains=transition.state.known_domains | domains,
    )


def _decode_deltas(
    transition: Transition, encoded: tuple[bytes, ...]
) -> list[Delta]:
    deltas: list[Delta] = []
    for data in encoded:
        decoded = decode_delta(data)
        if not isinstance(decoded, Success):
            transition.count(damaged=1)
            return []
        deltas.append(decoded.unwrap())
    return deltas

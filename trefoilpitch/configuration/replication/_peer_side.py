"""How a replica learns from its peers and teaches them."""

from __future__ import annotations

from types import MappingProxyType

from returns.result import Success

from trefoilpitch.configuration._codec import decode_delta, encode_delta
from trefoilpitch.configuration._deltas import Delta
from trefoilpitch.configuration.replication._adopt import (
    adopt_deltas,
)
from trefoilpitch.configuration.replication._draft import Draft
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

# Peers asked at once when the first membership view arrives.
_FIRST_PROBES = 3


def on_peers_changed(draft: Draft, peers: tuple[PeerNode, ...]) -> None:
    """Chooses whom to ask from now on."""
    state, settings = draft.state, draft.state.settings
    if peers == state.peers:
        return
    own = PeerNode(
        name=settings.name,
        failure_domain=settings.failure_domain,
        address=settings.address,
    )
    links = plan_links(own, peers, settings.relays_per_domain)
    domains = {peer.failure_domain for peer in peers}
    draft.update(
        joined_ms=draft.now_ms if state.joined_ms is None else state.joined_ms,
        peers=peers,
        links=links,
        known_domains=state.known_domains | domains,
        has_company=state.has_company or own.failure_domain in domains,
    )
    if not state.peers:
        for node in links.relays[:_FIRST_PROBES]:
            draft.probe(node.address, is_urgent=True)


def on_message(draft: Draft, address: str, message: ReplicaMessage) -> None:
    """Handles a message of a peer."""
    match message:
        case RevisionProbe():
            _on_probe(draft, address, message)
        case RevisionReply():
            _on_answer(draft, address, message)
        case SnapshotRequest():
            on_snapshot_request(draft, address, message)
        case SnapshotPage():
            on_snapshot_page(draft, address, message)


def tick_peers(draft: Draft) -> None:
    """Gives up on what was lost and sends the probe that is due."""
    _expire_probes(draft)
    expire_fetch(draft)
    if draft.now_ms >= draft.state.next_probe_ms:
        _send_due_probes(draft)


def _send_due_probes(draft: Draft) -> None:
    state, settings = draft.state, draft.state.settings
    links = state.links
    interval_ms = settings.probe_interval_ms
    if links.is_relay or _awaits_confirmation(draft):
        interval_ms = settings.relay_probe_interval_ms
    turn = state.probe_turn
    draft.update(next_probe_ms=draft.now_ms + interval_ms, probe_turn=turn + 1)
    if links.relays:
        index = turn if links.is_relay else state.relay_offset
        draft.probe(links.relays[index % len(links.relays)].address)
    is_neighbours_turn = turn % settings.probes_per_neighbour_probe == 0
    if links.neighbour and is_neighbours_turn:
        draft.probe(links.neighbour.address)


def _awaits_confirmation(draft: Draft) -> bool:
    """Tells whether this node may have committed the revision in force."""
    state = draft.state
    if draft.now_ms >= state.confirming_until_ms:
        return False
    return not is_confirmed(state, state.revision)


def _expire_probes(draft: Draft) -> None:
    state = draft.state
    oldest_ms = draft.now_ms - state.settings.probe_timeout_ms
    live = tuple(p for p in state.outstanding if p.sent_ms > oldest_ms)
    lost = [p for p in state.outstanding if p.sent_ms <= oldest_ms]
    if not lost:
        return
    draft.update(outstanding=live)
    draft.count(probes_lost=len(lost))
    relays = state.links.relays
    if state.links.is_relay or not relays:
        return
    current = relays[state.relay_offset % len(relays)].address
    if any(probe.address == current for probe in lost):
        draft.update(relay_offset=state.relay_offset + 1)


def _on_probe(draft: Draft, address: str, probe: RevisionProbe) -> None:
    # Noted before answering: the answer confirms that it was heard here.
    draft.note_head(probe.revision, address)
    state, now_ms = draft.state, draft.now_ms
    proof_age_ms = None if state.proven_ms is None else now_ms - state.proven_ms
    answer = RevisionReply(
        nonce=probe.nonce,
        revision=state.revision,
        digest=state.digest,
        head_revision=state.known_revision,
        proof_age_ms=proof_age_ms,
        contacts=_contacts(draft),
        deltas=_encode_deltas_since(draft, probe.revision),
    )
    draft.send(address, answer)


def _contacts(draft: Draft) -> tuple[DomainContact, ...]:
    state, now_ms = draft.state, draft.now_ms
    own = Contact(heard_ms=now_ms, revision=state.known_revision)
    contacts = {**state.contacts, state.settings.failure_domain: own}
    told: list[DomainContact] = []
    for domain in sorted(state.known_domains):
        contact = contacts.get(domain)
        told.append(
            DomainContact(
                failure_domain=domain,
                age_ms=now_ms - contact.heard_ms if contact else None,
                revision=contact.revision if contact else 0,
            )
        )
    return tuple(told)


def _encode_deltas_since(draft: Draft, revision: int) -> tuple[bytes, ...]:
    log = draft.state.log
    if not log or not log[0].revision <= revision + 1 <= log[-1].revision:
        return ()
    return tuple(
        encode_delta(delta) for delta in log if delta.revision > revision
    )


def _on_answer(draft: Draft, address: str, answer: RevisionReply) -> None:
    probe = _take_outstanding(draft, address, answer.nonce)
    if probe:
        _note_contacts(draft, probe, answer)
    mismatches = draft.state.counters.digest_mismatches
    if answer.revision > draft.state.revision:
        deltas = _decode_deltas(draft, answer.deltas)
        if deltas:
            adopt_deltas(draft, deltas, answer.revision, answer.digest)
    # Either side may have diverged; the store decides if it can be asked.
    is_doubtful = draft.state.counters.digest_mismatches > mismatches
    ask_store = is_doubtful and draft.state.read_failures == 0
    draft.note_head(answer.revision, "" if ask_store else address)
    if draft.state.revision < answer.revision:
        draft.update(probed_revision=answer.revision)
    draft.note_head(answer.head_revision)
    if answer.revision == draft.state.revision:
        _compare(draft, probe, answer)


def _compare(
    draft: Draft, probe: OutstandingProbe | None, answer: RevisionReply
) -> None:
    """Takes over the proof of a peer that has the same configuration."""
    if answer.digest != draft.state.digest:
        draft.count(divergences=1)
        draft.update(next_read_ms=min(draft.state.next_read_ms, draft.now_ms))
    elif probe and answer.proof_age_ms is not None:
        draft.prove(probe.sent_ms - answer.proof_age_ms)


def _take_outstanding(
    draft: Draft, address: str, nonce: int
) -> OutstandingProbe | None:
    for probe in draft.state.outstanding:
        if (probe.address, probe.nonce) == (address, nonce):
            left = tuple(p for p in draft.state.outstanding if p != probe)
            draft.update(outstanding=left)
            return probe
    return None


def _note_contacts(
    draft: Draft, probe: OutstandingProbe, answer: RevisionReply
) -> None:
    contacts = dict(draft.state.contacts)
    for told in answer.contacts:
        if told.age_ms is None:
            continue
        heard_ms = probe.sent_ms - told.age_ms
        new = Contact(heard_ms=heard_ms, revision=told.revision)
        known = contacts.get(told.failure_domain, new)
        contacts[told.failure_domain] = Contact(
            heard_ms=max(known.heard_ms, new.heard_ms),
            revision=max(known.revision, new.revision),
        )
    domains = {told.failure_domain for told in answer.contacts}
    draft.update(
        contacts=MappingProxyType(contacts),
        known_domains=draft.state.known_domains | domains,
    )


def _decode_deltas(draft: Draft, encoded: tuple[bytes, ...]) -> list[Delta]:
    deltas: list[Delta] = []
    for data in encoded:
        decoded = decode_delta(data)
        if not isinstance(decoded, Success):
            draft.count(damaged=1)
            return []
        deltas.append(decoded.unwrap())
    return deltas

"""Chooses the peers that a replica probes, and the relays.

Relays are the nodes of a failure domain that watch the store. The choice is
made by rendezvous hashing over the membership view. Nodes with different
views may choose differently, which only costs a few extra messages: relays
are not elected, and any number of them may watch at once.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Sequence

import xxhash

from trefoilpitch.configuration.replication._events import PeerNode


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Links:
    """The peers that a node exchanges probes with."""

    # Whether the node watches the store.
    is_relay: bool = False
    # Relays to probe, best rank first. A relay probes all of them in turn;
    # any other node probes one and moves to the next when it does not reply.
    relays: tuple[PeerNode, ...] = ()
    # A node of another failure domain that a node which is no relay probes
    # every few rounds; None for relays.
    cross_domain_peer: PeerNode | None = None
    # Nodes whose first relay is this node; empty unless it is a relay.
    clients: tuple[PeerNode, ...] = ()


def plan_links(
    own: PeerNode, peers: Sequence[PeerNode], relays_per_domain: int
) -> Links:
    """Returns the peers that a node exchanges probes with.

    Args:
        own: The node itself.
        peers: Every other node.
        relays_per_domain: Number of relays in each failure domain.
    """
    relays = _choose_relays((own, *peers), relays_per_domain)
    own_relays = relays[own.failure_domain]
    if own not in own_relays:
        outside = [
            peer for peer in peers if peer.failure_domain != own.failure_domain
        ]
        ranked_outside = _rank(own.name, outside)
        return Links(
            relays=_rank(own.name, own_relays),
            cross_domain_peer=ranked_outside[0] if ranked_outside else None,
        )
    others = [relay for relay in own_relays if relay != own]
    for domain, members in relays.items():
        if domain != own.failure_domain:
            others.append(_rank(own.name, members)[0])
    clients = [
        peer
        for peer in peers
        if peer.failure_domain == own.failure_domain
        and peer not in own_relays
        and _rank(peer.name, own_relays)[0] == own
    ]
    return Links(is_relay=True, relays=tuple(others), clients=tuple(clients))


def _choose_relays(
    nodes: Iterable[PeerNode], relays_per_domain: int
) -> dict[str, tuple[PeerNode, ...]]:
    by_domain: dict[str, list[PeerNode]] = {}
    for node in nodes:
        by_domain.setdefault(node.failure_domain, []).append(node)
    return {
        domain: _rank(domain, by_domain[domain])[:relays_per_domain]
        for domain in sorted(by_domain)
    }


def _rank(key: str, nodes: Iterable[PeerNode]) -> tuple[PeerNode, ...]:
    """Orders nodes by rendezvous hash with a key, highest score first."""

    def score(node: PeerNode) -> tuple[int, str]:
        text = f"{key}/{node.name}"
        return xxhash.xxh3_64_intdigest(text.encode()), node.name

    return tuple(sorted(nodes, key=score, reverse=True))

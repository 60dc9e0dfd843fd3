"""The bounded subset of a pool's upstreams that a node follows."""

from __future__ import annotations

import math
from collections.abc import Iterable

import xxhash

from trefoilpitch.bundle import Upstream

DEFAULT_SUBSET_SIZE = 12
# Nodes that should follow an upstream on average, so that none has no one.
_MEAN_FOLLOWERS = 16


def subset_size(
    upstreams: int, nodes: int, least: int = DEFAULT_SUBSET_SIZE
) -> int:
    """Returns how many upstreams of a pool a node follows.

    Args:
        upstreams: The pool's size.
        nodes: Nodes in the fleet.
        least: Upstreams to follow even if fewer would cover the pool.
    """
    covering = math.ceil(_MEAN_FOLLOWERS * upstreams / max(nodes, 1))
    return max(covering, least)


def followed_upstreams(
    node: str,
    upstreams: Iterable[Upstream],
    size: int = DEFAULT_SUBSET_SIZE,
) -> tuple[Upstream, ...]:
    """Chooses the upstreams of one pool that a node follows.

    Rendezvous hashing: a node's choice depends only on its own name, and one
    upstream coming or going changes at most one place. Failure domains take
    turns, so that the subset spans all of them.

    Args:
        node: The node's name.
        upstreams: The pool's members.
        size: The most upstreams to follow.

    Returns:
        At most ``size`` upstreams; all of them when there are no more.
    """
    by_domain: dict[str, list[tuple[int, Upstream]]] = {}
    for upstream in upstreams:
        rank = _rank(node, upstream.name)
        by_domain.setdefault(upstream.failure_domain, []).append(
            (rank, upstream)
        )
    placed = []
    for domain, members in by_domain.items():
        members.sort(key=lambda member: member[0])
        tie_break = _rank(node, domain)
        for turn, (_, upstream) in enumerate(members[:size]):
            placed.append((turn, tie_break, upstream))
    placed.sort(key=lambda place: place[:2])
    return tuple(upstream for _, _, upstream in placed[:size])


def _rank(node: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{node}\0{name}".encode())

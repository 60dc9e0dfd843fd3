"""Choice of the bounded subset of each pool that a node follows."""

from __future__ import annotations

import math
from collections.abc import Iterable

import xxhash

from trefoilpitch.bundle import Upstream

DEFAULT_SUBSET_SIZE = 12
# Nodes that follow each upstream on average. Subsets are chosen by hashing,
# so the mean has to be well above one to leave no upstream without a follower.
_MEAN_FOLLOWERS = 16


def subset_size(
    upstreams: int, nodes: int, min_size: int = DEFAULT_SUBSET_SIZE
) -> int:
    """Returns the number of upstreams of a pool that a node follows.

    Args:
        upstreams: The number of upstreams in the pool.
        nodes: The number of nodes in the fleet.
        min_size: Smallest subset, even if a smaller one would cover the pool.
    """
    covering = math.ceil(_MEAN_FOLLOWERS * upstreams / max(nodes, 1))
    return max(covering, min_size)


def followed_upstreams(
    node: str,
    upstreams: Iterable[Upstream],
    size: int = DEFAULT_SUBSET_SIZE,
) -> tuple[Upstream, ...]:
    """Chooses the upstreams of one pool that a node follows.

    Uses rendezvous hashing: the subset depends only on the node's name and
    the members, and adding or removing one upstream replaces at most one
    member of the subset. The failure domains are taken in rotation, so that
    the subset spans all of them.

    Args:
        node: The node's name.
        upstreams: The pool's members.
        size: Size of the subset.

    Returns:
        ``size`` upstreams, or all of them when there are fewer.
    """
    by_domain: dict[str, list[tuple[int, Upstream]]] = {}
    for upstream in upstreams:
        score = _hash_score(node, upstream.name)
        by_domain.setdefault(upstream.failure_domain, []).append(
            (score, upstream)
        )
    ranked = []
    for domain, members in by_domain.items():
        members.sort(key=lambda member: member[0])
        tie_break = _hash_score(node, domain)
        for domain_rank, (_, upstream) in enumerate(members[:size]):
            ranked.append((domain_rank, tie_break, upstream))
    ranked.sort(key=lambda entry: entry[:2])
    return tuple(upstream for _, _, upstream in ranked[:size])


def _hash_score(node: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{node}\0{name}".encode())

"""Which members a daemon exchanges heartbeats with.

Members are placed on a few rings, each in its own pseudo-random order; a
daemon's neighbours are those before and after it on every ring. With equal
views the relation is symmetric, and the graph is connected and of low
diameter whatever the number of members.
"""

from __future__ import annotations

import functools
from collections.abc import Iterable

import xxhash

_SEEDS = 1 << 32


def choose_neighbours(
    own_name: str, names: Iterable[str], rings: int
) -> tuple[str, ...]:
    """Returns the neighbours of a member, sorted by name.

    Args:
        own_name: The member itself.
        names: Every other member that is not gone.
        rings: Number of rings; there are at most two neighbours a ring.
    """
    everyone = {own_name, *names}
    neighbours: set[str] = set()
    for ring in range(rings):
        order = sorted(everyone, key=functools.partial(_position, ring))
        index = order.index(own_name)
        neighbours.add(order[index - 1])
        neighbours.add(order[(index + 1) % len(order)])
    neighbours.discard(own_name)
    return tuple(sorted(neighbours))


@functools.lru_cache(maxsize=16_384)
def _position(ring: int, name: str) -> tuple[int, str]:
    return (xxhash.xxh64_intdigest(name.encode(), seed=ring), name)


def rank_helpers(salt: str, names: Iterable[str]) -> list[str]:
    """Returns names in a pseudo-random order that depends on the salt."""
    return sorted(
        names, key=lambda name: xxhash.xxh32_intdigest((salt + name).encode())
    )


def scatter(name: str, number: int) -> int:
    """Returns the pseudo-random value of a member for a number."""
    value: int = xxhash.xxh32_intdigest(name.encode(), seed=number % _SEEDS)
    return value

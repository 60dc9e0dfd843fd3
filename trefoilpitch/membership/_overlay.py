"""Selects the neighbours that a daemon exchanges heartbeats with.

Members are arranged on several rings, each in its own pseudo-random order. A
daemon's neighbours are its predecessor and successor on every ring. If all
daemons know the same members, the relation is symmetric and the graph is
connected, with a low diameter at any fleet size.
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
        own_name: The member whose neighbours to return.
        names: Every other member that is not gone.
        rings: Number of rings; each adds at most two neighbours.
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


def shuffle_names(salt: str, names: Iterable[str]) -> list[str]:
    """Returns the names in a pseudo-random order determined by the salt."""
    return sorted(
        names, key=lambda name: xxhash.xxh32_intdigest((salt + name).encode())
    )


def pseudo_random_value(name: str, number: int) -> int:
    """Returns a 32-bit pseudo-random value determined by name and number."""
    value: int = xxhash.xxh32_intdigest(name.encode(), seed=number % _SEEDS)
    return value

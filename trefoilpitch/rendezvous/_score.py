"""Rendezvous (highest random weight) scores."""

from __future__ import annotations

import functools
from collections.abc import Iterable

import xxhash

_HASH_MASK = (1 << 64) - 1
# Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio. It is odd,
# so the multiplication loses no information.
_HASH_FACTOR = 0x9E3779B97F4A7C15


def score(key: str, name: str) -> int:
    """Returns the weight of a name for a key, a 64-bit number.

    The name with the highest score owns the key. Adding or removing a name
    therefore moves only the keys that this name gains or loses.
    """
    mixed = (_hash(key) ^ _hash(name)) * _HASH_FACTOR
    mixed &= _HASH_MASK
    # Mixes the high bits, which depend on the whole product, into the low ones.
    return (mixed ^ mixed >> 32) * _HASH_FACTOR & _HASH_MASK


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns the names sorted by their score for the key, highest first."""
    return sorted(names, key=lambda name: score(key, name), reverse=True)


@functools.lru_cache(maxsize=16_384)
def _hash(name: str) -> int:
    digest: int = xxhash.xxh64_intdigest(name.encode())
    return digest

"""Scores of names for a key."""

from __future__ import annotations

import functools
from collections.abc import Iterable

import xxhash

_HASH_MASK = (1 << 64) - 1
# An odd constant with well spread bits, from the golden ratio.
_HASH_FACTOR = 0x9E3779B97F4A7C15


def score(key: str, name: str) -> int:
    """Returns how well a name fits a key; the highest score is chosen.

    A name that joins or leaves moves only the keys that it wins or held.
    """
    mixed = (_hash(key) ^ _hash(name)) * _HASH_FACTOR
    mixed &= _HASH_MASK
    # The high bits depend on all of the product.
    return (mixed ^ mixed >> 32) * _HASH_FACTOR & _HASH_MASK


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns the names with the best one for the key first."""
    return sorted(names, key=lambda name: score(key, name), reverse=True)


@functools.lru_cache(maxsize=16_384)
def _hash(name: str) -> int:
    digest: int = xxhash.xxh64_intdigest(name.encode())
    return digest

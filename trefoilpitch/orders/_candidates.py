"""Selects the members that are candidates for a scope's lease."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from trefoilpitch.orders._scope import EngineScope


def candidate_scopes(
    scopes: Iterable[EngineScope],
    members: Iterable[str],
    member: str,
    *,
    candidates: int,
) -> tuple[EngineScope, ...]:
    """Returns the scopes for whose leases a member is a candidate.

    Members with different membership views may select more or other
    candidates. This is safe, since only one candidate can hold the lease.

    Args:
        scopes: Every scope.
        members: The names of all members, this one included.
        member: This member's name.
        candidates: Number of candidates for each lease.
    """
    names = sorted(set(members))
    return tuple(
        scope
        for scope in scopes
        if member in _ranked(scope, names)[:candidates]
    )


def _ranked(scope: EngineScope, names: list[str]) -> list[str]:
    """Ranks the members by rendezvous hashing, the most preferred first."""
    return sorted(
        names,
        key=lambda name: _score(scope, name),
        reverse=True,
    )


def _score(scope: EngineScope, name: str) -> int:
    text = f"{scope.lease_key}/{name}"
    score: int = xxhash.xxh64_intdigest(text.encode())
    return score

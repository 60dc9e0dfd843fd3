"""Chooses which members are candidates for a scope's lease."""

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

    Members that know different memberships may choose differently: the lease
    decides among however many candidates there are.

    Args:
        scopes: Every scope.
        members: The names of the members, this one included.
        member: The member's name.
        candidates: Candidates for each lease, the holder included.
    """
    names = sorted(set(members))
    return tuple(
        scope
        for scope in scopes
        if member in _ranked(scope, names)[:candidates]
    )


def _ranked(scope: EngineScope, names: list[str]) -> list[str]:
    """Orders the members by rendezvous hash, the most preferred first."""
    return sorted(
        names,
        key=lambda name: _score(scope, name),
        reverse=True,
    )


def _score(scope: EngineScope, name: str) -> int:
    text = f"{scope.lease_key}/{name}"
    score: int = xxhash.xxh64_intdigest(text.encode())
    return score

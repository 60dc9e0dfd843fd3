"""Decides whether a replica's configuration is fresh enough for new work.

A node must not start work by a configuration that was replaced more than a few
seconds ago. It may start work if it has a recent proof that its revision was
the head. Without that proof it may do so while it has contact with most
failure domains and none of them knows of a higher revision: a change counts
as accepted only once most failure domains have learned of it, and any two
majorities share a failure domain.
"""

from __future__ import annotations

import enum
from collections.abc import Set

from trefoilpitch.configuration.replication._state import ReplicaState


class Standing(enum.Enum):
    """Whether a replica's configuration is known to be the newest."""

    # It has not caught up with the store and its peers since the start.
    STARTING = "starting"
    # There is a recent proof that no higher revision was the head.
    CURRENT = "current"
    # There is no recent proof, as the store is unavailable, but there is
    # contact with most failure domains, so that no change can be accepted
    # without this node learning of it.
    STORE_LOST = "store_lost"
    # A higher revision has been known for ``max_behind_ms`` without being in
    # force here, or was first learned of after a time without proof or contact.
    BEHIND = "behind"
    # Neither the store nor most failure domains are reachable.
    CUT_OFF = "cut_off"

    @property
    def admits_new_work(self) -> bool:
        """Whether the node may start new work."""
        return self in (Standing.CURRENT, Standing.STORE_LOST)


def standing(state: ReplicaState, now_ms: int) -> Standing:
    """Returns whether the configuration is known to be the newest."""
    if not state.is_ready:
        return Standing.STARTING
    if has_fresh_proof(state, now_ms):
        return Standing.CURRENT
    if _is_behind_too_long(state, now_ms):
        return Standing.BEHIND
    if has_majority_contact(state, now_ms):
        return Standing.STORE_LOST
    return Standing.CUT_OFF


def may_accept_changes(state: ReplicaState, now_ms: int) -> bool:
    """Returns whether operators may commit changes through this node.

    It needs a recent proof, and contact with most failure domains, which have
    to confirm the change.
    """
    if not state.is_ready or not has_fresh_proof(state, now_ms):
        return False
    return has_majority_contact(state, now_ms)


def is_confirmed(state: ReplicaState, revision: int) -> bool:
    """Returns whether most failure domains have learned of a revision.

    Only then is a change accepted: any other node either learns of it within
    seconds or refuses new work.
    """
    expected = expected_domains(state)
    confirmed = {
        domain
        for domain in expected
        if domain in state.contacts
        and state.contacts[domain].revision >= revision
    }
    if state.known_revision >= revision:
        confirmed |= expected & {state.settings.failure_domain}
    return _is_majority(confirmed, expected)


def is_caught_up(state: ReplicaState, now_ms: int) -> bool:
    """Returns whether a starting replica has the highest known revision.

    The store and the peers must have been queried and have responded or timed
    out, and the highest revision they returned must be in force.
    """
    if state.joined_ms is None or not state.has_read or state.is_behind:
        return False
    joined_for_ms = now_ms - state.joined_ms
    if state.outstanding and joined_for_ms < state.settings.probe_timeout_ms:
        return False
    return has_fresh_proof(state, now_ms) or has_majority_contact(state, now_ms)


def has_fresh_proof(state: ReplicaState, now_ms: int) -> bool:
    """Returns whether the proof is at most ``freshness_ms`` old."""
    if state.proven_ms is None:
        return False
    return now_ms - state.proven_ms <= state.settings.freshness_ms


def has_majority_contact(state: ReplicaState, now_ms: int) -> bool:
    """Returns whether most expected failure domains were reached recently.

    The own failure domain counts if another node in it was reached, or if no
    other node was ever observed there.
    """
    expected = expected_domains(state)
    reachable = {
        domain
        for domain in expected
        if _has_recent_contact(state, domain, now_ms)
    }
    return _is_majority(reachable, expected)


def expected_domains(state: ReplicaState) -> frozenset[str]:
    """Returns the failure domains that count towards a majority.

    These are the known ones that are in service and that the bundle lists; a
    misspelt name in a node's settings would otherwise count for ever. If the
    bundle lists none of them, all known ones in service count.
    """
    bundle = state.configuration.bundle
    expected = state.known_domains - state.configuration.failure_domains_out
    named = expected.intersection(bundle.failure_domains if bundle else ())
    return named or expected


def _is_majority(members: Set[str], expected: Set[str]) -> bool:
    return len(members) * 2 > len(expected) or not expected


def _has_recent_contact(state: ReplicaState, domain: str, now_ms: int) -> bool:
    if domain == state.settings.failure_domain and not state.has_domain_peer:
        return True
    contact = state.contacts.get(domain)
    if contact is None:
        return False
    return now_ms - contact.last_contact_ms <= state.settings.freshness_ms


def _is_behind_too_long(state: ReplicaState, now_ms: int) -> bool:
    if state.behind_since_ms is None:
        return False
    if not state.was_current_until_behind:
        return True
    return now_ms - state.behind_since_ms > state.settings.max_behind_ms

"""Whether a replica may be relied on for new work.

A node must not start work by a configuration that was replaced more than a few
seconds ago. It may start work if it can prove that its revision was the head
lately. It may do so without that proof while it hears from most failure
domains and none of them has heard of a higher revision: a change counts as
accepted only when most failure domains have heard of it, and two majorities
share a failure domain.
"""

from __future__ import annotations

import enum
from collections.abc import Set

from trefoilpitch.configuration.replication._state import ReplicaState


class Standing(enum.Enum):
    """How well a replica knows that its configuration is in force."""

    # It has not caught up since the start.
    STARTING = "starting"
    # It proved lately that no higher revision was accepted.
    CURRENT = "current"
    # The store is out of reach, but most failure domains are heard, so that
    # no change can be accepted without its hearing of it.
    STORE_LOST = "store_lost"
    # It knows of a higher revision and could not get it for too long.
    BEHIND = "behind"
    # Neither the store nor most failure domains are in reach.
    CUT_OFF = "cut_off"

    @property
    def admits_new_work(self) -> bool:
        """Whether new work may be started."""
        return self in (Standing.CURRENT, Standing.STORE_LOST)


def standing(state: ReplicaState, now_ms: int) -> Standing:
    """Returns how well a replica knows that its configuration is in force."""
    if not state.is_ready:
        return Standing.STARTING
    if has_fresh_proof(state, now_ms):
        return Standing.CURRENT
    if _is_behind_too_long(state, now_ms):
        return Standing.BEHIND
    if hears_majority(state, now_ms):
        return Standing.STORE_LOST
    return Standing.CUT_OFF


def may_accept_changes(state: ReplicaState, now_ms: int) -> bool:
    """Tells whether this node may commit changes for operators.

    It must hear from most failure domains, or the change could not be
    confirmed by them.
    """
    if not state.is_ready or not has_fresh_proof(state, now_ms):
        return False
    return hears_majority(state, now_ms)


def is_confirmed(state: ReplicaState, revision: int) -> bool:
    """Tells whether most failure domains have heard of a revision.

    Only then is a change accepted for good: whoever has not heard of it either
    learns of it within seconds or refuses new work.
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
    """Tells whether a starting replica has the highest revision there is.

    Both the store and the peers must have been asked and have answered or
    failed to, and the higher of what they told must be in force.
    """
    if state.joined_ms is None or not state.has_read or state.is_behind:
        return False
    joined_for_ms = now_ms - state.joined_ms
    if state.outstanding and joined_for_ms < state.settings.probe_timeout_ms:
        return False
    return has_fresh_proof(state, now_ms) or hears_majority(state, now_ms)


def has_fresh_proof(state: ReplicaState, now_ms: int) -> bool:
    """Tells whether the proof of the revision in force is recent enough."""
    if state.proven_ms is None:
        return False
    return now_ms - state.proven_ms <= state.settings.freshness_ms


def hears_majority(state: ReplicaState, now_ms: int) -> bool:
    """Tells whether most failure domains in service were heard lately.

    The own failure domain counts if another node in it was heard, or if there
    never was another one.
    """
    expected = expected_domains(state)
    heard = {domain for domain in expected if _is_heard(state, domain, now_ms)}
    return _is_majority(heard, expected)


def expected_domains(state: ReplicaState) -> frozenset[str]:
    """Returns the failure domains of which most must be heard.

    Those that hold daemons, are in service, and stand in the bundle, lest a
    misspelt one counts for ever.
    """
    bundle = state.configuration.bundle
    expected = state.known_domains - state.configuration.failure_domains_out
    named = expected.intersection(bundle.failure_domains if bundle else ())
    return named or expected


def _is_majority(some: Set[str], expected: Set[str]) -> bool:
    return len(some) * 2 > len(expected) or not expected


def _is_heard(state: ReplicaState, domain: str, now_ms: int) -> bool:
    if domain == state.settings.failure_domain and not state.has_company:
        return True
    contact = state.contacts.get(domain)
    if contact is None:
        return False
    return now_ms - contact.heard_ms <= state.settings.freshness_ms


def _is_behind_too_long(state: ReplicaState, now_ms: int) -> bool:
    if state.behind_since_ms is None:
        return False
    return now_ms - state.behind_since_ms > state.settings.max_behind_ms

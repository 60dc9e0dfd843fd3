"""Verifies received deltas and snapshots and puts them in force."""

from __future__ import annotations

from collections.abc import Sequence

from returns.result import Failure

from trefoilpitch.configuration._codec import (
    decode_snapshot,
    digest_of,
    encode_snapshot,
)
from trefoilpitch.configuration._deltas import Delta, apply_deltas
from trefoilpitch.configuration._nodes import Configuration
from trefoilpitch.configuration._plan import trim_deltas
from trefoilpitch.configuration.replication._events import (
    ApplyConfiguration,
    PeerNode,
)
from trefoilpitch.configuration.replication._transition import (
    Source,
    Transition,
)


def adopt_deltas(
    transition: Transition, deltas: Sequence[Delta], revision: int, digest: str
) -> bool:
    """Applies all of the deltas up to a revision, or none.

    Args:
        transition: The current step.
        deltas: Deltas in any order; those already applied are skipped.
        revision: The revision after the last delta.
        digest: The digest of that revision.

    Returns:
        Whether the revision is now in force.
    """
    new = _sort_new(transition.state.revision, deltas)
    expected = range(transition.state.revision + 1, revision + 1)
    if [delta.revision for delta in new] != list(expected):
        transition.count(gaps=1)
        return False
    applied = apply_deltas(transition.state.configuration, new)
    if isinstance(applied, Failure):
        return False
    configuration = applied.unwrap()
    encoded = encode_snapshot(configuration)
    if digest_of(encoded) != digest:
        transition.count(digest_mismatches=1)
        return False
    log = trim_deltas(
        (*transition.state.log, *new), transition.state.settings.max_log_bytes
    )
    _put_in_force(transition, configuration, encoded, digest, log)
    transition.count(deltas_applied=len(new))
    return True


def adopt_snapshot(transition: Transition, data: bytes, digest: str) -> bool:
    """Puts a snapshot in force if its revision is higher.

    Applies the deltas of the store's head on top of it.

    Returns:
        Whether the snapshot's revision, or a higher one, is now in force.
    """
    decoded = decode_snapshot(data, digest)
    if isinstance(decoded, Failure):
        transition.count(digest_mismatches=1)
        return False
    configuration = decoded.unwrap()
    if configuration.revision > transition.state.revision:
        _put_in_force(transition, configuration, data, digest, ())
    adopt_head_deltas(transition)
    return True


def repair_from_snapshot(
    transition: Transition, data: bytes, digest: str
) -> None:
    """Replaces a diverged configuration with the store's.

    Applies the head's deltas to the snapshot; ignores the result if its
    revision is lower than the one in force.
    """
    decoded = decode_snapshot(data, digest)
    head = transition.state.head
    if isinstance(decoded, Failure) or head is None:
        transition.count(digest_mismatches=1)
        return
    applied = apply_deltas(decoded.unwrap(), head.deltas)
    if isinstance(applied, Failure):
        return
    configuration = applied.unwrap()
    encoded = encode_snapshot(configuration)
    if configuration.revision < transition.state.revision:
        return
    if digest_of(encoded) != head.digest:
        transition.count(digest_mismatches=1)
        return
    _put_in_force(transition, configuration, encoded, head.digest, ())


def adopt_head_deltas(transition: Transition) -> None:
    """Applies the head's deltas if they follow the revision in force."""
    head = transition.state.head
    if head is None or head.revision <= transition.state.revision:
        return
    if not transition.state.settings.max_log_bytes:
        return
    if head.covers(transition.state.revision):
        adopt_deltas(transition, head.deltas, head.revision, head.digest)


def _sort_new(revision: int, deltas: Sequence[Delta]) -> list[Delta]:
    new = {
        delta.revision: delta for delta in deltas if delta.revision > revision
    }
    return [new[key] for key in sorted(new)]


def _put_in_force(
    transition: Transition,
    configuration: Configuration,
    encoded: bytes,
    digest: str,
    log: tuple[Delta, ...],
) -> None:
    if configuration.revision < transition.state.revision:
        raise ValueError("a replica's revision must not decrease")
    transition.update(
        configuration=configuration, snapshot=encoded, digest=digest, log=log
    )
    state = transition.state
    if state.head_revision <= configuration.revision:
        transition.update(
            head_revision=configuration.revision,
            behind_since_ms=None,
            peer_ahead="",
        )
    transition.count(adoptions=1)
    transition.add_action(ApplyConfiguration(configuration))
    _probe_outdated_nodes(transition)


def _probe_outdated_nodes(transition: Transition) -> None:
    """Probes the nodes that are likely to lack the new revision.

    A probe carries the sender's revision, so it also notifies its receiver.
    """
    if transition.source is Source.READ:
        until_ms = transition.now_ms + transition.state.settings.confirmation_ms
        transition.update(confirming_until_ms=until_ms)
    for node in (
        *_relays_to_notify(transition),
        *transition.state.links.clients,
    ):
        transition.probe(node.address, is_urgent=True)


def _relays_to_notify(transition: Transition) -> tuple[PeerNode, ...]:
    links = transition.state.links
    if transition.source is Source.WATCH:
        return ()
    if not links.is_relay:
        return links.relays[:1]
    if transition.source is Source.READ:
        return links.relays
    own_domain = transition.state.settings.failure_domain
    return tuple(
        relay for relay in links.relays if relay.failure_domain == own_domain
    )

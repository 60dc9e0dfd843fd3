"""Turns what arrives into the configuration in force, after verifying it."""

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
from trefoilpitch.configuration.replication._draft import Draft, Source
from trefoilpitch.configuration.replication._events import (
    ApplyConfiguration,
    PeerNode,
)


def adopt_deltas(
    draft: Draft, deltas: Sequence[Delta], revision: int, digest: str
) -> bool:
    """Applies deltas that lead to a revision, all of them or none.

    Args:
        draft: The step.
        deltas: Deltas in any order; those in force already are left out.
        revision: The revision that they lead to.
        digest: The digest of that revision.

    Returns:
        Whether the revision is now in force.
    """
    new = _sort_new(draft.state.revision, deltas)
    expected = range(draft.state.revision + 1, revision + 1)
    if [delta.revision for delta in new] != list(expected):
        draft.count(gaps=1)
        return False
    applied = apply_deltas(draft.state.configuration, new)
    if isinstance(applied, Failure):
        return False
    configuration = applied.unwrap()
    encoded = encode_snapshot(configuration)
    if digest_of(encoded) != digest:
        draft.count(digest_mismatches=1)
        return False
    log = trim_deltas(
        (*draft.state.log, *new), draft.state.settings.max_log_bytes
    )
    _put_in_force(draft, configuration, encoded, digest, log)
    draft.count(deltas_applied=len(new))
    return True


def adopt_snapshot(draft: Draft, data: bytes, digest: str) -> bool:
    """Puts a snapshot in force unless it is older than what is.

    Returns:
        Whether the snapshot's revision, or a higher one, is now in force.
    """
    decoded = decode_snapshot(data, digest)
    if isinstance(decoded, Failure):
        draft.count(digest_mismatches=1)
        return False
    configuration = decoded.unwrap()
    if configuration.revision > draft.state.revision:
        _put_in_force(draft, configuration, data, digest, ())
    adopt_head_deltas(draft)
    return True


def repair_from_snapshot(draft: Draft, data: bytes, digest: str) -> None:
    """Replaces a diverged configuration by the store's of that revision."""
    decoded = decode_snapshot(data, digest)
    head = draft.state.head
    if isinstance(decoded, Failure) or head is None:
        draft.count(digest_mismatches=1)
        return
    applied = apply_deltas(decoded.unwrap(), head.deltas)
    if isinstance(applied, Failure):
        return
    configuration = applied.unwrap()
    encoded = encode_snapshot(configuration)
    if configuration.revision < draft.state.revision:
        return
    if digest_of(encoded) != head.digest:
        draft.count(digest_mismatches=1)
        return
    _put_in_force(draft, configuration, encoded, head.digest, ())


def adopt_head_deltas(draft: Draft) -> None:
    """Applies the store's newest deltas if they follow what is in force."""
    head = draft.state.head
    if head is None or head.revision <= draft.state.revision:
        return
    if not draft.state.settings.max_log_bytes:
        return
    if head.covers(draft.state.revision):
        adopt_deltas(draft, head.deltas, head.revision, head.digest)


def _sort_new(revision: int, deltas: Sequence[Delta]) -> list[Delta]:
    new = {
        delta.revision: delta for delta in deltas if delta.revision > revision
    }
    return [new[key] for key in sorted(new)]


def _put_in_force(
    draft: Draft,
    configuration: Configuration,
    encoded: bytes,
    digest: str,
    log: tuple[Delta, ...],
) -> None:
    if configuration.revision < draft.state.revision:
        raise ValueError("a replica never goes to a lower revision")
    draft.update(
        configuration=configuration, snapshot=encoded, digest=digest, log=log
    )
    state = draft.state
    if state.head_revision <= configuration.revision:
        draft.update(
            head_revision=configuration.revision,
            behind_since_ms=None,
            informant="",
        )
    draft.count(adoptions=1)
    draft.act(ApplyConfiguration(configuration))
    _spread(draft)


def _spread(draft: Draft) -> None:
    """Probes those who are likely to lack the revision just put in force."""
    if draft.source is Source.READ:
        until_ms = draft.now_ms + draft.state.settings.confirmation_ms
        draft.update(confirming_until_ms=until_ms)
    for node in (*_relays_to_tell(draft), *draft.state.links.clients):
        draft.probe(node.address, is_urgent=True)


def _relays_to_tell(draft: Draft) -> tuple[PeerNode, ...]:
    links = draft.state.links
    if draft.source is Source.WATCH:
        return ()
    if not links.is_relay:
        return links.relays[:1]
    if draft.source is Source.READ:
        return links.relays
    own_domain = draft.state.settings.failure_domain
    return tuple(
        relay for relay in links.relays if relay.failure_domain == own_domain
    )

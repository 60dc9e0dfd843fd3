"""What replicas of the configuration tell each other.

Each answer is counted from the probe that asked for it, so that a message
which was held up on its way never looks fresher than it is. Messages are
arrays without field names, since a relay exchanges some twenty a second.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from trefoilpitch.peering import PayloadKind


class RevisionProbe(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Asks a peer for its revision, and tells the own one."""

    # Matches the answer to the probe.
    nonce: int
    # The sender's revision.
    revision: int


class DomainContact(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """How long ago somebody in a failure domain was heard, and of what."""

    # The failure domain.
    failure_domain: str
    # The age of the contact in milliseconds; None if there was none, and the
    # failure domain is only known to exist.
    age_ms: int | None
    # The highest revision that somebody there was known to have heard of.
    revision: int


class RevisionReply(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Answers a probe, with the deltas that its sender lacks."""

    # The probe's.
    nonce: int
    # The sender's revision.
    revision: int
    # SHA-256 of that revision's encoding, in hexadecimal.
    digest: str
    # The highest revision that the sender has heard of.
    head_revision: int
    # Age of the sender's proof that its revision was the head; None if it
    # has none.
    proof_age_ms: int | None
    # Every failure domain that the sender knows of, its own among them.
    contacts: tuple[DomainContact, ...]
    # Encoded deltas from the probe's revision to the sender's; empty if the
    # sender does not keep them all.
    deltas: tuple[bytes, ...] = ()


class SnapshotRequest(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """Asks for a page of a peer's configuration."""

    # Digest of the snapshot that is being read; empty for the newest.
    digest: str
    # The offset of the page in bytes.
    offset: int


class SnapshotPage(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One page of an encoded configuration."""

    # The revision of the snapshot.
    revision: int
    # SHA-256 of the whole snapshot, in hexadecimal.
    digest: str
    # The offset of the page in bytes; 0 if another snapshot was asked for.
    offset: int
    # The size of the whole snapshot in bytes.
    total_bytes: int
    # The page.
    data: bytes


ReplicaMessage: TypeAlias = (
    RevisionProbe | RevisionReply | SnapshotRequest | SnapshotPage
)

PAYLOAD_KINDS = (
    PayloadKind("configuration.revision_probe", RevisionProbe),
    PayloadKind("configuration.revision_answer", RevisionReply),
    PayloadKind("configuration.snapshot_request", SnapshotRequest),
    PayloadKind("configuration.snapshot_page", SnapshotPage),
)

"""Messages between replicas of the configuration.

The receiver of a reply counts its ages from the time at which it sent the
probe, so that a delayed message never looks fresher than it is. Messages are
encoded as arrays without field names to keep them small: a relay exchanges
about twenty a second.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from trefoilpitch.peering import PayloadKind


class RevisionProbe(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Queries a peer's revision and reports the sender's."""

    # Matches the reply to the probe.
    nonce: int
    # The sender's revision.
    revision: int


class DomainContact(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The last contact with any node of a failure domain."""

    # The failure domain's name.
    failure_domain: str
    # The age of the contact in milliseconds; None if the failure domain is
    # known but has never been reached.
    age_ms: int | None
    # The highest revision that a node there is known to have learned of; 0
    # if ``age_ms`` is None.
    revision: int


class RevisionReply(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Replies to a probe, with the deltas that the probing node lacks."""

    # The nonce of the probe.
    nonce: int
    # The sender's revision.
    revision: int
    # SHA-256 of that revision's encoding, in hexadecimal.
    digest: str
    # The highest revision that the sender knows of.
    head_revision: int
    # Age in milliseconds of the sender's proof that its revision was the
    # head; None if it has none.
    proof_age_ms: int | None
    # Every failure domain that the sender knows of, including its own.
    contacts: tuple[DomainContact, ...]
    # Encoded deltas from the probe's revision to the sender's; empty if the
    # sender's log does not hold all of them.
    deltas: tuple[bytes, ...] = ()


class SnapshotRequest(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """Requests a page of a peer's encoded configuration."""

    # Digest of the snapshot that is being fetched; empty for the newest.
    digest: str
    # The offset of the page in bytes.
    offset: int


class SnapshotPage(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One page of an encoded configuration."""

    # The revision of the snapshot.
    revision: int
    # SHA-256 of the whole snapshot, in hexadecimal.
    digest: str
    # The offset of the page in bytes; 0 if the requested digest is not the
    # sender's current one.
    offset: int
    # The size of the whole snapshot in bytes.
    total_bytes: int
    # The bytes of the page.
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

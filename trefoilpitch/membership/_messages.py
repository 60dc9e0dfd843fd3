"""Messages of the membership protocol.

Messages are encoded as arrays without field names to keep them small, since
each heartbeat carries several records.
"""

from __future__ import annotations

import msgspec

from trefoilpitch.peering import PayloadKind


class MemberReport(msgspec.Struct, frozen=True, array_like=True):
    """The frequently changing part of a member's record."""

    # The member's VM name.
    name: str
    # Hash of the incarnation, to discard reports of another incarnation.
    incarnation_hash: int
    # Increases with every report of the incarnation.
    version: int
    # In-flight requests relative to capacity, in thousandths.
    in_flight_permille: int
    # Revision of the configuration that the member applies.
    configuration_revision: int


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Identity, addresses, state and latest report of one member."""

    # The member's VM name.
    name: str
    # The process incarnation; a later one of the same VM sorts higher.
    incarnation: str
    # Increased by the member itself to change its state or to refute a state
    # that others observed. Within an incarnation, the higher value wins.
    refutation: int
    # A value of ``MemberState``, or ``departed``.
    state: str
    failure_domain: str
    # Each IP number and port.
    caller_address: str
    admin_address: str
    peer_address: str
    report: MemberReport


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat, a reply to one, or changed records between heartbeats."""

    # The sender's own record.
    own: MemberRecord
    # Recently changed records.
    records: tuple[MemberRecord, ...]
    # Reports of a rotating subset of the other members.
    reports: tuple[MemberReport, ...]
    # Hash of the sender's table, without gone members and reports.
    table_hash: int
    # Whether the receiver should reply if the sender is not its neighbour. To
    # neighbours it sends heartbeats anyway.
    wants_reply: bool


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a member to probe another one that the sender can't reach."""

    # The sender's record of the member to probe.
    target: MemberRecord
    # Peer address of the sender, to which the reply is relayed.
    origin_address: str


class Probe(msgspec.Struct, frozen=True, array_like=True):
    """An indirect probe, sent on behalf of another member."""

    # The origin's record of the probed member.
    target: MemberRecord
    # Peer address of the member that requested the probe.
    origin_address: str


class ProbeReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a probe, relayed to the origin by the probing member."""

    # The probed member's own record.
    record: MemberRecord
    # Peer address of the member that requested the probe.
    origin_address: str


class SyncRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests one page of the peer's member table."""

    # The last name already received; empty for the first page.
    after: str


class SyncPage(msgspec.Struct, frozen=True, array_like=True):
    """One page of the member table, sorted by name."""

    records: tuple[MemberRecord, ...]
    # The value of ``after`` for the next page; empty if this is the last.
    next_after: str


MembershipMessage = (
    Digest | ProbeRequest | Probe | ProbeReply | SyncRequest | SyncPage
)

PAYLOAD_KINDS = (
    PayloadKind("membership.digest", Digest),
    PayloadKind("membership.probe_request", ProbeRequest),
    PayloadKind("membership.probe", Probe),
    PayloadKind("membership.probe_answer", ProbeReply),
    PayloadKind("membership.sync_request", SyncRequest),
    PayloadKind("membership.sync_page", SyncPage),
)

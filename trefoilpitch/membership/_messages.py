"""Messages of the membership protocol.

Records travel in every message, so they are arrays without field names.
"""

from __future__ import annotations

import msgspec

from trefoilpitch.peering import PayloadKind


class MemberReport(msgspec.Struct, frozen=True, array_like=True):
    """The changing part of a member's record."""

    # The member's name.
    name: str
    # Distinguishes incarnations of the same name.
    incarnation_hash: int
    # Grows with every report of the incarnation.
    version: int
    # Share of the requests that it can serve at once, in thousandths.
    in_flight_permille: int
    # Revision of the configuration that it has in force.
    configuration_revision: int


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Everything about one member."""

    # The member's name.
    name: str
    # The process incarnation; a later one of the same VM sorts higher.
    incarnation: str
    # Grows whenever the member itself changes or corrects its state.
    refutation: int
    # A value of ``MemberState``.
    state: str
    # The failure domain that it runs in.
    failure_domain: str
    # Its addresses.
    caller_address: str
    admin_address: str
    peer_address: str
    # The changing part.
    report: MemberReport


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat, its answer, or news between heartbeats."""

    # The sender's own record.
    own: MemberRecord
    # Records that changed lately.
    records: tuple[MemberRecord, ...]
    # Reports of some other members, in turn.
    reports: tuple[MemberReport, ...]
    # Hash of the sender's table, without gone members and reports.
    table_hash: int
    # Whether a receiver that does not monitor the sender shall answer.
    wants_answer: bool


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a member to reach another one that the sender can't hear."""

    # The sender's record of the member in doubt.
    target: MemberRecord
    # Where the answer has to arrive in the end.
    origin_address: str


class Probe(msgspec.Struct, frozen=True, array_like=True):
    """Asks the member in doubt for a sign of life."""

    # What the origin believes of the member.
    target: MemberRecord
    # Where the answer has to arrive in the end.
    origin_address: str


class ProbeAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A sign of life, sent back the way the probe came."""

    # The member's own record.
    record: MemberRecord
    # Where the answer has to arrive in the end.
    origin_address: str


class SyncRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for one page of the table."""

    # The last name already received; empty for the first page.
    after: str


class SyncPage(msgspec.Struct, frozen=True, array_like=True):
    """One page of the table, in the order of names."""

    # Records of the page.
    records: tuple[MemberRecord, ...]
    # Where the next page starts; empty if this is the last.
    next_after: str


MembershipMessage = (
    Digest | ProbeRequest | Probe | ProbeAnswer | SyncRequest | SyncPage
)

PAYLOAD_KINDS = (
    PayloadKind("membership.digest", Digest),
    PayloadKind("membership.probe_request", ProbeRequest),
    PayloadKind("membership.probe", Probe),
    PayloadKind("membership.probe_answer", ProbeAnswer),
    PayloadKind("membership.sync_request", SyncRequest),
    PayloadKind("membership.sync_page", SyncPage),
)

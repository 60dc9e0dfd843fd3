"""Ordering, merging and conversion of member records."""

from __future__ import annotations

import functools

import msgspec
import xxhash

from trefoilpitch.membership._messages import MemberRecord, MemberReport
from trefoilpitch.membership._nodes import (
    Endpoints,
    Member,
    MemberState,
    Report,
)

_PERMILLE = 1000
# Wire value of the state of a member that announced its exit; shown to other
# subsystems as ``MemberState.GONE`` with ``has_departed``.
DEPARTED = "departed"
# A state observed by others outranks the member's own announcement with the
# same refutation number; the member refutes it with a higher number.
_RANKS = {
    MemberState.ALIVE.value: 0,
    MemberState.LEAVING.value: 0,
    MemberState.SUSPECT.value: 1,
    MemberState.GONE.value: 2,
    DEPARTED: 3,
}
_STATES = {state.value: state for state in MemberState}
_STATES[DEPARTED] = MemberState.GONE

Precedence = tuple[str, int, int]


def precedence(record: MemberRecord) -> Precedence:
    """Returns the key by which records are compared; the greater one wins.

    A state that this protocol version doesn't know ranks lowest.
    """
    rank = _RANKS.get(record.state, 0)
    return (record.incarnation, record.refutation, rank)


def state_of(record: MemberRecord) -> MemberState:
    """Returns the record's state, or SUSPECT for an unknown wire value."""
    return _STATES.get(record.state, MemberState.SUSPECT)


def with_state(record: MemberRecord, state: MemberState) -> MemberRecord:
    """Returns the record with a state observed by another member."""
    return msgspec.structs.replace(record, state=state.value)


def merge_records(known: MemberRecord, received: MemberRecord) -> MemberRecord:
    """Merges two records of the same member.

    The result does not depend on the order of merging, so daemons converge
    whatever order they receive records in.
    """
    newer, older = known, received
    if precedence(received) > precedence(known):
        newer, older = received, known
    if newer.incarnation != older.incarnation:
        return newer
    if older.report.version > newer.report.version:
        return msgspec.structs.replace(newer, report=older.report)
    return newer


def merge_report(known: MemberRecord, report: MemberReport) -> MemberRecord:
    """Applies a report to a record if it is newer, of the same incarnation."""
    if report.incarnation_hash != hash_incarnation(known.incarnation):
        return known
    if report.version <= known.report.version:
        return known
    return msgspec.structs.replace(known, report=report)


@functools.lru_cache(maxsize=4096)
def hash_incarnation(incarnation: str) -> int:
    """Returns the 32-bit hash of an incarnation that reports carry."""
    return xxhash.xxh32_intdigest(incarnation.encode())


def create_report(
    name: str, incarnation: str, version: int, report: Report
) -> MemberReport:
    """Builds the wire form of a report."""
    share = min(max(report.in_flight_share, 0.0), 1.0)
    return MemberReport(
        name=name,
        incarnation_hash=hash_incarnation(incarnation),
        version=version,
        in_flight_permille=round(share * _PERMILLE),
        configuration_revision=report.configuration_revision,
    )


def create_record(
    *,
    name: str,
    incarnation: str,
    failure_domain: str,
    endpoints: Endpoints,
) -> MemberRecord:
    """Builds the initial record of a new process incarnation."""
    return MemberRecord(
        name=name,
        incarnation=incarnation,
        refutation=0,
        state=MemberState.ALIVE.value,
        failure_domain=failure_domain,
        caller_address=endpoints.caller_address,
        admin_address=endpoints.admin_address,
        peer_address=endpoints.peer_address,
        report=create_report(name, incarnation, 0, Report()),
    )


def to_member(
    record: MemberRecord, *, report_ms: int, is_confirmed: bool
) -> Member:
    """Converts a record to its public form."""
    return Member(
        name=record.name,
        incarnation=record.incarnation,
        failure_domain=record.failure_domain,
        endpoints=Endpoints(
            caller_address=record.caller_address,
            admin_address=record.admin_address,
            peer_address=record.peer_address,
        ),
        state=state_of(record),
        report=Report(
            in_flight_share=record.report.in_flight_permille / _PERMILLE,
            configuration_revision=record.report.configuration_revision,
        ),
        report_ms=report_ms,
        is_confirmed=is_confirmed,
        has_departed=record.state == DEPARTED,
    )

"""The state of the membership protocol in one daemon."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from trefoilpitch.membership._messages import MemberRecord
from trefoilpitch.membership._nodes import Endpoints
from trefoilpitch.membership._records import create_record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """Intervals and limits of the protocol."""

    # Interval at which the owner sends ``Tick``.
    tick_interval_ms: int = 200
    # Interval between heartbeats to each neighbour.
    heartbeat_interval_ms: int = 1_000
    # Silence after which a neighbour is probed through other members.
    probe_after_ms: int = 1_500
    # Silence, also on indirect probes, after which a neighbour is suspect.
    suspect_after_ms: int = 3_000
    # Time after which a suspect that did not refute the suspicion is gone.
    gone_after_ms: int = 6_000
    # How long a gone member stays in the table.
    gone_retention_ms: int = 120_000
    # The same for a member that is still on the VM list and did not announce
    # its exit. Longer than network partitions between regions last.
    listed_retention_ms: int = 7_200_000
    # Gap between ticks above which the daemon is taken to have been paused.
    pause_threshold_ms: int = 2_000
    # Time after a start or a pause at which the view counts as settled even
    # if no peer's table could be compared or fetched.
    settle_limit_ms: int = 5_000
    # Interval between digests to VM list addresses without a known member.
    seed_interval_ms: int = 10_000
    # The same while no peer is known.
    isolated_seed_interval_ms: int = 1_000
    # How long the table hashes may differ before a peer's table is fetched.
    sync_delay_ms: int = 3_000
    # Minimum interval between two table fetches.
    sync_interval_ms: int = 15_000
    # The same while the view is unsettled.
    unsettled_sync_interval_ms: int = 1_000
    # Rings of the overlay; each adds at most two neighbours.
    rings: int = 3
    # Number of members that are asked to probe a silent neighbour.
    indirect_probe_helpers: int = 3
    # Number of times that a changed record is sent to every neighbour.
    update_transmissions: int = 2
    # Maximum number of changed records in one message.
    max_records_per_message: int = 16
    # Maximum number of other members' reports in one heartbeat.
    max_reports_per_heartbeat: int = 32
    # Number of records in one ``SyncPage``.
    sync_page_size: int = 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """Another member's record and this daemon's observations of it."""

    # Last known record of the member.
    record: MemberRecord
    # When this daemon last changed the member's state.
    state_changed_ms: int
    # When it last showed that it is alive, or became a neighbour.
    last_seen_ms: int
    # When its most recent report was received.
    report_ms: int
    # When it was last probed indirectly; None if not since ``last_seen_ms``.
    last_probe_ms: int | None = None
    # False from a pause of this daemon until it receives a message from the
    # member or a record of it that is not older than the known one.
    is_confirmed: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberTable:
    """Data derived from the states of all members."""

    # Names of the members that this daemon sends heartbeats to, sorted.
    neighbours: tuple[str, ...] = ()
    # Names of other members that are not gone, sorted.
    names: tuple[str, ...] = ()
    # Names of members that are suspect or gone.
    unhealthy: tuple[str, ...] = ()
    # Hash of the states of all members that are not gone, this one included.
    # Does not depend on their order.
    content_hash: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Timers:
    """Times of past and due actions, on the monotonic clock."""

    last_tick_ms: int
    next_heartbeat_ms: int
    # When the next VM list address is contacted.
    next_seed_ms: int
    # When the last message from a peer was received; None before the first.
    last_contact_ms: int | None = None
    # When a peer's table may be fetched; None while no difference is known.
    sync_due_ms: int | None = None
    # When the last table fetch began; None before the first.
    sync_began_ms: int | None = None
    # When the view became unsettled; None once it is settled.
    unsettled_since_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SeedState:
    """The VM list and the progress of contacting its addresses."""

    # Peer addresses from the VM list.
    addresses: tuple[str, ...] = ()
    # The address contacted last; disconnected at the next round if no member
    # is known there by then.
    last_contacted: str | None = None
    # Number of addresses contacted so far; selects the next one in rotation.
    cursor: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembershipState:
    """The complete, immutable state of the protocol."""

    settings: MembershipSettings
    # This daemon's own record.
    own: MemberRecord
    # Other members by name, gone ones until their retention period ends.
    peers: Mapping[str, Peer]
    # Remaining transmissions of each changed record, by member name.
    pending_updates: Mapping[str, int]
    table: MemberTable
    timers: Timers
    seed_state: SeedState
    # Number of report selections made so far; selects the next subset.
    report_selections: int = 0


def create_membership(
    *,
    name: str,
    incarnation: str,
    failure_domain: str,
    endpoints: Endpoints,
    now_ms: int,
    seeds: tuple[str, ...] = (),
    settings: MembershipSettings | None = None,
) -> MembershipState:
    """Builds the initial state of a daemon.

    Args:
        name: The VM's name.
        incarnation: From :func:`trefoilpitch.identity.create_incarnation`.
        failure_domain: The failure domain that the VM runs in.
        endpoints: The daemon's addresses.
        now_ms: Monotonic time.
        seeds: Peer addresses from the VM list.
        settings: Intervals and limits; the defaults if absent.
    """
    return MembershipState(
        settings=settings or MembershipSettings(),
        own=create_record(
            name=name,
            incarnation=incarnation,
            failure_domain=failure_domain,
            endpoints=endpoints,
        ),
        peers={},
        pending_updates={},
        table=MemberTable(),
        timers=Timers(
            last_tick_ms=now_ms,
            next_heartbeat_ms=now_ms,
            next_seed_ms=now_ms,
            unsettled_since_ms=now_ms,
        ),
        seed_state=SeedState(addresses=seeds),
    )

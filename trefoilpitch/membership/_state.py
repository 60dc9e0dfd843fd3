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

    # How often the owner sends ``Tick``.
    tick_interval_ms: int = 200
    # How often a heartbeat goes to each neighbour.
    heartbeat_interval_ms: int = 1_000
    # A neighbour silent this long is probed through other members.
    probe_after_ms: int = 1_500
    # A neighbour silent this long, directly and indirectly, is suspect.
    suspect_after_ms: int = 3_000
    # A member suspect this long without refuting it is gone.
    gone_after_ms: int = 6_000
    # How long gone members are remembered.
    gone_retention_ms: int = 120_000
    # The same while the VM list names a member that never announced its end;
    # longer than regions lose each other.
    listed_retention_ms: int = 7_200_000
    # A gap between ticks from which the daemon counts as paused.
    pause_threshold_ms: int = 2_000
    # How long a start or a pause may leave the view unsettled.
    settle_limit_ms: int = 5_000
    # How often an address of the VM list without a member is tried.
    seed_interval_ms: int = 10_000
    # The same while no peer is known.
    lonely_seed_interval_ms: int = 1_000
    # How long tables may differ before one is fetched from a peer.
    sync_delay_ms: int = 3_000
    # Shortest time between two such fetches.
    sync_interval_ms: int = 15_000
    # The same while the view is unsettled.
    unsettled_sync_interval_ms: int = 1_000
    # Rings of the overlay; neighbours number at most twice as many.
    rings: int = 3
    # Members asked to probe a silent neighbour.
    probe_helpers: int = 3
    # Heartbeats to every neighbour that carry a changed record.
    rumour_rounds: int = 2
    # Changed records in one message.
    max_records: int = 16
    # Reports of other members in one heartbeat.
    max_reports: int = 32
    # Records in one page of a fetched table.
    page_records: int = 32


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """Another member and what this daemon observed of it."""

    # What is believed of it.
    record: MemberRecord
    # When its state last changed here.
    changed_ms: int
    # When it last gave a sign of life, or began to be monitored.
    heard_ms: int
    # When its newest report arrived.
    report_ms: int
    # When it was last probed through others.
    probed_ms: int | None = None
    # False after a pause of this daemon until news of it arrives.
    is_confirmed: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Table:
    """What follows from the states of all members."""

    # Names of the members that heartbeats go to.
    neighbours: tuple[str, ...] = ()
    # Names of other members that are not gone, sorted.
    names: tuple[str, ...] = ()
    # Names of members that are suspect or gone.
    doubtful: tuple[str, ...] = ()
    # Hash over the states of all members that are not gone.
    digest: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Timers:
    """When things happened last or are due, on the monotonic clock."""

    # When the last tick came.
    last_tick_ms: int
    # When the next heartbeat is due.
    next_heartbeat_ms: int
    # When an address of the VM list is tried next.
    next_seed_ms: int
    # When a peer was last heard; ``None`` before the first.
    last_contact_ms: int | None = None
    # When a table may be fetched; ``None`` while no difference is known.
    sync_due_ms: int | None = None
    # When the last fetch of a table began.
    sync_began_ms: int | None = None
    # Since when the view is unsettled; ``None`` once it has caught up.
    unsettled_since_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Seeding:
    """The VM list and how far it was tried."""

    # Peer addresses from the VM list.
    addresses: tuple[str, ...] = ()
    # The address tried last, while unanswered.
    tried: str | None = None
    # Position of the address to try next.
    cursor: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembershipState:
    """Everything that the protocol remembers."""

    # Intervals and limits.
    settings: MembershipSettings
    # This daemon's own record.
    own: MemberRecord
    # Other members by name, gone ones included until forgotten.
    peers: Mapping[str, Peer]
    # Names of changed records and the rounds that still carry them.
    rumours: Mapping[str, int]
    # What follows from the states of all members.
    table: Table
    # When things happened last or are due.
    timers: Timers
    # The VM list.
    seeding: Seeding
    # Messages with reports sent so far.
    digests_sent: int = 0


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
    """Builds the state of a daemon that just started.

    Args:
        name: The VM's name.
        incarnation: From :func:`trefoilpitch.identity.create_incarnation`.
        failure_domain: The failure domain that the VM runs in.
        endpoints: Where the daemon is reached.
        now_ms: Monotonic time.
        seeds: Peer addresses from the VM list.
        settings: Intervals and limits.
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
        rumours={},
        table=Table(),
        timers=Timers(
            last_tick_ms=now_ms,
            next_heartbeat_ms=now_ms,
            next_seed_ms=now_ms,
            unsettled_since_ms=now_ms,
        ),
        seeding=Seeding(addresses=seeds),
    )

"""The state, settings and counters of a replica."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from types import MappingProxyType

from trefoilpitch.configuration._codec import digest_of, encode_snapshot
from trefoilpitch.configuration._deltas import Delta
from trefoilpitch.configuration._head import HeadRecord
from trefoilpitch.configuration._nodes import (
    EMPTY_CONFIGURATION,
    Configuration,
)
from trefoilpitch.configuration.replication._events import PeerNode
from trefoilpitch.configuration.replication._links import Links


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaSettings:
    """Settings of a replica; times in milliseconds."""

    # The VM's name.
    name: str
    # The failure domain that the VM is in.
    failure_domain: str
    # The address for messages of peers.
    address: str
    # Failure domains with entry VMs, as configured; those that peers are in
    # or report are added.
    failure_domains: tuple[str, ...] = ()
    # Nodes in each failure domain that watch the store.
    relays_per_domain: int = 4
    # Time between the probes of a node that is no relay.
    probe_interval_ms: int = 1_500
    # Time between the probes of a relay.
    relay_probe_interval_ms: int = 500
    # Every how many probes to its relay a node also probes its peer in
    # another failure domain.
    probes_per_cross_domain_probe: int = 4
    # Time after which a probe counts as lost.
    probe_timeout_ms: int = 1_000
    # Time after which a snapshot page is requested again.
    page_timeout_ms: int = 400
    # Requests for one page before the fetch from a peer is abandoned.
    page_attempts: int = 3
    # Time between a relay's reads of the head.
    read_interval_ms: int = 1_500
    # Time after which a read counts as failed.
    read_timeout_ms: int = 2_000
    # Upper limit of the back-off between reads of an unavailable store.
    max_read_interval_ms: int = 8_000
    # Age of the proof at which a node that is no relay reads the head itself.
    own_read_age_ms: int = 3_500
    # Maximum age of the proof, and of the contact with a failure domain.
    # Without a recent proof or contact with most failure domains, new work is
    # refused.
    freshness_ms: int = 5_000
    # How long a known higher revision may be missing before new work is
    # refused; a recent proof overrides this.
    max_behind_ms: int = 2_000
    # How long a node that may have committed a change probes at the relays'
    # interval, unless the change is confirmed earlier.
    confirmation_ms: int = 3_000
    # Total size of the deltas kept for peers; at 0 the replica neither
    # applies nor serves deltas, only snapshots.
    max_log_bytes: int = 32_768
    # Maximum size of a snapshot page.
    page_bytes: int = 32_768


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplicaCounters:
    """Counters since the start of the process."""

    # Configurations put in force.
    adoptions: int = 0
    # Deltas applied, without a snapshot.
    deltas_applied: int = 0
    # Reads of the head that were started, and those that failed.
    head_reads: int = 0
    head_read_failures: int = 0
    # Heads, read or watched, below the revision in force.
    stale_heads: int = 0
    # Watches that ended or could not be opened.
    watches_ended: int = 0
    # Probes sent, and those without a reply in time.
    probes_sent: int = 0
    probes_lost: int = 0
    # Received deltas that did not follow the revision in force.
    gaps: int = 0
    # Deltas or snapshots whose result did not have the digest sent with them.
    digest_mismatches: int = 0
    # Heads or deltas that could not be decoded.
    damaged: int = 0
    # Heads or replies of peers with the revision in force but another digest.
    divergences: int = 0
    # Snapshots applied from peers and from the store.
    peer_snapshots: int = 0
    store_snapshots: int = 0
    # Fetches from a peer that did not complete.
    abandoned_fetches: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutstandingProbe:
    """A probe that has not been replied to yet."""

    # The nonce of the probe.
    nonce: int
    # The peer's address.
    address: str
    # When the probe was sent.
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotFetch:
    """A snapshot that is being fetched from a peer, page by page."""

    # The peer's address.
    address: str
    # When the next page was last requested.
    requested_ms: int
    # The snapshot's digest; empty before the first page.
    digest: str = ""
    # The bytes received so far.
    data: bytes = b""
    # How often the next page has been requested.
    attempts: int = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Contact:
    """The last contact with a failure domain."""

    # When a node there was last reached, directly or as peers reported.
    last_contact_ms: int
    # The highest revision that a node there is known to have learned of.
    revision: int


def _no_contacts() -> Mapping[str, Contact]:
    return MappingProxyType({})


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplicaState:
    """The state of a replica; times are on its own monotonic clock."""

    settings: ReplicaSettings
    # The configuration in force; its revision never decreases.
    configuration: Configuration = EMPTY_CONFIGURATION
    # The configuration's encoding.
    snapshot: bytes
    # SHA-256 of the encoding, in hexadecimal.
    digest: str
    # The newest deltas, contiguous, ending with the revision in force; empty
    # after a snapshot.
    log: tuple[Delta, ...] = ()
    # The highest revision learned of.
    head_revision: int = 0
    # When a revision above the one in force was first learned of; None if
    # there is none.
    behind_since_ms: int | None = None
    # Whether new work was admitted until then. If not, the higher revision may
    # be much older.
    was_current_until_behind: bool = True
    # Address of a peer with a higher revision; empty if none is known.
    peer_ahead: str = ""
    # The highest revision for which a peer was probed for deltas.
    probed_revision: int = 0
    # The last time at which it is proven that no revision above the one in
    # force was the head; None before the first proof.
    proven_ms: int | None = None
    # The last contact with each failure domain that was reached.
    contacts: Mapping[str, Contact] = dataclasses.field(
        default_factory=_no_contacts
    )
    # Whether it has caught up with the store and its peers since the start.
    is_ready: bool = False
    # When the first membership view arrived; None before.
    joined_ms: int | None = None
    # Every other daemon; None before the first membership view.
    peers: tuple[PeerNode, ...] | None = None
    # Configured failure domains and those in which this node or its peers
    # have ever observed daemons.
    known_domains: frozenset[str] = frozenset()
    # Whether another daemon was ever observed in the own failure domain.
    has_domain_peer: bool = False
    # Peers to probe, and whether this node is a relay.
    links: Links = dataclasses.field(default_factory=Links)
    # The next probe's nonce.
    next_nonce: int = 0
    # When the next regular probe is due, and how many rounds there have been.
    next_probe_ms: int = 0
    probe_round: int = 0
    # Until when the node probes at the relays' interval for a confirmation.
    confirming_until_ms: int = 0
    # Index of the relay that a node probes, modulo their number; incremented
    # when that relay does not reply in time.
    relay_offset: int = 0
    # Probes without a reply, oldest first.
    outstanding: tuple[OutstandingProbe, ...] = ()
    # The fetch from a peer in progress; None if there is none.
    fetch: SnapshotFetch | None = None
    # The newest head received from the store.
    head: HeadRecord | None = None
    # When the latest read that returned no higher head than this one was
    # sent; None before the first.
    head_read_ms: int | None = None
    # When the pending read of the head was sent; None if there is none.
    read_sent_ms: int | None = None
    # Whether a read of the head has completed or failed.
    has_read: bool = False
    # When the next read of the head is due.
    next_read_ms: int = 0
    # Consecutive failed reads of the head.
    read_failures: int = 0
    # When the pending read of a snapshot was sent; None if there is none.
    snapshot_read_sent_ms: int | None = None
    # The earliest time of the next attempt to get a missing snapshot.
    next_catch_up_ms: int = 0
    # Whether a watch is open, and the earliest time to open the next one.
    is_watching: bool = False
    next_watch_ms: int = 0
    counters: ReplicaCounters = dataclasses.field(
        default_factory=ReplicaCounters
    )

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.configuration.revision

    @property
    def known_revision(self) -> int:
        """The highest revision learned of, or the one in force if higher."""
        return max(self.revision, self.head_revision)

    @property
    def is_behind(self) -> bool:
        """Whether a revision above the one in force is known."""
        return self.head_revision > self.revision


def create_replica(settings: ReplicaSettings) -> ReplicaState:
    """Returns the initial state, with the empty configuration.

    The first ``Tick`` reads the head from the store. The replica is not ready
    before the first ``PeersChanged``, which may contain no peers.
    """
    encoded = encode_snapshot(EMPTY_CONFIGURATION)
    return ReplicaState(
        settings=settings,
        snapshot=encoded,
        digest=digest_of(encoded),
        known_domains=frozenset(
            (settings.failure_domain, *settings.failure_domains)
        ),
    )

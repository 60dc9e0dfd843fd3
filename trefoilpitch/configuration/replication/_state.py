"""Everything that a replica knows."""

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
    """How a replica keeps up; times in milliseconds."""

    # The VM's name.
    name: str
    # The failure domain that it runs in.
    failure_domain: str
    # Where it receives messages of its peers.
    address: str
    # Failure domains that hold entry VMs; those of peers are added.
    failure_domains: tuple[str, ...] = ()
    # Nodes in each failure domain that watch the store.
    relays_per_domain: int = 4
    # Time between the probes of a node.
    probe_interval_ms: int = 1_500
    # Time between the probes of a relay.
    relay_probe_interval_ms: int = 500
    # Probes of a node to its relay for one to its neighbour.
    probes_per_neighbour_probe: int = 4
    # Time after which a probe counts as lost.
    probe_timeout_ms: int = 1_000
    # Time after which a page is asked for again.
    page_timeout_ms: int = 400
    # Requests for one page before its peer is given up.
    page_attempts: int = 3
    # Time between a relay's reads of the head.
    read_interval_ms: int = 1_500
    # Time after which a read counts as failed.
    read_timeout_ms: int = 2_000
    # Longest time between reads of a store that does not answer.
    max_read_interval_ms: int = 8_000
    # Age of the proof at which a node that is no relay reads by itself.
    own_read_age_ms: int = 3_500
    # Age of the proof or of the contact with other failure domains above
    # which new work is refused.
    freshness_ms: int = 5_000
    # Time for which a higher revision may be known and not in force.
    max_behind_ms: int = 2_000
    # Time for which a node that may have committed a change probes as often
    # as a relay, until the change is confirmed.
    confirmation_ms: int = 3_000
    # Deltas kept for peers; at 0 only whole snapshots are taken and given.
    max_log_bytes: int = 32_768
    # Largest page of a snapshot.
    page_bytes: int = 32_768


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplicaCounters:
    """What has happened since the start."""

    # Configurations put in force.
    adoptions: int = 0
    # Deltas among them that needed no snapshot.
    deltas_applied: int = 0
    # Reads of the head asked for, and those that failed.
    head_reads: int = 0
    head_read_failures: int = 0
    # Heads, read or watched, below the revision in force.
    stale_heads: int = 0
    # Times that the watch ended.
    watches_ended: int = 0
    # Probes sent, and those that were never answered.
    probes_sent: int = 0
    probes_lost: int = 0
    # Times that deltas did not follow the revision in force.
    gaps: int = 0
    # Deltas or snapshots that did not yield the digest told with them.
    digest_mismatches: int = 0
    # Data that could not be decoded.
    damaged: int = 0
    # Peers or heads with the own revision and another digest.
    divergences: int = 0
    # Snapshots taken from peers and from the store.
    peer_snapshots: int = 0
    store_snapshots: int = 0
    # Snapshots that a peer did not deliver.
    abandoned_fetches: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutstandingProbe:
    """A probe without an answer so far."""

    # The probe's.
    nonce: int
    # The peer's address.
    address: str
    # When it was sent.
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotFetch:
    """A snapshot on its way from a peer, page by page."""

    # The peer's address.
    address: str
    # When the last page was asked for.
    asked_ms: int
    # The snapshot's digest; empty before the first page.
    digest: str = ""
    # The pages so far.
    data: bytes = b""
    # How often the next page was asked for.
    attempts: int = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Contact:
    """What is known of a failure domain."""

    # When somebody there was last heard, directly or through others.
    heard_ms: int
    # The highest revision that somebody there was known to have heard of.
    revision: int


def _no_contacts() -> Mapping[str, Contact]:
    return MappingProxyType({})


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplicaState:
    """A replica at one time; times are on its own monotonic clock."""

    # How it keeps up.
    settings: ReplicaSettings
    # The configuration in force; its revision never goes down.
    configuration: Configuration = EMPTY_CONFIGURATION
    # The configuration's encoding.
    snapshot: bytes
    # SHA-256 of the encoding, in hexadecimal.
    digest: str
    # The newest deltas, the last of them this revision's.
    log: tuple[Delta, ...] = ()
    # The highest revision heard of.
    head_revision: int = 0
    # When a revision above the one in force was first heard of; None if
    # there is none.
    behind_since_ms: int | None = None
    # A peer that has a higher revision; empty if none is known.
    informant: str = ""
    # The highest revision for which a peer was asked for deltas.
    probed_revision: int = 0
    # The last time at which no higher revision was the head for certain.
    proven_ms: int | None = None
    # What is known of each failure domain that was heard.
    contacts: Mapping[str, Contact] = dataclasses.field(
        default_factory=_no_contacts
    )
    # Whether it has caught up with the store and its peers since the start.
    is_ready: bool = False
    # When the first membership view arrived; None before.
    joined_ms: int | None = None
    # Every other daemon; None before the first membership view.
    peers: tuple[PeerNode, ...] | None = None
    # Failure domains in which this node or its peers ever saw daemons.
    known_domains: frozenset[str] = frozenset()
    # Whether another daemon was ever seen in the own failure domain.
    has_company: bool = False
    # Whom to ask and whether to watch.
    links: Links = dataclasses.field(default_factory=Links)
    # The next probe's nonce.
    next_nonce: int = 0
    # When the next regular probe is due, and how many there were.
    next_probe_ms: int = 0
    probe_turn: int = 0
    # Until when the node probes more often for a confirmation.
    confirming_until_ms: int = 0
    # Which of its relays a node asks, counted up when one does not answer.
    relay_offset: int = 0
    # Probes without an answer.
    outstanding: tuple[OutstandingProbe, ...] = ()
    # A snapshot on its way from a peer.
    fetch: SnapshotFetch | None = None
    # The newest head that the store showed.
    head: HeadRecord | None = None
    # The latest time at which a read showed no higher head than that one.
    head_read_ms: int | None = None
    # When the read under way was sent; None if there is none.
    read_sent_ms: int | None = None
    # Whether a read has ended, well or not.
    has_read: bool = False
    # When to read next.
    next_read_ms: int = 0
    # Reads failed in a row.
    read_failures: int = 0
    # When the read of a snapshot under way was sent; None if there is none.
    snapshot_read_sent_ms: int | None = None
    # No snapshot is asked for before this time.
    next_pursuit_ms: int = 0
    # Whether a watch is open, and when to open one next.
    is_watching: bool = False
    next_watch_ms: int = 0
    # What has happened.
    counters: ReplicaCounters = dataclasses.field(
        default_factory=ReplicaCounters
    )

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.configuration.revision

    @property
    def known_revision(self) -> int:
        """The highest revision heard of, or the one in force."""
        return max(self.revision, self.head_revision)

    @property
    def is_behind(self) -> bool:
        """Whether a higher revision has been heard of."""
        return self.head_revision > self.revision


def create_replica(settings: ReplicaSettings) -> ReplicaState:
    """Returns a replica that knows nothing yet.

    Its first ``Tick`` asks the store; it is not ready before a first
    ``PeersChanged``, which may hold no peers.
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

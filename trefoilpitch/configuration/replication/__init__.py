"""Replicates the newest configuration to every node.

A few nodes of each failure domain, the relays, watch the store. Every node
probes some of its peers for newer revisions, so a node needs no access to the
store itself. The replica is a state machine without I/O: ``step`` takes an
event and returns the new state and the actions to perform.
"""

from trefoilpitch.configuration.replication._events import (
    ApplyConfiguration,
    HeadRead,
    HeadReadFailed,
    HeadWatched,
    MessageReceived,
    PeerNode,
    PeersChanged,
    ReadHead,
    ReadSnapshot,
    ReplicaAction,
    ReplicaEvent,
    SendMessage,
    SnapshotRead,
    SnapshotReadFailed,
    StartWatch,
    StopWatch,
    Tick,
    WatchEnded,
)
from trefoilpitch.configuration.replication._freshness import (
    Standing,
    is_confirmed,
    may_accept_changes,
    standing,
)
from trefoilpitch.configuration.replication._links import Links, plan_links
from trefoilpitch.configuration.replication._messages import (
    PAYLOAD_KINDS,
    DomainContact,
    ReplicaMessage,
    RevisionProbe,
    RevisionReply,
    SnapshotPage,
    SnapshotRequest,
)
from trefoilpitch.configuration.replication._state import (
    ReplicaCounters,
    ReplicaSettings,
    ReplicaState,
    create_replica,
)
from trefoilpitch.configuration.replication._status import (
    NodeRevision,
    ReplicaStatus,
    RevisionCoverage,
    describe_replica,
    revision_coverage,
)
from trefoilpitch.configuration.replication._step import step

__all__ = [
    "PAYLOAD_KINDS",
    "DomainContact",
    "HeadRead",
    "HeadReadFailed",
    "HeadWatched",
    "RevisionCoverage",
    "Links",
    "MessageReceived",
    "NodeRevision",
    "PeerNode",
    "PeersChanged",
    "ApplyConfiguration",
    "ReadHead",
    "ReadSnapshot",
    "ReplicaAction",
    "ReplicaCounters",
    "ReplicaEvent",
    "ReplicaMessage",
    "ReplicaSettings",
    "ReplicaState",
    "ReplicaStatus",
    "RevisionReply",
    "RevisionProbe",
    "SendMessage",
    "SnapshotPage",
    "SnapshotRead",
    "SnapshotReadFailed",
    "SnapshotRequest",
    "Standing",
    "StartWatch",
    "StopWatch",
    "Tick",
    "WatchEnded",
    "create_replica",
    "describe_replica",
    "revision_coverage",
    "is_confirmed",
    "may_accept_changes",
    "plan_links",
    "standing",
    "step",
]

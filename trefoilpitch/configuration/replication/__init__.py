"""Keeps every node's copy of the configuration at the newest revision."""

from trefoilpitch.configuration.replication._events import (
    HeadRead,
    HeadReadFailed,
    HeadWatched,
    MessageReceived,
    PeerNode,
    PeersChanged,
    PutInForce,
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
from trefoilpitch.configuration.replication._host import (
    ReplicaHost,
    StoreRequest,
)
from trefoilpitch.configuration.replication._links import Links, plan_links
from trefoilpitch.configuration.replication._messages import (
    PAYLOAD_KINDS,
    DomainContact,
    ReplicaMessage,
    RevisionAnswer,
    RevisionProbe,
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
    InForce,
    NodeRevision,
    ReplicaStatus,
    describe_replica,
    in_force,
)
from trefoilpitch.configuration.replication._step import step
from trefoilpitch.configuration.replication._store_actors import (
    HeadWatchActor,
    StoreReadActor,
)

__all__ = [
    "PAYLOAD_KINDS",
    "DomainContact",
    "HeadRead",
    "HeadReadFailed",
    "HeadWatchActor",
    "HeadWatched",
    "InForce",
    "Links",
    "MessageReceived",
    "NodeRevision",
    "PeerNode",
    "PeersChanged",
    "PutInForce",
    "ReadHead",
    "ReadSnapshot",
    "ReplicaAction",
    "ReplicaCounters",
    "ReplicaEvent",
    "ReplicaHost",
    "ReplicaMessage",
    "ReplicaSettings",
    "ReplicaState",
    "ReplicaStatus",
    "RevisionAnswer",
    "RevisionProbe",
    "SendMessage",
    "SnapshotPage",
    "SnapshotRead",
    "SnapshotReadFailed",
    "SnapshotRequest",
    "Standing",
    "StartWatch",
    "StopWatch",
    "StoreReadActor",
    "StoreRequest",
    "Tick",
    "WatchEnded",
    "create_replica",
    "describe_replica",
    "in_force",
    "is_confirmed",
    "may_accept_changes",
    "plan_links",
    "standing",
    "step",
]

"""What happens to a replica, and what it then wants done."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from trefoilpitch.configuration._head import SnapshotRef
from trefoilpitch.configuration._nodes import Configuration
from trefoilpitch.configuration.replication._messages import ReplicaMessage


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerNode:
    """Another daemon, as the membership view shows it."""

    # The VM's name.
    name: str
    # The failure domain that it runs in.
    failure_domain: str
    # Where it receives messages of its peers.
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; due a few times a second."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeersChanged:
    """The membership view changed, or was taken for the first time."""

    # Every daemon but this one.
    peers: tuple[PeerNode, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeadRead:
    """The head key was read, or written by this node's own writer."""

    # Its value; None if the key is absent.
    value: bytes | None
    # When the read or write was sent.
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeadReadFailed:
    """The store did not answer a read of the head key."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWatched:
    """The watch told a value of the head key, perhaps an old one."""

    # The value.
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WatchEnded:
    """The watch of the head key could not be opened, or broke."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotRead:
    """A snapshot was read from the store."""

    # The snapshot that was asked for.
    ref: SnapshotRef
    # Its value; None if the key is absent.
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotReadFailed:
    """The store did not answer a read of a snapshot."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MessageReceived:
    """A peer sent a message."""

    # Where to send an answer.
    address: str
    # What it sent.
    message: ReplicaMessage


ReplicaEvent: TypeAlias = (
    Tick
    | PeersChanged
    | HeadRead
    | HeadReadFailed
    | HeadWatched
    | WatchEnded
    | SnapshotRead
    | SnapshotReadFailed
    | MessageReceived
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head key and report ``HeadRead`` or ``HeadReadFailed``."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartWatch:
    """Watch the head key; report ``HeadWatched`` and ``WatchEnded``."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopWatch:
    """End the watch of the head key; nothing need be reported."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadSnapshot:
    """Read a snapshot; report ``SnapshotRead`` or ``SnapshotReadFailed``."""

    # The snapshot.
    ref: SnapshotRef


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendMessage:
    """Send a message to a peer, without waiting."""

    # The peer's address.
    address: str
    # What to send.
    message: ReplicaMessage
    # Whether it should not wait for other messages to the same peer.
    is_urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """Use a configuration from now on; its revision is higher than before."""

    # The configuration.
    configuration: Configuration


ReplicaAction: TypeAlias = (
    ReadHead
    | StartWatch
    | StopWatch
    | ReadSnapshot
    | SendMessage
    | ApplyConfiguration
)

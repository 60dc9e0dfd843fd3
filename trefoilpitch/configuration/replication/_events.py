"""The events that a replica handles and the actions that it returns."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from trefoilpitch.configuration._head import SnapshotRef
from trefoilpitch.configuration._nodes import Configuration
from trefoilpitch.configuration.replication._messages import ReplicaMessage


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerNode:
    """A daemon in the membership view."""

    # The VM's name.
    name: str
    # The failure domain that the VM is in.
    failure_domain: str
    # The address for messages of peers.
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A periodic timer event, expected a few times a second."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeersChanged:
    """The membership view changed, or is available for the first time."""

    # Every daemon except this one.
    peers: tuple[PeerNode, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeadRead:
    """The head key was read, or written by this node's own writer."""

    # The encoded head; None if the key is absent.
    value: bytes | None
    # When the read or write was sent.
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeadReadFailed:
    """A read of the head key failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadWatched:
    """The watch returned a value of the head key, possibly an old one."""

    # The encoded head.
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WatchEnded:
    """The watch of the head key ended or could not be opened."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotRead:
    """A snapshot was read from the store."""

    # The requested snapshot.
    ref: SnapshotRef
    # The encoded snapshot; None if the key is absent.
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotReadFailed:
    """A read of a snapshot from the store failed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MessageReceived:
    """A message of a peer was received."""

    # The peer's address, for the reply.
    address: str
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
    """Read the head key; report ``HeadRead`` or ``HeadReadFailed``."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartWatch:
    """Watch the head key; report ``HeadWatched`` and ``WatchEnded``."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopWatch:
    """End the watch of the head key; no event needs to be reported."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadSnapshot:
    """Read a snapshot; report ``SnapshotRead`` or ``SnapshotReadFailed``."""

    ref: SnapshotRef


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendMessage:
    """Send a message to a peer, without waiting for its delivery."""

    # The peer's address.
    address: str
    message: ReplicaMessage
    # Whether to send it at once instead of batching it with other messages to
    # the same peer.
    is_urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """Put a configuration in force; its revision is not below the last one.

    A repair of a diverged replica repeats a revision.
    """

    configuration: Configuration


ReplicaAction: TypeAlias = (
    ReadHead
    | StartWatch
    | StopWatch
    | ReadSnapshot
    | SendMessage
    | ApplyConfiguration
)

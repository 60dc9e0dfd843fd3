"""Interface of the peer transport."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from types import TracebackType
from typing import Protocol, Self

from returns.result import Result

from trefoilpitch.peering._counters import PeeringCounters
from trefoilpitch.peering._exceptions import PeeringError


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerIdentity:
    """Identity that a daemon presents to its peers."""

    # The deployment's name; frames of another deployment are dropped.
    deployment: str
    # The VM's name.
    name: str
    # The process incarnation; later incarnations of a VM sort higher.
    incarnation: str
    # IP number and port at which peers dial this daemon.
    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerKeys:
    """Shared HMAC keys that authenticate frames."""

    # Used for frames that are sent; accepted on frames received.
    current: bytes
    # During a key rotation, the new or previous key; also accepted on frames
    # received.
    other: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedMessage:
    """An authenticated payload with its sender."""

    # The sender's VM name.
    sender: str
    # The sender's process incarnation.
    incarnation: str
    # The sender's peer address, for replies.
    address: str
    # An instance of a registered payload type.
    payload: object


MessageHandler = Callable[[ReceivedMessage], None]


class PeerTransport(Protocol):
    """Sends payloads to peers with at-most-once delivery, without blocking.

    A message may be lost, delayed or reordered, but is never delivered twice
    to one process. Success of ``send`` only means that the message was queued.
    """

    @property
    def identity(self) -> PeerIdentity:
        """This process's identity, sent in every frame."""

    def send(
        self, address: str, payload: object, *, urgent: bool = False
    ) -> Result[None, PeeringError]:
        """Queues a payload for a peer.

        Args:
            address: IP number and port of the peer's socket.
            payload: An instance of a registered payload type.
            urgent: Whether to send at once instead of at the next flush.

        Returns:
            ``MessageTooLargeError``, ``SendQueueFullError``,
            ``DialFailedError`` or ``TransportClosedError`` on failure.

        Raises:
            KeyError: If the payload's type was never registered.
        """

    def disconnect(self, address: str) -> None:
        """Closes the connection to a peer, for example a gone one."""

    def counters(self) -> PeeringCounters:
        """Returns a snapshot of the transport's counters."""

    def close(self) -> None:
        """Stops sending and receiving; messages still queued are dropped."""

    def __enter__(self) -> Self: ...

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None: ...

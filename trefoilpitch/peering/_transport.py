"""What the daemon's subsystems may assume of the peer transport."""

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
    """Who a daemon is towards its peers."""

    # The deployment's name; frames of another deployment are dropped.
    deployment: str
    # The VM's name.
    name: str
    # The process incarnation; later incarnations of a VM sort higher.
    incarnation: str
    # IP number and port of the peer socket, as others dial it.
    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerKeys:
    """The shared keys that authenticate frames."""

    # Signs what is sent.
    current: bytes
    # Accepted as well while a key is rotated.
    other: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReceivedMessage:
    """One authenticated payload and who sent it."""

    # The sender's VM name.
    sender: str
    # The sender's process incarnation.
    incarnation: str
    # Where to send an answer.
    address: str
    # An instance of a registered payload type.
    payload: object


MessageHandler = Callable[[ReceivedMessage], None]


class PeerTransport(Protocol):
    """Sends payloads to peers, at most once and without waiting.

    A message may be lost, delayed or overtaken; it is never delivered twice to
    one process. Success means that a message was queued, no more.
    """

    @property
    def identity(self) -> PeerIdentity:
        """Who this process is towards its peers."""

    def send(
        self, address: str, payload: object, *, urgent: bool = False
    ) -> Result[None, PeeringError]:
        """Queues a payload for a peer.

        Args:
            address: IP number and port of the peer's socket.
            payload: An instance of a registered payload type.
            urgent: Whether to send now rather than at the next flush.

        Returns:
            ``MessageTooLargeError``, ``SendQueueFullError``,
            ``DialFailedError`` or ``TransportClosedError`` on failure.

        Raises:
            KeyError: If the payload's type was never registered.
        """

    def disconnect(self, address: str) -> None:
        """Closes the dialer to a peer that is known to be gone."""

    def counters(self) -> PeeringCounters:
        """Returns what was sent, received and dropped so far."""

    def close(self) -> None:
        """Stops sending and receiving; queued messages are dropped."""

    def __enter__(self) -> Self: ...

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None: ...

"""What the peer transport counts."""

from __future__ import annotations

import collections
import dataclasses
import enum
import threading


class DropReason(enum.Enum):
    """Why a message was dropped, on either side."""

    # Received: the bytes are no frame, or a payload does not fit its kind.
    MALFORMED = "malformed"
    # Received: larger than a frame may be.
    OVERSIZED = "oversized"
    # Received: no accepted key authenticates the frame.
    WRONG_KEY = "wrong_key"
    # Received: the frame's major version is not understood.
    UNKNOWN_VERSION = "unknown_version"
    # Received: the frame belongs to another deployment.
    FOREIGN = "foreign"
    # Received: the frame was sent to another address.
    MISADDRESSED = "misaddressed"
    # Received: the frame was seen before, or is too old to tell.
    REPLAYED = "replayed"
    # Received: the payload's kind is not registered here.
    UNKNOWN_KIND = "unknown_kind"
    # Received: the handler raised.
    HANDLER_FAILED = "handler_failed"
    # To send: the peer's queue was full.
    QUEUE_FULL = "queue_full"
    # To send: the message waited too long for a connection.
    EXPIRED = "expired"
    # To send: the peer's dialer was closed with the message still queued.
    PEER_CLOSED = "peer_closed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeeringCounters:
    """A snapshot of a transport's counters since it was opened."""

    # Frames and bytes handed to the network.
    frames_sent: int = 0
    bytes_sent: int = 0
    # Messages inside the frames sent.
    messages_sent: int = 0
    # Frames and bytes accepted from the network.
    frames_received: int = 0
    bytes_received: int = 0
    # Messages delivered to the handler.
    messages_received: int = 0
    # Messages or frames dropped, by reason.
    dropped: dict[DropReason, int] = dataclasses.field(default_factory=dict)
    # Dialers open at present.
    dialers: int = 0


class CounterSet:
    """The counters behind ``PeeringCounters``; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._dropped: collections.Counter[DropReason] = collections.Counter()
        self._sent = [0, 0, 0]
        self._received = [0, 0, 0]

    def add_sent(self, *, size_bytes: int, messages: int) -> None:
        """Counts one frame that was handed to the network."""
        with self._lock:
            self._sent[0] += 1
            self._sent[1] += size_bytes
            self._sent[2] += messages

    def add_received(self, *, size_bytes: int, messages: int) -> None:
        """Counts one frame that was accepted."""
        with self._lock:
            self._received[0] += 1
            self._received[1] += size_bytes
            self._received[2] += messages

    def add_dropped(self, reason: DropReason, count: int = 1) -> None:
        """Counts dropped messages."""
        with self._lock:
            self._dropped[reason] += count

    def snapshot(self, *, dialers: int) -> PeeringCounters:
        """Returns the counters as they stand."""
        with self._lock:
            return PeeringCounters(
                frames_sent=self._sent[0],
                bytes_sent=self._sent[1],
                messages_sent=self._sent[2],
                frames_received=self._received[0],
                bytes_received=self._received[1],
                messages_received=self._received[2],
                dropped=dict(self._dropped),
                dialers=dialers,
            )

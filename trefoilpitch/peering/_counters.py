"""Counters of the peer transport."""

from __future__ import annotations

import collections
import dataclasses
import enum
import threading


class DropReason(enum.Enum):
    """Why a message was dropped, by the receiver or by the sender."""

    # Received: not a valid frame, or a payload does not match its kind's type.
    MALFORMED = "malformed"
    # Received: larger than the frame size limit.
    OVERSIZED = "oversized"
    # Received: the tag does not match under any accepted key.
    WRONG_KEY = "wrong_key"
    # Received: the frame's major version is not supported.
    UNKNOWN_VERSION = "unknown_version"
    # Received: the frame belongs to another deployment.
    FOREIGN = "foreign"
    # Received: the frame's recipient address is not this process's.
    MISADDRESSED = "misaddressed"
    # Received: the frame was received before, or its sequence number is below
    # the replay window.
    REPLAYED = "replayed"
    # Received: the payload's kind is not registered in this process.
    UNKNOWN_KIND = "unknown_kind"
    # Received: the handler raised an exception.
    HANDLER_FAILED = "handler_failed"
    # Sending: the peer's queue was full.
    QUEUE_FULL = "queue_full"
    # Sending: the message was queued longer than the queue's age limit.
    EXPIRED = "expired"
    # Sending: the peer's dialer was closed with the message still queued.
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
    # Number of dialers currently open.
    dialers: int = 0


class CounterSet:
    """Mutable counters of a transport; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._dropped: collections.Counter[DropReason] = collections.Counter()
        # Frames, bytes and messages.
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
        """Returns the current counts.

        Args:
            dialers: Number of dialers currently open.
        """
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

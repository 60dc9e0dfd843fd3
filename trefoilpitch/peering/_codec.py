"""Encodes, authenticates and validates the frames between daemons.

A frame is a 32-byte HMAC-SHA256 tag followed by a MessagePack array. Elements
appended by a newer minor version are ignored; a frame of another major version
is dropped.
"""

from __future__ import annotations

import dataclasses
import hashlib
import hmac
from collections.abc import Iterator, Sequence

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.peering._counters import DropReason
from trefoilpitch.peering._exceptions import MessageTooLargeError
from trefoilpitch.peering._registry import PayloadRegistry
from trefoilpitch.peering._replay import ReplayFilter
from trefoilpitch.peering._transport import (
    PeerIdentity,
    PeerKeys,
    ReceivedMessage,
)

DEFAULT_FRAME_LIMIT_BYTES = 64 * 1024
MAJOR_VERSION = 1
MINOR_VERSION = 0
_TAG_BYTES = hashlib.sha256().digest_size
# Reserved in each frame for the tag, the header and the longest names in use.
_HEADER_RESERVE_BYTES = 1024


class WireMessage(msgspec.Struct, frozen=True, array_like=True):
    """One payload inside a frame."""

    # Name of a registered ``PayloadKind``.
    kind: str
    # The payload encoded as MessagePack.
    payload: msgspec.Raw


class WireFrame(msgspec.Struct, frozen=True, array_like=True):
    """The authenticated part of a frame."""

    # Protocol version of the frame.
    major: int
    minor: int
    # Name of the sender's deployment.
    deployment: str
    # The sender's VM name, process incarnation and peer address.
    sender: str
    incarnation: str
    sender_address: str
    # The peer address that the frame was sent to.
    recipient_address: str
    # Increases with every frame of the incarnation; detects replays.
    sequence: int
    # Messages in the order in which they were queued.
    messages: tuple[WireMessage, ...]


class _Version(msgspec.Struct, frozen=True, array_like=True):
    """The first element of a frame, the same in every major version."""

    major: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OpenedFrame:
    """The decoded messages of an accepted frame."""

    # Messages to deliver to the handler.
    messages: tuple[ReceivedMessage, ...]
    # One reason for each message of the frame that was dropped.
    dropped: tuple[DropReason, ...] = ()


class FrameCodec:
    """Seals outgoing frames and opens incoming ones.

    One thread may seal while another opens. Neither operation may run on
    several threads at once.

    Args:
        identity: This process's identity, sent in every frame.
        keys: Keys that authenticate frames.
        registry: Encodes and decodes payloads.
        limit_bytes: Maximum size of a frame, sent or received.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        keys: PeerKeys,
        registry: PayloadRegistry,
        limit_bytes: int,
    ) -> None:
        self._identity = identity
        self._keys = keys
        self._registry = registry
        self._limit_bytes = limit_bytes
        self._sequence = 0
        self._replay_filter = ReplayFilter()
        self._encoder = msgspec.msgpack.Encoder()
        self._frame_decoder = msgspec.msgpack.Decoder(WireFrame)
        self._version_decoder = msgspec.msgpack.Decoder(_Version)

    @property
    def identity(self) -> PeerIdentity:
        """This process's identity, sent in every frame."""
        return self._identity

    @property
    def limit_bytes(self) -> int:
        """Maximum size of a frame, sent or received."""
        return self._limit_bytes

    @property
    def message_limit_bytes(self) -> int:
        """Maximum size of an encoded message; it fits into a frame alone."""
        return self._limit_bytes - _HEADER_RESERVE_BYTES

    def encode(self, payload: object) -> Result[bytes, MessageTooLargeError]:
        """Encodes one message.

        Raises:
            KeyError: If the payload's type was never registered.
        """
        kind = self._registry.kind_of(payload)
        body = msgspec.Raw(self._registry.encode(payload))
        message = self._encoder.encode(WireMessage(kind, body))
        if len(message) > self.message_limit_bytes:
            return Failure(
                MessageTooLargeError(
                    kind, len(message), self.message_limit_bytes
                )
            )
        return Success(message)

    def seal(self, recipient: str, messages: Sequence[bytes]) -> bytes:
        """Builds an authenticated frame from encoded messages.

        Args:
            recipient: The peer address that the frame goes to.
            messages: Encoded messages that together fit into a frame.
        """
        self._sequence += 1
        identity = self._identity
        header = (
            MAJOR_VERSION,
            MINOR_VERSION,
            identity.deployment,
            identity.name,
            identity.incarnation,
            identity.address,
            recipient,
            self._sequence,
            tuple(msgspec.Raw(message) for message in messages),
        )
        body = self._encoder.encode(header)
        return _tag(self._keys.current, body) + body

    def open(self, data: bytes) -> Result[OpenedFrame, DropReason]:
        """Validates a received frame and decodes its messages.

        Returns:
            The decoded messages, or the reason why the whole frame is dropped.
        """
        if len(data) > self._limit_bytes:
            return Failure(DropReason.OVERSIZED)
        if len(data) <= _TAG_BYTES:
            return Failure(DropReason.MALFORMED)
        body = data[_TAG_BYTES:]
        if not self._is_authentic(data[:_TAG_BYTES], body):
            return Failure(DropReason.WRONG_KEY)
        return self._parse(body).bind(self._check_frame)

    def _is_authentic(self, tag: bytes, body: bytes) -> bool:
        if hmac.compare_digest(tag, _tag(self._keys.current, body)):
            return True
        other = self._keys.other
        return other is not None and hmac.compare_digest(tag, _tag(other, body))

    def _parse(self, body: bytes) -> Result[WireFrame, DropReason]:
        try:
            if self._version_decoder.decode(body).major != MAJOR_VERSION:
                return Failure(DropReason.UNKNOWN_VERSION)
            return Success(self._frame_decoder.decode(body))
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return Failure(DropReason.MALFORMED)

    def _check_frame(self, frame: WireFrame) -> Result[OpenedFrame, DropReason]:
        if frame.deployment != self._identity.deployment:
            return Failure(DropReason.FOREIGN)
        if frame.recipient_address != self._identity.address:
            return Failure(DropReason.MISADDRESSED)
        sender = f"{frame.sender}/{frame.incarnation}"
        if not self._replay_filter.accept(sender, frame.sequence):
            return Failure(DropReason.REPLAYED)
        messages: list[ReceivedMessage] = []
        dropped: list[DropReason] = []
        for outcome in self._decode_all(frame):
            if isinstance(outcome, DropReason):
                dropped.append(outcome)
            else:
                messages.append(outcome)
        return Success(
            OpenedFrame(messages=tuple(messages), dropped=tuple(dropped))
        )

    def _decode_all(
        self, frame: WireFrame
    ) -> Iterator[ReceivedMessage | DropReason]:
        for message in frame.messages:
            if not self._registry.is_registered(message.kind):
                yield DropReason.UNKNOWN_KIND
                continue
            try:
                payload = self._registry.decode(message.kind, message.payload)
            except (msgspec.MsgspecError, UnicodeDecodeError):
                yield DropReason.MALFORMED
                continue
            yield ReceivedMessage(
                sender=frame.sender,
                incarnation=frame.incarnation,
                address=frame.sender_address,
                payload=payload,
            )


def create_frame_codec(
    *,
    identity: PeerIdentity,
    keys: PeerKeys,
    registry: PayloadRegistry,
    limit_bytes: int = DEFAULT_FRAME_LIMIT_BYTES,
) -> FrameCodec:
    """Builds a codec; see ``FrameCodec`` for the arguments."""
    return FrameCodec(identity, keys, registry, limit_bytes)


def _tag(key: bytes, body: bytes) -> bytes:
    return hmac.digest(key, body, "sha256")

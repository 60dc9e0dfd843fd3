"""Authenticated messages between the daemons of one deployment."""

from trefoilpitch.peering._codec import (
    DEFAULT_FRAME_LIMIT_BYTES,
    FrameCodec,
    OpenedFrame,
    create_frame_codec,
)
from trefoilpitch.peering._counters import DropReason, PeeringCounters
from trefoilpitch.peering._exceptions import (
    DialFailedError,
    ListenFailedError,
    MessageTooLargeError,
    PeeringError,
    SendQueueFullError,
    TransportClosedError,
)
from trefoilpitch.peering._memory import (
    Link,
    LinkFaults,
    MemoryNetwork,
    MemoryTransport,
)
from trefoilpitch.peering._nng import NngTransport, open_nng_transport
from trefoilpitch.peering._nng_settings import NngSettings
from trefoilpitch.peering._registry import (
    PayloadKind,
    PayloadRegistry,
    create_payload_registry,
)
from trefoilpitch.peering._transport import (
    MessageHandler,
    PeerIdentity,
    PeerKeys,
    PeerTransport,
    ReceivedMessage,
)

__all__ = [
    "PeerTransport",
    "PeerIdentity",
    "PeerKeys",
    "ReceivedMessage",
    "MessageHandler",
    "NngSettings",
    "NngTransport",
    "open_nng_transport",
    "Link",
    "LinkFaults",
    "MemoryNetwork",
    "MemoryTransport",
    "PayloadKind",
    "PayloadRegistry",
    "create_payload_registry",
    "DEFAULT_FRAME_LIMIT_BYTES",
    "FrameCodec",
    "OpenedFrame",
    "create_frame_codec",
    "DropReason",
    "PeeringCounters",
    "PeeringError",
    "DialFailedError",
    "ListenFailedError",
    "MessageTooLargeError",
    "SendQueueFullError",
    "TransportClosedError",
]

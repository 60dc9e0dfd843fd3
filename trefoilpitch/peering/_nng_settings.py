"""Settings of the peer transport on pynng."""

from __future__ import annotations

import dataclasses

from trefoilpitch.peering._codec import DEFAULT_FRAME_LIMIT_BYTES


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NngSettings:
    """Limits and intervals of ``NngTransport``."""

    # How long non-urgent messages are queued so that they can share a frame.
    flush_interval_ms: int = 50
    # Maximum size of a frame, sent or received.
    frame_limit_bytes: int = DEFAULT_FRAME_LIMIT_BYTES
    # Maximum total size of the messages queued for one peer.
    queue_limit_bytes: int = 256 * 1024
    # Age at which a queued message is dropped.
    queue_age_limit_ms: int = 3_000
    # Maximum number of open dialers; at the limit, opening another closes the
    # least recently used one.
    max_dialers: int = 48
    # First and maximum delay before a dialer connects again.
    reconnect_min_ms: int = 1_000
    reconnect_max_ms: int = 8_000

"""Limits and intervals of the transport on pynng."""

from __future__ import annotations

import dataclasses

from trefoilpitch.peering._codec import DEFAULT_FRAME_LIMIT_BYTES


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NngSettings:
    """Limits and intervals of the transport."""

    # Messages to one peer wait this long to share a frame.
    flush_interval_ms: int = 50
    # Largest frame, sent or received.
    frame_limit_bytes: int = DEFAULT_FRAME_LIMIT_BYTES
    # Bytes that may wait for one peer.
    queue_limit_bytes: int = 256 * 1024
    # A message that waited this long for a connection is dropped.
    queue_age_limit_ms: int = 3_000
    # Dialers open at once; the least recently used is closed for a new one.
    max_dialers: int = 48
    # First and longest pause before a dialer connects again.
    reconnect_min_ms: int = 1_000
    reconnect_max_ms: int = 8_000

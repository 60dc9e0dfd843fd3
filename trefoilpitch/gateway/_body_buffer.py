"""Collects the body of one request."""

from __future__ import annotations

from trefoilpitch.gateway._memory_guard import ClientLimits

# What is reserved for a body in chunks grows by this much at a time.
_STEP_BYTES = 64 * 1024


class BodyBuffer:
    """The bytes of a body that have arrived.

    They are kept in one buffer: a body that arrives in pieces of a few bytes
    would take many times its size as a list.

    Args:
        declared: Length of the body; None if it arrives in chunks.
        limits: Limits of one connection.
    """

    def __init__(self, declared: int | None, limits: ClientLimits) -> None:
        self._declared = declared
        self._limits = limits
        self._data = bytearray()
        self._chunks = 0
        # Size at the start of the present window.
        self._window_start = 0

    @property
    def size(self) -> int:
        """Bytes that have arrived."""
        return len(self._data)

    @property
    def reserved(self) -> int:
        """Bytes that it needs at present: all of them if known."""
        if self._declared is not None:
            return self._declared
        return -(-self.size // _STEP_BYTES) * _STEP_BYTES

    @property
    def fragmented(self) -> bool:
        """Whether it arrives in more chunks than permitted.

        Each takes some microseconds of the event loop, whatever its size.
        """
        if self._declared is not None:
            return False
        permitted = self._limits.max_small_chunks
        permitted += self.size // self._limits.small_chunk_bytes
        return self._chunks > permitted

    def add(self, data: bytes | bytearray, *, begins_chunk: bool) -> None:
        """Adds a part."""
        self._data += data
        self._chunks += begins_chunk

    def take_window(self) -> bool:
        """Ends a window of time; returns whether enough bytes arrived in it."""
        arrived = self.size - self._window_start
        self._window_start = self.size
        return arrived >= self._limits.min_body_bytes

    def take(self) -> bytes:
        """Returns the body and forgets it."""
        body = bytes(self._data)
        self._data = bytearray()
        return body

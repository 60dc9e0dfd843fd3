"""Splits an event stream into complete events without changing bytes."""

from __future__ import annotations

import dataclasses
import re

_MAX_EVENT_BYTES = 1 << 20
_END = re.compile(rb"\n\n|\r\n\r\n|\r\r")
_MAX_END_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RawEvent:
    """A complete event as received."""

    # All bytes, including the terminating empty line.
    data: bytes
    # Value of its id field; None if absent or not a number.
    event_id: int | None

    @property
    def is_comment(self) -> bool:
        """Whether it has no field, only comments that keep a stream open."""
        return all(
            not line or line.startswith(b":") for line in self.data.splitlines()
        )


class EventTooLargeError(Exception):
    """An event exceeds the buffer limit."""


class EventSplitter:
    """Incrementally splits a stream; never emits an incomplete event.

    Each byte is searched once, so that the cost is linear in the data.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Bytes at the start of the buffer that contain no end of an event.
        self._searched = 0

    @property
    def pending(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[RawEvent]:
        """Appends received bytes and returns the events they complete.

        Raises:
            EventTooLargeError: If an incomplete event exceeds the limit.
        """
        self._buffer += data
        events: list[RawEvent] = []
        start = 0
        for match in _END.finditer(self._buffer, self._searched):
            raw = bytes(self._buffer[start : match.end()])
            start = match.end()
            events.append(RawEvent(data=raw, event_id=_event_id(raw)))
        del self._buffer[:start]
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise EventTooLargeError
        # The next segment may complete an end that has begun.
        self._searched = max(0, len(self._buffer) - _MAX_END_BYTES + 1)
        return events


def _event_id(raw: bytes) -> int | None:
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None

"""Splits an event stream into complete events without changing bytes."""

from __future__ import annotations

import dataclasses

_MAX_EVENT_BYTES = 1 << 20
_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


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
    """Incrementally splits a stream; never emits an incomplete event."""

    def __init__(self) -> None:
        self._buffer = b""

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
        while True:
            end = self._find_end()
            if end < 0:
                break
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(RawEvent(data=raw, event_id=_event_id(raw)))
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise EventTooLargeError
        return events

    def _find_end(self) -> int:
        ends = [
            position + len(end)
            for end in _ENDS
            if (position := self._buffer.find(end)) >= 0
        ]
        return min(ends, default=-1)


def _event_id(raw: bytes) -> int | None:
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None

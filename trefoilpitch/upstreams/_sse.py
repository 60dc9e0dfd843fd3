"""Incremental decoder of server-sent events."""

from __future__ import annotations

import dataclasses

DEFAULT_MAX_EVENT_BYTES = 1 << 20


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SseEvent:
    """One dispatched event."""

    # The ``id`` field of this event; empty when it has none.
    event_id: str
    # The ``event`` field, empty when it has none.
    name: str
    # The ``data`` lines joined with newlines.
    data: str


class SseFormatError(Exception):
    """The bytes are not a valid stream of server-sent events."""


class SseDecoder:
    """Decodes a byte stream, received in parts of any size, into events.

    Lines end with LF, CR or CRLF. An event that is incomplete at the end of
    the stream is never dispatched, as the specification requires. Unlike in
    the specification, an event without an ``id`` field does not inherit the
    one of an earlier event.

    Args:
        max_event_bytes: Limit on the size of one event.
    """

    def __init__(self, max_event_bytes: int = DEFAULT_MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._buffer = b""
        self._skip_line_feed = False
        self._event_bytes = 0
        self._event_id = ""
        self._name = ""
        self._data: list[str] = []

    @property
    def pending(self) -> bool:
        """Whether part of an event is buffered and not dispatched."""
        return bool(self._buffer or self._event_bytes)

    def feed(self, data: bytes) -> list[SseEvent]:
        """Decodes the next bytes of the stream.

        Args:
            data: Bytes as received, of any length.

        Returns:
            The events that these bytes complete.

        Raises:
            SseFormatError: If a line is not UTF-8 or an event is too large.
        """
        if not data:
            # Going on would reset _skip_line_feed, and the LF of a CRLF that
            # is split around this empty part would end a second line.
            return []
        if self._skip_line_feed:
            data = data.removeprefix(b"\n")
        self._buffer += data
        if self._event_bytes + len(self._buffer) > self._max_event_bytes:
            return self._split(check_size=True)
        return self._split(check_size=False)

    def _split(self, *, check_size: bool) -> list[SseEvent]:
        self._skip_line_feed = self._buffer.endswith(b"\r")
        if b"\r" in self._buffer:
            self._buffer = self._buffer.replace(b"\r\n", b"\n")
            self._buffer = self._buffer.replace(b"\r", b"\n")
        *lines, self._buffer = self._buffer.split(b"\n")
        events: list[SseEvent] = []
        for line in lines:
            event = self._process_line(line)
            if event is not None:
                events.append(event)
        if check_size:
            self._check_size(len(self._buffer))
        return events

    def _check_size(self, more_bytes: int) -> None:
        if self._event_bytes + more_bytes > self._max_event_bytes:
            raise SseFormatError(
                f"an event exceeds {self._max_event_bytes} bytes"
            )

    def _process_line(self, line: bytes) -> SseEvent | None:
        if not line:
            return self._dispatch()
        self._check_size(len(line))
        self._event_bytes += len(line)
        try:
            text = line.decode()
        except UnicodeDecodeError as error:
            raise SseFormatError("a line is not UTF-8") from error
        self._process_field(text)
        return None

    def _process_field(self, text: str) -> None:
        field, _, value = text.partition(":")
        value = value.removeprefix(" ")
        if field == "data":
            self._data.append(value)
        elif field == "id" and "\0" not in value:
            self._event_id = value
        elif field == "event":
            self._name = value

    def _dispatch(self) -> SseEvent | None:
        event = SseEvent(
            event_id=self._event_id,
            name=self._name,
            data="\n".join(self._data),
        )
        empty = not self._data
        self._event_bytes = 0
        self._event_id = ""
        self._name = ""
        self._data = []
        return None if empty else event

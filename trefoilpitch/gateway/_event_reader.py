"""Reads the events of an upstream's stream and detects stalls.

Load pattern: under overload sound streams pause between events, while a
stalled upstream may still send a byte or a comment now and then. Only complete
events count as progress.
"""

from __future__ import annotations

import asyncio
from collections import deque

from trefoilpitch.clock import Clock
from trefoilpitch.gateway._events import (
    EventSplitter,
    EventTooLargeError,
    RawEvent,
)
from trefoilpitch.gateway._exceptions import ExchangeError
from trefoilpitch.gateway._http_client import HttpConnection
from trefoilpitch.retries import FailureKind

# Comments, and their bytes, without an event between them. An empty line is a
# comment too.
_MAX_COMMENTS = 1_024
_MAX_COMMENT_BYTES = 64 * 1024
# Parts of the body without the end of an event.
_MAX_PARTS_PER_EVENT = 4_096
# Bytes that are split, and events that are returned, in one turn.
_SLICE_BYTES = 4_096
_EVENTS_PER_TURN = 64


class EventReader:
    """Reads complete events from a response body.

    Args:
        connection: The connection, after the head of the response.
        clock: Provides monotonic time.
    """

    def __init__(self, connection: HttpConnection, clock: Clock) -> None:
        self._connection = connection
        self._clock = clock
        self._splitter = EventSplitter()
        self._waiting_since_ms = clock.now_ms()
        self._progressed = False
        # Whether an event with content has arrived.
        self._started = False
        self._unsplit = b""
        self._ready: deque[RawEvent] = deque()
        # Events that were read and not returned yet.
        self._held: list[RawEvent] = []
        self._comments = 0
        self._comment_bytes = 0
        self._parts = 0
        # Whether the end of the body has been read.
        self._ended = False

    @property
    def pending(self) -> bool:
        """Whether the body has ended inside an event."""
        return self._splitter.pending

    @property
    def paused_ms(self) -> int:
        """Time since the last event with content."""
        if self._progressed:
            return 0
        return self._clock.now_ms() - self._waiting_since_ms

    async def read(
        self, gap_ms: float, *, with_content: bool = False
    ) -> list[RawEvent] | None:
        """Waits for the next events; may be called again after a timeout.

        Comments before the first event with content are returned with it, so
        that a stream that brings nothing else has not begun.

        Args:
            gap_ms: Maximum time since the last event with content. Time in
                which the caller forwarded events does not count.
            with_content: Whether to wait until an event with content is among
                the events.

        Returns:
            One or more events, or None at the end of the body.

        Raises:
            ExchangeError: If no event with content is complete in time, or the
                body is truncated or malformed.
        """
        if self._ended:
            return None
        if self._progressed:
            self._progressed = False
            self._waiting_since_ms = self._clock.now_ms()
        while True:
            if self._ready or self._unsplit:
                # Many events in one part must not hold the event loop.
                await asyncio.sleep(0)
            elif not await self._receive(gap_ms):
                self._ended = True
                return self._release() if self._started else None
            self._split()
            self._held.extend(self._take())
            if self._started and (self._progressed or not with_content):
                events = self._release()
                if events is not None:
                    return events

    def _release(self) -> list[RawEvent] | None:
        """Returns the events that were held back; None if there are none."""
        events, self._held = self._held, []
        return events or None

    async def _receive(self, gap_ms: float) -> bool:
        """Waits for a part; returns whether the body goes on."""
        elapsed_ms = self._clock.now_ms() - self._waiting_since_ms
        data = await self._connection.receive_data(
            max(0.0, gap_ms - elapsed_ms)
        )
        if data is None:
            return False
        self._unsplit = data
        self._parts += 1
        return True

    def _split(self) -> None:
        if self._ready or not self._unsplit:
            return
        data = self._unsplit[:_SLICE_BYTES]
        self._unsplit = self._unsplit[_SLICE_BYTES:]
        try:
            events = self._splitter.feed(data)
        except EventTooLargeError as error:
            raise _malformed("event exceeds the size limit") from error
        if events:
            self._parts = 0
        elif self._parts > _MAX_PARTS_PER_EVENT:
            raise _malformed("event arrives in too many parts")
        self._ready.extend(events)

    def _take(self) -> list[RawEvent]:
        """Returns events that are ready, some at a time."""
        events: list[RawEvent] = []
        while self._ready and len(events) < _EVENTS_PER_TURN:
            event = self._ready.popleft()
            events.append(event)
            if event.is_comment:
                self._count_comment(len(event.data))
            else:
                self._comments = 0
                self._comment_bytes = 0
                self._progressed = True
                self._started = True
        return events

    def _count_comment(self, size: int) -> None:
        self._comments += 1
        self._comment_bytes += size
        if (
            self._comments > _MAX_COMMENTS
            or self._comment_bytes > _MAX_COMMENT_BYTES
        ):
            raise _malformed("too many comments without an event")


def _malformed(detail: str) -> ExchangeError:
    return ExchangeError(FailureKind.MALFORMED_RESPONSE, detail)

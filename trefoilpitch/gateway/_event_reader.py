"""Reads the events of an upstream's stream and detects stalls.

Load pattern: under overload sound streams pause between events, while a
stalled upstream may still send a byte or a comment now and then. Only complete
events count as progress.
"""

from __future__ import annotations

from trefoilpitch.clock import Clock
from trefoilpitch.gateway._events import (
    EventSplitter,
    EventTooLargeError,
    RawEvent,
)
from trefoilpitch.gateway._exceptions import ExchangeError
from trefoilpitch.gateway._http_client import HttpConnection
from trefoilpitch.retries import FailureKind


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

    async def read(self, gap_ms: float) -> list[RawEvent] | None:
        """Waits for the next events; may be called again after a timeout.

        Args:
            gap_ms: Maximum time since the last event with content. Time in
                which the caller forwarded events does not count.

        Returns:
            One or more events, or None at the end of the body.

        Raises:
            ExchangeError: If no event with content is complete in time, or the
                body is truncated or malformed.
        """
        if self._progressed:
            self._progressed = False
            self._waiting_since_ms = self._clock.now_ms()
        while True:
            elapsed_ms = self._clock.now_ms() - self._waiting_since_ms
            data = await self._connection.receive_data(
                max(0.0, gap_ms - elapsed_ms)
            )
            if data is None:
                return None
            try:
                events = self._splitter.feed(data)
            except EventTooLargeError as error:
                raise ExchangeError(
                    FailureKind.MALFORMED_RESPONSE,
                    "event exceeds the size limit",
                ) from error
            if any(not event.is_comment for event in events):
                self._progressed = True
            if events:
                return events

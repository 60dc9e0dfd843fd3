"""Forwards the events of a stream to the caller, over all of its attempts.

Load pattern: upstreams break streams off, and others resume them after the last
event that the caller has. A stream may also be broken off between its last
event and its end; the upstream that resumes it then has no event to add, and
its end is the end of the response.
"""

from __future__ import annotations

from collections.abc import Callable

from trefoilpitch.fleet import Route
from trefoilpitch.gateway._attempts import stall_timeout_ms
from trefoilpitch.gateway._event_reader import EventReader
from trefoilpitch.gateway._events import RawEvent
from trefoilpitch.gateway._exceptions import ExchangeError
from trefoilpitch.gateway._handover import HandOver, SentAttempt
from trefoilpitch.gateway._http_server import Responder
from trefoilpitch.gateway._messages import UpstreamResponse
from trefoilpitch.gateway._request_deadline import RequestDeadline
from trefoilpitch.gateway._request_dependencies import RequestDependencies
from trefoilpitch.gateway._response_speed import ResponseSpeed
from trefoilpitch.retries import FailureKind


class StreamForwarder:
    """Forwards one stream.

    Args:
        deps: Collaborators that all requests of the daemon share.
        route: The request's route.
        responder: Sends the response.
        hand_over: Keeps a stalled attempt until another upstream takes over.
        deadline: The request's deadline.
    """

    def __init__(
        self,
        deps: RequestDependencies,
        route: Route,
        responder: Responder,
        hand_over: HandOver,
        deadline: RequestDeadline,
    ) -> None:
        self._deps = deps
        self._route = route
        self._responder = responder
        self._hand_over = hand_over
        self._deadline = deadline
        self._last_event_id: int | None = None

    @property
    def last_event_id(self) -> int | None:
        """Id of the last event that was forwarded; None if there is none."""
        return self._last_event_id

    async def forward(
        self,
        attempt: SentAttempt,
        response: UpstreamResponse,
        speed: ResponseSpeed,
        on_success: Callable[[], None],
        on_events: Callable[[int], None],
    ) -> None:
        """Forwards what an attempt adds to the stream, and ends it.

        Args:
            attempt: The attempt.
            response: The head of its response.
            speed: Receives the times of the events.
            on_success: Called once the upstream has responded properly.
            on_events: Called with the number of events that arrive after the
                first ones.

        Raises:
            ExchangeError: If another upstream has taken over the stream, the
                deadline is reached, or the stream is truncated or malformed.
        """
        reader = EventReader(attempt.connection, self._deps.clock)
        first = True
        while True:
            events = await self._next_events(reader, attempt)
            if events is None:
                break
            if first:
                first = False
                attempt.progress.first_event_ms = self._deps.clock.now_ms()
                on_success()
            else:
                speed.events_arrived(len(events), self._deps.clock.now_ms())
                on_events(len(events))
            for event in events:
                await self._forward_event(response, event.data, event.event_id)
        if reader.pending or (first and not self._is_at_end(response)):
            raise ExchangeError(
                FailureKind.RESPONSE_TRUNCATED,
                "stream ended inside an event or without one",
            )
        if first:
            on_success()
        self._responder.finish()

    def _is_at_end(self, response: UpstreamResponse) -> bool:
        """Whether a stream that was resumed without an event is complete.

        A body that only its connection delimits also ends without an event if
        the upstream does.
        """
        return self._last_event_id is not None and response.head.is_delimited

    async def _forward_event(
        self, response: UpstreamResponse, data: bytes, event_id: int | None
    ) -> None:
        last = self._last_event_id
        if event_id is not None and last is not None and event_id != last + 1:
            raise ExchangeError(
                FailureKind.MALFORMED_RESPONSE,
                f"event id {event_id} does not follow {last}",
            )
        if not self._responder.started:
            headers = self._deps.codec.encode_response(response)
            await self._responder.start(response.head.status, headers)
        await self._responder.write(data)
        if event_id is not None:
            self._last_event_id = event_id

    async def _next_events(
        self, reader: EventReader, attempt: SentAttempt
    ) -> list[RawEvent] | None:
        """Waits for events; a stalled stream is kept until another resumes it.

        Raises:
            ExchangeError: If another upstream has taken over the stream, the
                deadline is reached, or the stream is truncated or malformed.
        """
        remaining_ms = self._deadline.remaining_ms(self._deps.clock.now_ms())
        if remaining_ms <= 0:
            raise ExchangeError(
                FailureKind.RESPONSE_TIMEOUT, "deadline reached"
            )
        limit_ms = float(reader.paused_ms + remaining_ms)
        gap_ms = limit_ms
        if self._route.repeatable:
            gap_ms = min(limit_ms, stall_timeout_ms(self._route))
        try:
            return await reader.read(gap_ms)
        except ExchangeError as error:
            stalled = error.kind is FailureKind.RESPONSE_TIMEOUT
            if not stalled or gap_ms >= limit_ms:
                raise
        events = await self._hand_over.keep(
            attempt, reader.read(limit_ms, with_content=True), gap_ms
        )
        if events is not None:
            # An upstream that goes on is not ejected any more.
            health = self._deps.dispatcher.health(attempt.entry.upstream_id)
            health.record_success(None, self._deps.clock.now_ms())
        return events

"""Bodies of streamed responses."""

from __future__ import annotations

from trefoilpitch.callers._encode import (
    encode_delta,
    encode_stream_end,
    encode_stream_error,
)
from trefoilpitch.clock import Clock
from trefoilpitch.metrics import Label, Metrics
from trefoilpitch.serving import (
    ChatEvent,
    ChatResponse,
    Completed,
    Delta,
    Truncated,
)


class StreamBody:
    """Encodes the events of a response as the HTTP server iterates over it.

    The server closes the body when the caller disconnects; closing it before
    its end cancels the response.

    Args:
        response: The response; closed by this body.
        token: The signed resume point.
        started_ms: Monotonic time at which the request was received.
        clock: Measures latencies.
        metrics: Records latencies and counts responses by outcome.
    """

    def __init__(
        self,
        response: ChatResponse,
        token: str,
        started_ms: int,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._response = response
        self._events = iter(response)
        self._token = token
        self._started_ms = started_ms
        self._clock = clock
        self._metrics = metrics
        # Label of the metric: "whole", "broken" if an error event ended the
        # stream, or "cut" if the caller disconnected.
        self._outcome = "cut"
        self._has_begun = False

    def __iter__(self) -> StreamBody:
        return self

    def __next__(self) -> bytes:
        event = next(self._events)
        if not self._has_begun:
            self._has_begun = True
            self._observe_latency("first_token")
        return self._encode(event)

    def close(self) -> None:
        """Closes the response; called once by the HTTP server."""
        self._response.close()
        self._observe_latency("answer")
        self._metrics.count("answers", Label("outcome", self._outcome))

    def _encode(self, event: ChatEvent) -> bytes:
        if isinstance(event, Delta):
            return encode_delta(self._response.info, self._token, event)
        if isinstance(event, Completed):
            self._outcome = "whole"
            return encode_stream_end(self._response.info, event)
        assert isinstance(event, Truncated)
        self._outcome = "broken"
        return encode_stream_error(event.problem)

    def _observe_latency(self, name: str) -> None:
        elapsed_ms = self._clock.now_ms() - self._started_ms
        self._metrics.observe_ms(name, elapsed_ms)

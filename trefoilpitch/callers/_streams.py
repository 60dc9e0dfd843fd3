"""Bodies of streamed answers."""

from __future__ import annotations

from trefoilpitch.callers._encode import (
    encode_broken,
    encode_completed,
    encode_delta,
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
    """Encodes an answer's events as the HTTP server asks for them.

    Closing the body before its end, as the server does when the caller has
    gone away, cancels the answer.

    Args:
        answer: The answer; owned from here on.
        token: The signed resume point.
        started_ms: When the request arrived.
        clock: Measures latencies.
        metrics: Counts how answers end.
    """

    def __init__(
        self,
        answer: ChatResponse,
        token: str,
        started_ms: int,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._answer = answer
        self._events = iter(answer)
        self._token = token
        self._started_ms = started_ms
        self._clock = clock
        self._metrics = metrics
        self._outcome = "cut"
        self._has_begun = False

    def __iter__(self) -> StreamBody:
        return self

    def __next__(self) -> bytes:
        event = next(self._events)
        if not self._has_begun:
            self._has_begun = True
            self._observe("first_token")
        return self._encode(event)

    def close(self) -> None:
        """Ends the answer; called once by the HTTP server."""
        self._answer.close()
        self._observe("answer")
        self._metrics.count("answers", Label("outcome", self._outcome))

    def _encode(self, event: ChatEvent) -> bytes:
        if isinstance(event, Delta):
            return encode_delta(self._answer.info, self._token, event)
        if isinstance(event, Completed):
            self._outcome = "whole"
            return encode_completed(self._answer.info, event)
        assert isinstance(event, Truncated)
        self._outcome = "broken"
        return encode_broken(event.problem)

    def _observe(self, name: str) -> None:
        elapsed_ms = self._clock.now_ms() - self._started_ms
        self._metrics.observe_ms(name, elapsed_ms)

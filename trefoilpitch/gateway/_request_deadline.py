"""Until when one request may run."""

from __future__ import annotations

from trefoilpitch.fleet import Route
from trefoilpitch.gateway._http_server import Responder
from trefoilpitch.gateway._messages import CallerRequest


class RequestDeadline:
    """The deadlines of a request, in monotonic time.

    A response has to begin within the route's timeout; one that has begun may
    go on until its caller's deadline.

    Args:
        request: The request.
        route: Its route.
        responder: Knows whether the response has begun.
    """

    def __init__(
        self, request: CallerRequest, route: Route, responder: Responder
    ) -> None:
        self._responder = responder
        arrived_ms = request.http.arrived_ms
        wait_ms = route.timeout_ms
        if request.wait_ms is not None:
            wait_ms = request.wait_ms
        self._caller_ms = arrived_ms + wait_ms
        self._response_ms = min(self._caller_ms, arrived_ms + route.timeout_ms)

    @property
    def caller_ms(self) -> int:
        """The caller's deadline."""
        return self._caller_ms

    @property
    def at_ms(self) -> int:
        """The deadline that applies now."""
        if self._responder.started:
            return self._caller_ms
        return self._response_ms

    def remaining_ms(self, now_ms: int) -> int:
        """Returns the time until the deadline that applies now."""
        return self.at_ms - now_ms

"""Creates HTTP clients of upstreams."""

from __future__ import annotations

from trefoilpitch.bundle import Upstream
from trefoilpitch.clock import Clock
from trefoilpitch.upstreams import (
    DeadlineWatch,
    EngineClient,
    ServiceClient,
    open_engine_client,
    open_service_client,
)


class HttpClients:
    """A ``ClientFactory`` over HTTP.

    Args:
        clock: Measures deadlines.
        watch: Ends exchanges of all clients at their deadlines.
    """

    def __init__(self, clock: Clock, watch: DeadlineWatch) -> None:
        self._clock = clock
        self._watch = watch

    def engine(self, upstream: Upstream) -> EngineClient:
        """Creates a client of a model engine."""
        return open_engine_client(
            upstream=upstream.name,
            address=upstream.address,
            clock=self._clock,
            watch=self._watch,
            max_connections=upstream.capacity,
        )

    def service(self, upstream: Upstream) -> ServiceClient:
        """Creates a client of a plain service."""
        return open_service_client(
            upstream=upstream.name,
            address=upstream.address,
            clock=self._clock,
            watch=self._watch,
            max_connections=upstream.capacity,
        )

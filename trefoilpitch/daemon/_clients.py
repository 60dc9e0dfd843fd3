"""Creates HTTP clients of upstreams."""

from __future__ import annotations

from trefoilpitch.bundle import Upstream
from trefoilpitch.clock import Clock
from trefoilpitch.upstreams import (
    DeadlineMonitor,
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

    def __init__(self, clock: Clock, deadline_monitor: DeadlineMonitor) -> None:
        self._clock = clock
        self._deadline_monitor = deadline_monitor

    def engine(self, upstream: Upstream) -> EngineClient:
        """Creates a client of a model engine."""
        return open_engine_client(
            upstream=upstream.name,
            address=upstream.address,
            clock=self._clock,
            deadline_monitor=self._deadline_monitor,
            max_connections=upstream.capacity,
        )

    def service(self, upstream: Upstream) -> ServiceClient:
        """Creates a client of a plain service."""
        return open_service_client(
            upstream=upstream.name,
            address=upstream.address,
            clock=self._clock,
            deadline_monitor=self._deadline_monitor,
            max_connections=upstream.capacity,
        )

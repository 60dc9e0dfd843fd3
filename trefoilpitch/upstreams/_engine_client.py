"""Client of a model engine."""

from __future__ import annotations

from types import TracebackType
from typing import Protocol, Self

from returns.result import Result

from trefoilpitch.bundle import VersionRef
from trefoilpitch.clock import Clock
from trefoilpitch.upstreams._cancellation import Cancellation
from trefoilpitch.upstreams._connection_pool import ConnectionPool
from trefoilpitch.upstreams._deadlines import DeadlineMonitor
from trefoilpitch.upstreams._exceptions import UpstreamError
from trefoilpitch.upstreams._http_engine_client import HttpEngineClient
from trefoilpitch.upstreams._reports import create_load_report_client
from trefoilpitch.upstreams._response_stream import ResponseStream
from trefoilpitch.upstreams._stats import ClientStats
from trefoilpitch.upstreams._types import (
    CacheEvents,
    CompletionRequest,
    LoadReport,
    Order,
    OrderResponse,
    Timeouts,
)

# Connections for cache events and orders, and for load reports that the fast
# client does not support.
_CONTROL_CONNECTIONS = 2


class EngineClient(Protocol):
    """Sends requests to one model engine; safe to use from many threads."""

    def __enter__(self) -> Self: ...

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None: ...

    @property
    def stats(self) -> ClientStats:
        """Counts of completions; load reports and orders are not counted."""

    def start(
        self,
        request: CompletionRequest,
        cancellation: Cancellation | None = None,
    ) -> Result[ResponseStream, UpstreamError]:
        """Starts a completion.

        Args:
            request: The completion request.
            cancellation: Cancels the request, also before a response begins.

        Returns:
            The stream, which the caller must close, or the error.
        """

    def resume(
        self,
        request_id: str,
        version: VersionRef,
        *,
        after_index: int,
        deadline_ms: int,
        cancellation: Cancellation | None = None,
    ) -> Result[ResponseStream, UpstreamError]:
        """Resumes a response that the engine still holds.

        Never starts a run.

        Args:
            request_id: The request whose response is resumed.
            version: The version that generates the response.
            after_index: Index of the last chunk received; -1 if none was.
            deadline_ms: Monotonic time by which the response must be
                complete.
            cancellation: Cancels the request, also before a response begins.

        Returns:
            The stream of the remaining chunks, or a ``ResumeError``, which is
            a ``ResponseGoneError`` if the engine no longer holds the response.
        """

    def load_report(
        self, *, deadline_ms: int
    ) -> Result[LoadReport, UpstreamError]:
        """Fetches the engine's current load report."""

    def cache_events(
        self, *, after: int, deadline_ms: int
    ) -> Result[CacheEvents, UpstreamError]:
        """Fetches the cache events after a position in the event log."""

    def send_order(
        self, order: Order, *, deadline_ms: int
    ) -> Result[OrderResponse, UpstreamError]:
        """Sends an order to the engine.

        Returns:
            The engine's state after executing it, or the error;
            ``StaleFencingError`` if the engine checks fencing numbers and has
            seen a higher one.
        """


def open_engine_client(
    *,
    upstream: str,
    address: str,
    clock: Clock,
    deadline_monitor: DeadlineMonitor,
    max_connections: int = 64,
    timeouts: Timeouts | None = None,
) -> EngineClient:
    """Creates a client of an engine; connects on first use.

    Args:
        upstream: The upstream's name.
        address: IP address and port.
        clock: Measures deadlines.
        deadline_monitor: Aborts overdue exchanges; shared by many clients.
        max_connections: Limit on completions in flight.
        timeouts: Time limits for the phases of a request.

    Returns:
        The client, a context manager that closes idle connections.
    """
    timeouts = timeouts or Timeouts()

    def pool(connections: int) -> ConnectionPool:
        return ConnectionPool(
            upstream=upstream,
            address=address,
            max_connections=connections,
            timeouts=timeouts,
            clock=clock,
            deadline_monitor=deadline_monitor,
        )

    control = pool(_CONTROL_CONNECTIONS)
    reports = create_load_report_client(
        control, address=address, clock=clock, timeouts=timeouts
    )
    return HttpEngineClient(pool(max_connections), control, reports)

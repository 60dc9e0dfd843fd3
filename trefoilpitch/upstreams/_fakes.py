"""In-memory fakes of the clients, for tests."""

from __future__ import annotations

import collections
import threading
from collections.abc import Callable, Iterator, Sequence
from types import TracebackType
from typing import Self

from returns.result import Failure, Result, Success

from trefoilpitch.bundle import VersionRef
from trefoilpitch.upstreams._cancellation import Cancellation
from trefoilpitch.upstreams._exceptions import (
    CancelledError,
    ConnectError,
    IncompleteReplyError,
    ResponseGoneError,
    StaleFencingError,
    UpstreamError,
)
from trefoilpitch.upstreams._response_stream import ResponseStream
from trefoilpitch.upstreams._stats import ClientStats
from trefoilpitch.upstreams._types import (
    CacheEvents,
    Chunk,
    CompletionRequest,
    Finish,
    LoadReport,
    Order,
    OrderKind,
    OrderResponse,
    ServiceRequest,
    ServiceResponse,
)

StreamItem = Chunk | Finish | UpstreamError


class _FakeResponseStream:
    def __init__(self, upstream: str, items: Sequence[StreamItem]) -> None:
        self._upstream = upstream
        self._items = items
        self._cancelled = threading.Event()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.cancel()

    def __iter__(self) -> Iterator[Chunk | Finish]:
        for item in self._items:
            if self._cancelled.is_set():
                raise CancelledError(self._upstream, "cancelled")
            if isinstance(item, UpstreamError):
                raise item
            yield item
            if isinstance(item, Finish):
                return
        detail = "response ended without a finish"
        raise IncompleteReplyError(self._upstream, detail)

    def cancel(self) -> None:
        self._cancelled.set()


class FakeEngineClient:
    """Returns scripted responses and records the requests.

    Args:
        upstream: The upstream's name.
    """

    def __init__(self, upstream: str = "fake") -> None:
        self._upstream = upstream
        self._lock = threading.Lock()
        self._scripted: collections.deque[Sequence[StreamItem]] = (
            collections.deque()
        )
        self._held: dict[str, Sequence[StreamItem]] = {}
        self._requests: list[CompletionRequest] = []
        self._orders: list[Order] = []
        self._versions: set[VersionRef] = set()
        self._report: LoadReport | None = None
        self._events: CacheEvents | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Holds nothing that needs closing."""

    @property
    def stats(self) -> ClientStats:
        """All zero; a fake counts nothing."""
        return _empty_stats(self._upstream)

    @property
    def requests(self) -> list[CompletionRequest]:
        """The requests started so far, in order."""
        with self._lock:
            return list(self._requests)

    @property
    def orders(self) -> list[Order]:
        """The orders executed so far, in order."""
        with self._lock:
            return list(self._orders)

    def script(self, *items: StreamItem) -> None:
        """Appends a response to the script.

        If the first item is an error, ``start`` returns it.
        """
        with self._lock:
            self._scripted.append(items)

    def hold(self, request_id: str, *items: StreamItem) -> None:
        """Holds a response, so that it can be resumed."""
        with self._lock:
            self._held[request_id] = items

    def set_load_report(self, report: LoadReport | None) -> None:
        """Sets the load report; None makes fetching it fail."""
        self._report = report

    def set_cache_events(self, events: CacheEvents | None) -> None:
        """Sets the cache events; None makes fetching them fail."""
        self._events = events

    def start(
        self,
        request: CompletionRequest,
        cancellation: Cancellation | None = None,
    ) -> Result[ResponseStream, UpstreamError]:
        """Returns the next scripted response."""
        with self._lock:
            self._requests.append(request)
            items = self._scripted.popleft() if self._scripted else ()
        if not items:
            return Failure(ConnectError(self._upstream, "no scripted response"))
        if isinstance(items[0], UpstreamError):
            return Failure(items[0])
        stream = _FakeResponseStream(self._upstream, items)
        if cancellation is not None:
            cancellation.attach(stream)
        return Success(stream)

    def resume(
        self,
        request_id: str,
        version: VersionRef,
        *,
        after_index: int,
        deadline_ms: int,
        cancellation: Cancellation | None = None,
    ) -> Result[ResponseStream, UpstreamError]:
        """Returns the rest of a held response."""
        del version, deadline_ms
        with self._lock:
            items = self._held.get(request_id)
        if items is None:
            cause = ConnectError(self._upstream, "response not held")
            return Failure(ResponseGoneError(cause))
        rest = [
            item
            for item in items
            if not isinstance(item, Chunk) or item.index > after_index
        ]
        stream = _FakeResponseStream(self._upstream, rest)
        if cancellation is not None:
            cancellation.attach(stream)
        return Success(stream)

    def load_report(
        self, *, deadline_ms: int
    ) -> Result[LoadReport, UpstreamError]:
        """Returns the report that was set."""
        del deadline_ms
        if self._report is None:
            return Failure(ConnectError(self._upstream, "no load report"))
        return Success(self._report)

    def cache_events(
        self, *, after: int, deadline_ms: int
    ) -> Result[CacheEvents, UpstreamError]:
        """Returns the events that were set."""
        del after, deadline_ms
        if self._events is None:
            return Failure(ConnectError(self._upstream, "no cache events"))
        return Success(self._events)

    def send_order(
        self, order: Order, *, deadline_ms: int
    ) -> Result[OrderResponse, UpstreamError]:
        """Executes an order unless its fencing number is stale."""
        del deadline_ms
        with self._lock:
            numbers = [earlier.fencing_number for earlier in self._orders]
            if order.fencing_number < max(numbers, default=0):
                detail = "stale fencing number"
                return Failure(StaleFencingError(self._upstream, detail))
            self._orders.append(order)
            if order.version is not None and order.kind is OrderKind.LOAD:
                self._versions.add(order.version)
            if order.version is not None and order.kind is OrderKind.UNLOAD:
                self._versions.discard(order.version)
            versions = frozenset(self._versions)
        return Success(OrderResponse(versions=versions, role=order.role))


class FakeServiceClient:
    """Responds to calls by a function and records them.

    Args:
        respond: Called for each request; returns its result.
    """

    def __init__(
        self,
        respond: Callable[
            [ServiceRequest], Result[ServiceResponse, UpstreamError]
        ],
    ) -> None:
        self._respond = respond
        self._lock = threading.Lock()
        self._requests: list[ServiceRequest] = []
        self._report: LoadReport | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Holds nothing that needs closing."""

    @property
    def stats(self) -> ClientStats:
        """All zero; a fake counts nothing."""
        return _empty_stats("fake")

    @property
    def requests(self) -> list[ServiceRequest]:
        """The calls made so far, in order."""
        with self._lock:
            return list(self._requests)

    def set_load_report(self, report: LoadReport | None) -> None:
        """Sets the load report; None makes fetching it fail."""
        self._report = report

    def call(
        self,
        request: ServiceRequest,
        cancellation: Cancellation | None = None,
    ) -> Result[ServiceResponse, UpstreamError]:
        """Calls the function; fails if the call is cancelled meanwhile."""
        with self._lock:
            self._requests.append(request)
        result = self._respond(request)
        if cancellation is not None and cancellation.cancelled:
            return Failure(CancelledError("fake", "cancelled"))
        return result

    def load_report(
        self, *, deadline_ms: int
    ) -> Result[LoadReport, UpstreamError]:
        """Returns the report that was set."""
        del deadline_ms
        if self._report is None:
            return Failure(ConnectError("fake", "no load report"))
        return Success(self._report)


def _empty_stats(upstream: str) -> ClientStats:
    return ClientStats(
        upstream=upstream,
        connections_in_use=0,
        connections_idle=0,
        connections_opened=0,
        successes=0,
        failures=(),
    )

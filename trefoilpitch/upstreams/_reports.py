"""Fetches and decodes load reports and cache events."""

from __future__ import annotations

from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.bundle import VERSION_SEPARATOR, VersionRef
from trefoilpitch.clock import Clock
from trefoilpitch.upstreams._connection_pool import ConnectionPool
from trefoilpitch.upstreams._exceptions import (
    ErrorReplyError,
    IncompleteReplyError,
    UpstreamError,
)
from trefoilpitch.upstreams._fast_get import FastGetClient
from trefoilpitch.upstreams._http_request import HttpRequest
from trefoilpitch.upstreams._responses import read_body
from trefoilpitch.upstreams._types import (
    CacheEvent,
    CacheEvents,
    LoadReport,
    Timeouts,
)

_LOAD_PATH = "/v1/load"
_CACHE_EVENTS_PATH = "/v1/cache-events"
_MAX_REPORT_BYTES = 1 << 20
_OK = 200

_Count = Annotated[int, msgspec.Meta(ge=0)]


class _WireReport(msgspec.Struct, frozen=True):
    incarnation: str
    running: _Count
    waiting: _Count
    capacity: _Count
    warm: bool
    reported_ms: int
    leaving: bool = False
    cached_prefixes: list[str] = []
    versions: list[str] | None = None


class _WireEvent(msgspec.Struct, frozen=True):
    sequence: int
    prefix: str
    stored: bool


class _WireEvents(msgspec.Struct, frozen=True):
    incarnation: str
    events: list[_WireEvent]


class LoadReportClient:
    """Fetches the load reports of one upstream.

    Args:
        pool: Connections for the general client, the fallback.
        fast_client: Tried first; supports simple responses only.
    """

    def __init__(
        self, pool: ConnectionPool, fast_client: FastGetClient
    ) -> None:
        self._pool = pool
        self._fast_client = fast_client
        self._uses_fast_client = True

    def fetch(self, deadline_ms: int) -> Result[LoadReport, UpstreamError]:
        """Fetches and decodes ``GET /v1/load``."""
        body = self._fetch_fast(deadline_ms) if self._uses_fast_client else None
        if body is None:
            # An upstream does not change the form of its responses, so the
            # fast client is not tried again.
            self._uses_fast_client = False
            body = _fetch(self._pool, _LOAD_PATH, deadline_ms)
        upstream = self._pool.upstream
        return body.bind(lambda data: decode_load_report(upstream, data))

    def close(self) -> None:
        """Closes the idle connection of the fast client."""
        self._fast_client.close()

    def _fetch_fast(
        self, deadline_ms: int
    ) -> Result[bytes, UpstreamError] | None:
        fetched = self._fast_client.fetch(deadline_ms)
        if fetched is None or isinstance(fetched, Failure):
            return fetched
        response = fetched.unwrap()
        if response.status == _OK:
            return Success(response.body)
        return Failure(_error_response(self._pool.upstream, response.status))


def create_load_report_client(
    pool: ConnectionPool, *, address: str, clock: Clock, timeouts: Timeouts
) -> LoadReportClient:
    """Creates the load report client of an upstream.

    Args:
        pool: Connections for responses that the fast client does not support.
        address: IP address and port.
        clock: Measures deadlines.
        timeouts: Only the connect timeout is used.
    """
    fast_client = FastGetClient(
        upstream=pool.upstream,
        address=address,
        path=_LOAD_PATH,
        clock=clock,
        connect_ms=timeouts.connect_ms,
        max_bytes=_MAX_REPORT_BYTES,
    )
    return LoadReportClient(pool, fast_client)


def fetch_cache_events(
    pool: ConnectionPool, after: int, deadline_ms: int
) -> Result[CacheEvents, UpstreamError]:
    """Fetches and decodes ``GET /v1/cache-events``."""
    body = _fetch(pool, f"{_CACHE_EVENTS_PATH}?after={after}", deadline_ms)
    return body.bind(
        lambda data: decode_cache_events(pool.upstream, after, data)
    )


def decode_load_report(
    upstream: str, data: bytes
) -> Result[LoadReport, UpstreamError]:
    """Decodes the response of ``GET /v1/load``."""
    try:
        wire = msgspec.json.decode(data, type=_WireReport)
        versions = _parse_versions(wire.versions)
    except (msgspec.MsgspecError, ValueError) as error:
        detail = f"malformed load report: {error}"
        return Failure(IncompleteReplyError(upstream, detail))
    return Success(
        LoadReport(
            upstream=upstream,
            incarnation=wire.incarnation,
            running=wire.running,
            waiting=wire.waiting,
            capacity=wire.capacity,
            warm=wire.warm,
            leaving=wire.leaving,
            cached_prefixes=frozenset(wire.cached_prefixes),
            versions=versions,
            reported_ms=wire.reported_ms,
        )
    )


def decode_cache_events(
    upstream: str, after: int, data: bytes
) -> Result[CacheEvents, UpstreamError]:
    """Decodes the response of ``GET /v1/cache-events``.

    Events at or before ``after`` and duplicates are dropped.
    """
    try:
        wire = msgspec.json.decode(data, type=_WireEvents)
    except (msgspec.MsgspecError, ValueError) as error:
        detail = f"malformed cache events: {error}"
        return Failure(IncompleteReplyError(upstream, detail))
    by_sequence = {
        event.sequence: CacheEvent(
            sequence=event.sequence, prefix=event.prefix, stored=event.stored
        )
        for event in wire.events
        if event.sequence > after
    }
    events = tuple(by_sequence[number] for number in sorted(by_sequence))
    gap = bool(events) and events[-1].sequence - after != len(events)
    return Success(
        CacheEvents(incarnation=wire.incarnation, events=events, gap=gap)
    )


def _parse_versions(names: list[str] | None) -> frozenset[VersionRef] | None:
    return None if names is None else frozenset(map(parse_version, names))


def parse_version(name: str) -> VersionRef:
    """Parses ``model@version``.

    Raises:
        ValueError: If the name has another form.
    """
    model, _, version = name.partition(VERSION_SEPARATOR)
    if not model or not version:
        raise ValueError(f"{name!r} is not of the form model@version")
    return VersionRef(model, version)


def _fetch(
    pool: ConnectionPool, path: str, deadline_ms: int
) -> Result[bytes, UpstreamError]:
    request = HttpRequest(
        method="GET",
        path=path,
        headers={},
        body=None,
        deadline_ms=deadline_ms,
    )
    sent = pool.send(request)
    if isinstance(sent, Failure):
        return Failure(sent.failure())
    exchange = sent.unwrap()
    try:
        body = read_body(exchange, pool.upstream, _MAX_REPORT_BYTES)
        if exchange.status == _OK:
            return body
        return Failure(_error_response(pool.upstream, exchange.status))
    finally:
        exchange.close()


def _error_response(upstream: str, status: int) -> UpstreamError:
    return ErrorReplyError(upstream, f"status {status}", status=status)

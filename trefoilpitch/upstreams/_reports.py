"""Decodes load reports and cache events."""

from __future__ import annotations

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.bundle import VERSION_SEPARATOR, VersionRef
from trefoilpitch.upstreams._exceptions import (
    IncompleteReplyError,
    UpstreamError,
)
from trefoilpitch.upstreams._nodes import CacheEvent, CacheEvents, LoadReport


class _WireReport(msgspec.Struct, frozen=True):
    incarnation: str
    running: int
    waiting: int
    capacity: int
    warm: bool
    reported_ms: int
    leaving: bool = False
    cached_prefixes: list[str] = []
    versions: list[str] = []


class _WireEvent(msgspec.Struct, frozen=True):
    sequence: int
    prefix: str
    stored: bool


class _WireEvents(msgspec.Struct, frozen=True):
    incarnation: str
    events: list[_WireEvent]


def decode_load_report(
    upstream: str, data: bytes
) -> Result[LoadReport, UpstreamError]:
    """Decodes the reply to ``GET /v1/load``."""
    try:
        wire = msgspec.json.decode(data, type=_WireReport)
    except msgspec.MsgspecError as error:
        detail = f"the load report is malformed: {error}"
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
            versions=frozenset(map(_version_ref, wire.versions)),
            reported_ms=wire.reported_ms,
        )
    )


def decode_cache_events(
    upstream: str, after: int, data: bytes
) -> Result[CacheEvents, UpstreamError]:
    """Decodes the reply to ``GET /v1/cache-events``.

    Events at or before ``after`` are dropped, and repeated ones kept once.
    """
    try:
        wire = msgspec.json.decode(data, type=_WireEvents)
    except msgspec.MsgspecError as error:
        detail = f"the cache events are malformed: {error}"
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


def _version_ref(name: str) -> VersionRef:
    model, _, version = name.partition(VERSION_SEPARATOR)
    return VersionRef(model, version)

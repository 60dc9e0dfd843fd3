"""The messages between daemons as commit 634f958 decodes them.

Daemons of that build run beside those of the next one. The structures are not
changed with the product's.
"""

from __future__ import annotations

from typing import Annotated, TypeAlias

import msgspec

_Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0)]
_MAX_REPORTED_TRAITS = 24
_MAX_REPORTED_ENDINGS = 24
_MAX_REPORTED_SOUND_TRAITS = 16


class EvidenceReport(msgspec.Struct, frozen=True, array_like=True):
    ended: Annotated[
        tuple[tuple[int, _Count], ...],
        msgspec.Meta(max_length=_MAX_REPORTED_ENDINGS),
    ] = ()
    traits: Annotated[
        tuple[tuple[int, int, int], ...],
        msgspec.Meta(max_length=_MAX_REPORTED_TRAITS),
    ] = ()
    sound: Annotated[
        tuple[tuple[int, _Count], ...],
        msgspec.Meta(max_length=_MAX_REPORTED_SOUND_TRAITS),
    ] = ()
    newest_sound_age_ms: _Count | None = None


class VersionCount(msgspec.Struct, frozen=True, array_like=True):
    service: str
    version: str
    order_revision: int
    good: _Count
    failed: _Count
    slow: _Count
    off_target: _Count


class PaceReport(msgspec.Struct, frozen=True, array_like=True):
    service: str
    order_revision: int
    target: dict[int, dict[int, int]]
    others: dict[int, dict[int, int]]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="heartbeat"):
    node: str
    incarnation: str
    sequence: int
    revision: int
    current: bool
    store_reachable: bool
    ready: bool
    versions: tuple[VersionCount, ...]
    in_flight: dict[int, _Count] = {}
    era: int = 0
    configuration: int = 0
    stopped: tuple[tuple[str, int], ...] = ()
    unreachable: tuple[int, ...] = ()
    traits: EvidenceReport = EvidenceReport()
    paces: tuple[PaceReport, ...] = ()
    confirmed_age_ms: _Count | None = None
    relay_room: _Count = 0
    links_doubted: bool = False
    rejection_limits: dict[str, _Count] = {}


class EvidenceMessage(
    msgspec.Struct, frozen=True, array_like=True, tag="evidence"
):
    traits: EvidenceReport


class WireItem(msgspec.Struct, frozen=True, array_like=True):
    key: str
    value: bytes | None
    revision: int


class WireBatch(msgspec.Struct, frozen=True, array_like=True):
    items: tuple[WireItem, ...]
    revision: int
    era: int = 0
    complete: bool = False


class Member(msgspec.Struct, frozen=True):
    incarnation: str
    caller_address: str
    peer_host: str
    peer_port: int
    heartbeat_port: int
    failure_domain: str


class Quarantine(msgspec.Struct, frozen=True):
    traits: tuple[int, ...]
    endings: tuple[tuple[int, int], ...]


class Rollout(msgspec.Struct, frozen=True):
    target: str
    order_revision: int
    phase: str
    percent: int

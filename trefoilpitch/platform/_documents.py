"""Decodes and encodes the documents in the platform's store."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, TypeAlias

import msgspec

from trefoilpitch.fleet import (
    Configuration,
    Document,
    Evacuation,
    MalformedDocumentError,
    Member,
    OperationKind,
    QuarantineRecord,
    RequestLimits,
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    Route,
    Service,
    UpstreamEntry,
    UpstreamState,
    WeightedService,
    Workspace,
    Write,
)
from trefoilpitch.gateway import log_event

_CONFIGURATION_KEY = "op/config"
_ROLLOUT_PREFIX = "op/rollout/"
_EVACUATION_PREFIX = "op/evacuate/"
_UPSTREAM_PREFIX = "servers/"
_STATUS_PREFIX = "status/rollout/"
# Keys that only the daemons use.
_RECORD_PREFIX = "trefoilpitch/rollout/"
_MEMBER_PREFIX = "trefoilpitch/member/"
_QUARANTINE_PREFIX = "trefoilpitch/quarantine/"
_MS_PER_S = 1_000
# A path in printable ASCII, as in the first line of a request.
_HEALTH_PATH = re.compile(r"/[!-~]{0,255}")
# A longer cold time means the same.
_MAX_COLD_MS = 3_600_000
# Larger engines are taken as having no limit.
_MAX_MEMORY_TOKENS = 1_000_000_000

_OPERATION_KINDS = {
    "stream": OperationKind.STREAM,
    "idempotent": OperationKind.IDEMPOTENT,
    "non_idempotent": OperationKind.NON_IDEMPOTENT,
}
_STATUS_STATES = {
    RolloutPhase.CANARY: "running",
    RolloutPhase.SHIFT: "running",
    RolloutPhase.COMPLETED: "completed",
    RolloutPhase.ROLLED_BACK: "rolled_back",
}


# Bounds of the figures in entries that other writers may have left: sums and
# products of them stay within what floats and messages to peers can hold.
_Slots: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
_MAX_PORT = 65_535
_Port: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]
_WallMs: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
_Digest: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
_PORT_DIGITS = re.compile(r"[0-9]{1,5}")


class _Wire(msgspec.Struct, frozen=True, rename="kebab"):
    """Base of the platform's documents; unknown fields are ignored."""


class _Split(_Wire, frozen=True, rename="kebab"):
    service: str
    weight: float


class _Route(_Wire, frozen=True, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float
    priority: int = 0
    max_attempts: int = 1
    service: str = ""
    traffic_split: tuple[_Split, ...] = ()
    model_tiers: tuple[str, ...] = ()
    public: bool = False
    resumable: bool = False
    target_gap_ms: float = 0


class _Model(_Wire, frozen=True, rename="kebab"):
    name: str
    cost: float = 0.0


class _Engine(_Wire, frozen=True, rename="kebab"):
    models: tuple[_Model, ...] = ()
    # Tokens that fit into its memory. A malformed value must not lose the
    # whole configuration.
    kv_capacity: object = None


class _Service(_Wire, frozen=True, rename="kebab"):
    name: str
    cold_start_s: float = 0.0
    # Requests a second to a cold upstream, from all daemons together.
    cold_per_s: float = 0.0
    # Path of the workers' health responses; empty for none.
    health_path: object = ""
    engine: _Engine | None = None


class _Limits(_Wire, frozen=True, rename="kebab"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class _Tenant(_Wire, frozen=True, rename="kebab"):
    name: str
    api_keys: tuple[str, ...] = ()
    # Overrides the priority of routes unless None.
    priority: int | None = None


class _Config(_Wire, frozen=True, rename="kebab"):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits | None = None
    tenants: tuple[_Tenant, ...] | None = None


class _ServerModel(_Wire, frozen=True, rename="kebab"):
    name: str


class _Server(_Wire, frozen=True, rename="kebab"):
    service: str
    address: str
    zone: str
    version: str
    slots: _Slots
    state: str
    # Remaining cold time of the worker when it wrote the entry.
    cold_left_ms: float = 0
    # Unix milliseconds of the worker's start; 0 if unknown.
    born: _WallMs = 0
    models: tuple[_ServerModel, ...] = ()


class _RolloutOrder(_Wire, frozen=True, rename="kebab"):
    service: str
    target: str
    duration_s: float


class _Record(msgspec.Struct, frozen=True):
    target: str
    order_revision: int
    phase: str
    percent: int


class _Member(msgspec.Struct, frozen=True):
    incarnation: str
    caller_address: str
    peer_host: str
    peer_port: _Port
    heartbeat_port: _Port
    failure_domain: str


class _Quarantine(msgspec.Struct, frozen=True):
    traits: tuple[_Digest, ...]
    # Upstream and Unix milliseconds of its ending.
    endings: tuple[tuple[_Digest, _WallMs], ...]


class PlatformDocuments:
    """Implements `trefoilpitch.fleet.DocumentCodec`."""

    def decode(self, key: str, value: bytes) -> Document | None:
        """Decodes an item of the store."""
        try:
            return _decode(key, value)
        except (
            msgspec.DecodeError,
            RecursionError,
            ValueError,
            OverflowError,
            KeyError,
        ) as error:
            raise MalformedDocumentError(str(error)) from error

    def rollout_key(self, service: str) -> str:
        """Returns the key of a service's roll-out record."""
        return f"{_RECORD_PREFIX}{service}"

    def rollout_order_key(self, service: str) -> str:
        """Returns the key of an operator's roll-out order for a service."""
        return f"{_ROLLOUT_PREFIX}{service}"

    def encode_rollout(self, record: RolloutRecord) -> tuple[Write, ...]:
        """Encodes a roll-out record and its status for operators."""
        status = {
            "service": record.service,
            "target": record.target,
            "state": _STATUS_STATES[record.phase],
        }
        stored = _Record(
            target=record.target,
            order_revision=record.order_revision,
            phase=record.phase.value,
            percent=record.percent,
        )
        return (
            Write(
                key=self.rollout_key(record.service),
                value=msgspec.json.encode(stored),
            ),
            Write(
                key=f"{_STATUS_PREFIX}{record.service}",
                value=msgspec.json.encode(status),
            ),
        )

    def encode_member(self, member: Member, lease_id: int) -> Write:
        """Encodes a daemon's registration."""
        value = _Member(
            incarnation=member.incarnation,
            caller_address=member.caller_address,
            peer_host=member.peer_host,
            peer_port=member.peer_port,
            heartbeat_port=member.heartbeat_port,
            failure_domain=member.failure_domain,
        )
        return Write(
            key=f"{_MEMBER_PREFIX}{member.name}",
            value=msgspec.json.encode(value),
            lease_id=lease_id,
        )

    def encode_quarantine(
        self, record: QuarantineRecord, lease_id: int
    ) -> Write:
        """Encodes the record of a quarantine."""
        value = _Quarantine(traits=record.traits, endings=record.endings)
        return Write(
            key=f"{_QUARANTINE_PREFIX}{record.name}",
            value=msgspec.json.encode(value),
            lease_id=lease_id,
        )


def _decode(key: str, value: bytes) -> Document | None:
    if key == _CONFIGURATION_KEY:
        return _configuration(msgspec.json.decode(value, type=_Config))
    if key.startswith(_UPSTREAM_PREFIX):
        server = msgspec.json.decode(value, type=_Server)
        return _upstream(key.removeprefix(_UPSTREAM_PREFIX), server)
    if key.startswith(_ROLLOUT_PREFIX):
        order = msgspec.json.decode(value, type=_RolloutOrder)
        return RolloutOrder(
            service=order.service,
            target=order.target,
            duration_ms=int(order.duration_s * _MS_PER_S),
        )
    if key.startswith(_EVACUATION_PREFIX):
        return Evacuation(failure_domain=key.removeprefix(_EVACUATION_PREFIX))
    return _decode_internal(key, value)


def _decode_internal(key: str, value: bytes) -> Document | None:
    if key.startswith(_RECORD_PREFIX):
        record = msgspec.json.decode(value, type=_Record)
        return RolloutRecord(
            service=key.removeprefix(_RECORD_PREFIX),
            target=record.target,
            order_revision=record.order_revision,
            phase=RolloutPhase(record.phase),
            percent=record.percent,
        )
    if key.startswith(_MEMBER_PREFIX):
        member = msgspec.json.decode(value, type=_Member)
        _address(member.caller_address)
        ipaddress.IPv4Address(member.peer_host)
        return Member(
            name=key.removeprefix(_MEMBER_PREFIX),
            incarnation=member.incarnation,
            caller_address=member.caller_address,
            peer_host=member.peer_host,
            peer_port=member.peer_port,
            heartbeat_port=member.heartbeat_port,
            failure_domain=member.failure_domain,
        )
    if key.startswith(_QUARANTINE_PREFIX):
        quarantine = msgspec.json.decode(value, type=_Quarantine)
        if not (quarantine.traits and quarantine.endings):
            raise ValueError("quarantine without traits or endings")
        return QuarantineRecord(
            name=key.removeprefix(_QUARANTINE_PREFIX),
            traits=quarantine.traits,
            endings=quarantine.endings,
        )
    return None


def _configuration(config: _Config) -> Configuration:
    keys: dict[str, Workspace] | None = None
    if config.tenants is not None:
        keys = {
            key: Workspace(name=tenant.name, priority=tenant.priority)
            for tenant in config.tenants
            for key in tenant.api_keys
        }
    limits = RequestLimits()
    if config.limits is not None:
        limits = RequestLimits(
            max_header_bytes=config.limits.max_header_bytes,
            max_body_bytes=config.limits.max_body_bytes,
            header_timeout_ms=config.limits.header_timeout_ms,
            idle_timeout_ms=config.limits.idle_timeout_ms,
        )
    return Configuration(
        version=config.version,
        routes=tuple(_route(route) for route in config.routes),
        services={s.name: _service(s) for s in config.services},
        limits=limits,
        workspaces_by_key=keys,
    )


def _route(route: _Route) -> Route:
    shares = tuple(
        WeightedService(service=split.service, weight=split.weight)
        for split in route.traffic_split
    )
    if not shares:
        shares = (WeightedService(service=route.service, weight=1.0),)
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=_OPERATION_KINDS[route.kind],
        timeout_ms=int(route.timeout_ms),
        target_latency_ms=int(route.target_latency_ms),
        priority=route.priority,
        max_attempts=route.max_attempts,
        services=shares,
        model_tiers=route.model_tiers,
        public=route.public,
        resumable=route.resumable,
        target_gap_ms=int(route.target_gap_ms),
    )


def _service(service: _Service) -> Service:
    models: tuple[_Model, ...] = ()
    memory_tokens: int | None = None
    if service.engine is not None:
        models = service.engine.models
        memory_tokens = _memory_tokens(service.name, service.engine.kv_capacity)
    return Service(
        name=service.name,
        cold_start_ms=int(service.cold_start_s * _MS_PER_S),
        cold_rate_per_s=service.cold_per_s,
        health_path=_health_path(service.health_path),
        model_costs=tuple((model.name, model.cost) for model in models),
        memory_tokens=memory_tokens,
    )


def _health_path(value: object) -> str:
    """Returns a path that can be requested; a service works without one."""
    if isinstance(value, str) and _HEALTH_PATH.fullmatch(value):
        return value
    return ""


def _memory_tokens(service: str, capacity: object) -> int | None:
    """Returns an engine's token memory; None if no limit is known."""
    if capacity is None:
        return None
    number = isinstance(capacity, int | float) and not isinstance(
        capacity, bool
    )
    if not number or not 1 <= float(str(capacity)) <= _MAX_MEMORY_TOKENS:
        log_event(
            "malformed_kv_capacity", service=service, value=str(capacity)[:100]
        )
        return None
    return int(float(str(capacity)))


def _address(text: str) -> tuple[str, int]:
    """Returns an IPv4 address and a port.

    Raises:
        ValueError: If nothing can listen there.
    """
    host, _, digits = text.rpartition(":")
    port = int(digits) if _PORT_DIGITS.fullmatch(digits) else 0
    if not 1 <= port <= _MAX_PORT:
        raise ValueError(f"malformed port: {digits[:20]!r}")
    return str(ipaddress.IPv4Address(host)), port


def _upstream(upstream_id: str, server: _Server) -> UpstreamEntry:
    host, port = _address(server.address)
    return UpstreamEntry(
        upstream_id=upstream_id,
        service=server.service,
        host=host,
        port=port,
        failure_domain=server.zone,
        version=server.version,
        slots=server.slots,
        state=UpstreamState(server.state),
        cold_left_ms=int(min(_MAX_COLD_MS, max(0, server.cold_left_ms))),
        started_wall_ms=server.born,
        models=tuple(model.name for model in server.models),
    )

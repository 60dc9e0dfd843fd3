"""A codec that keeps documents in memory, and sample documents."""

from __future__ import annotations

from trefoilpitch.fleet import (
    Configuration,
    Document,
    Item,
    MalformedDocumentError,
    Member,
    OperationKind,
    QuarantineRecord,
    RequestLimits,
    RolloutRecord,
    Route,
    Service,
    UpstreamEntry,
    UpstreamState,
    WeightedService,
    Workspace,
    Write,
)


class InMemoryCodec:
    """Decodes a value by looking up the document that was encoded as it."""

    def __init__(self) -> None:
        self._documents: dict[bytes, Document] = {}

    def item(self, key: str, document: Document, revision: int) -> Item:
        value = f"{key}@{revision}".encode()
        self._documents[value] = document
        return Item(key=key, value=value, revision=revision)

    def decode(self, key: str, value: bytes) -> Document | None:
        if value == b"broken":
            raise MalformedDocumentError(key)
        return self._documents.get(value)

    def rollout_key(self, service: str) -> str:
        return f"record/{service}"

    def rollout_order_key(self, service: str) -> str:
        return f"order/{service}"

    def encode_rollout(self, record: RolloutRecord) -> tuple[Write, ...]:
        return (Write(key=self.rollout_key(record.service), value=b""),)

    def encode_member(self, member: Member, lease_id: int) -> Write:
        return Write(key=member.name, value=b"", lease_id=lease_id)

    def encode_quarantine(
        self, record: QuarantineRecord, lease_id: int
    ) -> Write:
        item = self.item(record.name, record, 0)
        assert item.value is not None
        return Write(key=item.key, value=item.value, lease_id=lease_id)


def route(**fields: object) -> Route:
    values: dict[str, object] = {
        "name": "r",
        "host": "host.example",
        "path_prefix": "/a/",
        "kind": OperationKind.IDEMPOTENT,
        "timeout_ms": 1_000,
        "target_latency_ms": 200,
        "priority": 1,
        "max_attempts": 2,
        "services": (WeightedService(service="s", weight=1.0),),
    }
    return Route(**{**values, **fields})  # type: ignore[arg-type]


def configuration(version: int = 1, **fields: object) -> Configuration:
    values: dict[str, object] = {
        "version": version,
        "routes": (route(),),
        "services": {
            "s": Service(name="s", cold_start_ms=3_000, cold_rate_per_s=12.0)
        },
        "limits": RequestLimits(),
        "workspaces_by_key": {"key": Workspace(name="w", priority=None)},
    }
    return Configuration(**{**values, **fields})  # type: ignore[arg-type]


def upstream(upstream_id: str = "u", **fields: object) -> UpstreamEntry:
    values: dict[str, object] = {
        "upstream_id": upstream_id,
        "service": "s",
        "host": "127.0.0.1",
        "port": 1,
        "failure_domain": "domain-a",
        "version": "v1",
        "slots": 64,
        "state": UpstreamState.READY,
        "cold_left_ms": 0,
        "started_wall_ms": 0,
    }
    return UpstreamEntry(**{**values, **fields})  # type: ignore[arg-type]

import dataclasses

import pytest

from trefoilpitch.peering import (
    FrameCodec,
    PayloadKind,
    PayloadRegistry,
    PeerIdentity,
    PeerKeys,
    create_frame_codec,
    create_payload_registry,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Note:
    text: str
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unregistered:
    text: str = ""


KEYS = PeerKeys(current=b"new key", other=b"old key")
NOTE = PayloadKind("test.note", Note)
UNREGISTERED = PayloadKind("test.unregistered", Unregistered)


def create_identity(name: str, port: int = 1) -> PeerIdentity:
    return PeerIdentity(
        deployment="archive",
        name=name,
        incarnation=f"{name}-1",
        address=f"127.0.0.1:{port}",
    )


def create_codec(
    name: str,
    port: int = 1,
    keys: PeerKeys = KEYS,
    registry: PayloadRegistry | None = None,
) -> FrameCodec:
    return create_frame_codec(
        identity=create_identity(name, port),
        keys=keys,
        registry=registry or create_payload_registry([NOTE]),
        limit_bytes=4_096,
    )


@pytest.fixture
def registry() -> PayloadRegistry:
    return create_payload_registry([NOTE])

from __future__ import annotations

import contextlib
import hmac
from collections.abc import Callable, Iterator

import pynng
import pytest

from tests.endtoend.client import exchange_bytes
from tests.endtoend.fleet import Fleet
from tools.processes import SHARED_KEY, wait_until
from trefoilpitch.peering import (
    DEFAULT_FRAME_LIMIT_BYTES,
    FrameCodec,
    PeerIdentity,
    PeerKeys,
    create_frame_codec,
    create_payload_registry,
)

_SEND_TIMEOUT_MS = 5_000


def _codec(*, deployment: str = "default", key: str = SHARED_KEY) -> FrameCodec:
    return create_frame_codec(
        identity=PeerIdentity(
            deployment=deployment,
            name="stranger",
            incarnation="stranger_0",
            address="127.0.0.1:20999",
        ),
        keys=PeerKeys(current=key.encode()),
        registry=create_payload_registry(),
    )


def _unsigned(recipient: str) -> list[bytes]:
    del recipient
    return [b"\x00" * 200]


def _wrong_key(recipient: str) -> list[bytes]:
    return [_codec(key="another-key-0123456789").seal(recipient, ())]


def _other_deployment(recipient: str) -> list[bytes]:
    return [_codec(deployment="another").seal(recipient, ())]


def _misaddressed(recipient: str) -> list[bytes]:
    del recipient
    return [_codec().seal("127.0.0.1:20998", ())]


def _empty(recipient: str) -> list[bytes]:
    del recipient
    return [b""]


def _short(recipient: str) -> list[bytes]:
    del recipient
    return [b"hello"]


def _signed_garbage(recipient: str) -> list[bytes]:
    del recipient
    body = b"\xc1 is no MessagePack"
    return [hmac.digest(SHARED_KEY.encode(), body, "sha256") + body]


def _replayed(recipient: str) -> list[bytes]:
    return [_codec().seal(recipient, ())] * 2


@contextlib.contextmanager
def _sending(address: str, frames: list[bytes]) -> Iterator[None]:
    """Sends frames and keeps the connection open inside the context."""
    with pynng.Push0(send_timeout=_SEND_TIMEOUT_MS) as socket:
        socket.dial(f"tcp://{address}", block=True)
        for frame in frames:
            socket.send(frame)
        yield


def _drop_count(fleet: Fleet, reason: str) -> int:
    return int(fleet.dump("a")["peering"]["dropped"].get(reason, 0))


def _assert_still_serving(fleet: Fleet) -> None:
    assert fleet.look_up("a").status == 200
    dump = fleet.dump("a")
    assert {actor["restarts"] for actor in dump["actors"]} == {0}
    assert dump["peering"]["dropped"].get("handler_failed", 0) == 0


@pytest.mark.parametrize(
    ("frames", "reason"),
    [
        (_unsigned, "wrong_key"),
        (_wrong_key, "wrong_key"),
        (_other_deployment, "foreign"),
        (_misaddressed, "misaddressed"),
        (_empty, "malformed"),
        (_short, "malformed"),
        (_signed_garbage, "malformed"),
        (_replayed, "replayed"),
    ],
)
def test_invalid_frame_is_dropped_and_counted(
    fleet: Fleet, frames: Callable[[str], list[bytes]], reason: str
) -> None:
    before = _drop_count(fleet, reason)
    with _sending(fleet.peer_address("a"), frames(fleet.peer_address("a"))):
        wait_until(
            lambda: _drop_count(fleet, reason) > before,
            f"drop of a frame with reason {reason}",
        )
    _assert_still_serving(fleet)


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\x00SP\x00\x00\x50\x00\x00" + b"\xff" * 64,
    ],
    ids=["http", "huge-length"],
)
def test_other_protocols_on_peer_port_are_rejected(
    fleet: Fleet, data: bytes
) -> None:
    exchange_bytes(fleet.peer_address("a"), data)
    _assert_still_serving(fleet)


def test_oversized_frame_is_refused(fleet: Fleet) -> None:
    before = _drop_count(fleet, "oversized")
    frame = b"x" * (DEFAULT_FRAME_LIMIT_BYTES + 1)
    with _sending(fleet.peer_address("a"), [frame]):
        wait_until(
            lambda: _drop_count(fleet, "oversized") > before,
            "drop of a frame with reason oversized",
        )
    _assert_still_serving(fleet)

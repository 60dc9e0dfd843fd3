"""The messages that `tools/record_messages.py` has recorded."""

from __future__ import annotations

import base64
import pathlib

import msgspec

_FOLDER = pathlib.Path(__file__).parent / "recorded"


class RecordedMessages(
    msgspec.Struct, frozen=True, kw_only=True, rename="kebab"
):
    """One build's messages; bytes are in base64."""

    build: str
    # The datagrams of each shape of a heartbeat.
    heartbeats: dict[str, tuple[str, ...]]
    evidence: str
    batch: str
    empty_batch: str
    relayed_request: tuple[tuple[str, str], ...]
    relayed_response: tuple[tuple[str, str], ...]
    # By kind.
    relay_failures: dict[str, tuple[tuple[str, str], ...]]
    # By result.
    probe_responses: dict[str, tuple[tuple[str, str], ...]]
    # Values of the store by key.
    documents: dict[str, str]


def recorded_messages(build: str = "634f958") -> RecordedMessages:
    """Reads the messages of a build."""
    data = (_FOLDER / f"messages-{build}.json").read_bytes()
    return msgspec.json.decode(data, type=RecordedMessages)


def recorded_bytes(text: str) -> bytes:
    return base64.b64decode(text)


def recorded_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[bytes, bytes], ...]:
    return tuple((n.encode("latin-1"), v.encode("latin-1")) for n, v in headers)

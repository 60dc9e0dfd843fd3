"""The JSON shapes of etcd's v3 gateway that the project uses.

Keys and values are base64; 64-bit integers are decimal strings; fields with
their zero value may be absent.
"""

from __future__ import annotations

import msgspec

from trefoilpitch.store._types import NO_LEASE, Entry

DELETE_TYPE = "DELETE"


class Header(msgspec.Struct, kw_only=True, omit_defaults=True):
    """What every reply starts with."""

    # The store revision that the reply was made at.
    revision: str = "0"


class KeyValue(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One key and its value."""

    key: bytes = b""
    value: bytes = b""
    mod_revision: str = "0"
    lease: str = "0"


class RangeRequest(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Reads the keys from ``key`` up to ``range_end``, or just ``key``."""

    key: bytes
    range_end: bytes = b""
    # The most keys to read; 0 for all.
    limit: str = "0"


class RangeResponse(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The keys found, in order."""

    header: Header = msgspec.field(default_factory=Header)
    kvs: list[KeyValue] = msgspec.field(default_factory=list)
    count: str = "0"


class Compare(msgspec.Struct, kw_only=True):
    """A condition on one key's revision."""

    key: bytes
    mod_revision: str = "0"
    target: str = "MOD"
    result: str = "EQUAL"


class PutRequest(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Writes a key."""

    key: bytes
    value: bytes = b""
    lease: str = "0"


class DeleteRangeRequest(msgspec.Struct, kw_only=True):
    """Deletes a key."""

    key: bytes


class RequestOp(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One step of a transaction; exactly one field is set."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None
    request_range: RangeRequest | None = None


class TxnRequest(msgspec.Struct, kw_only=True):
    """Does ``success`` if every comparison holds, else ``failure``."""

    compare: list[Compare]
    success: list[RequestOp]
    failure: list[RequestOp]


class ResponseOp(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The reply to one step; only ranges are looked at."""

    response_range: RangeResponse | None = None


class TxnResponse(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Whether the comparisons held, and the replies of the steps done."""

    header: Header = msgspec.field(default_factory=Header)
    succeeded: bool = False
    responses: list[ResponseOp] = msgspec.field(default_factory=list)


class LeaseRequest(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Grants, keeps alive or revokes a lease."""

    TTL: str = "0"
    ID: str = "0"


class LeaseResponse(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A lease's state; a time to live of 0 means that it has expired."""

    header: Header = msgspec.field(default_factory=Header)
    ID: str = "0"
    TTL: str = "0"


class KeepAliveResponse(msgspec.Struct, kw_only=True):
    """The one message of a keep-alive's stream."""

    result: LeaseResponse


class WatchCreate(msgspec.Struct, kw_only=True, omit_defaults=True):
    """What to watch, from which revision on."""

    key: bytes
    range_end: bytes = b""
    start_revision: str = "0"
    progress_notify: bool = False


class WatchRequest(msgspec.Struct, kw_only=True):
    """Opens a watch."""

    create_request: WatchCreate


class Event(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One change; the type is absent for a write."""

    kv: KeyValue
    type: str = "PUT"


class WatchResponse(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One message of a watch's stream."""

    header: Header = msgspec.field(default_factory=Header)
    created: bool = False
    canceled: bool = False
    compact_revision: str = "0"
    events: list[Event] = msgspec.field(default_factory=list)


class WatchMessage(msgspec.Struct, kw_only=True):
    """The envelope of a streamed reply."""

    result: WatchResponse


class ErrorResponse(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A refused call."""

    error: str = ""
    code: int = 0
    message: str = ""


def range_of(prefix: str) -> tuple[bytes, bytes]:
    """Returns the first key with a prefix, and the first one after all."""
    # A single zero byte stands for the first key of all, and for no end.
    first = prefix.encode() or b"\x00"
    trimmed = prefix.encode().rstrip(b"\xff")
    if not trimmed:
        return first, b"\x00"
    return first, trimmed[:-1] + bytes([trimmed[-1] + 1])


def entry_of(kv: KeyValue) -> Entry:
    """Returns the entry that a key-value pair stands for."""
    return Entry(
        key=kv.key.decode(),
        value=kv.value,
        revision=int(kv.mod_revision),
        lease_id=int(kv.lease) or NO_LEASE,
    )


def key_value_of(entry: Entry) -> KeyValue:
    """Returns the wire shape of an entry."""
    kv = KeyValue(
        key=entry.key.encode(),
        value=entry.value,
        mod_revision=str(entry.revision),
    )
    if entry.lease_id != NO_LEASE:
        kv.lease = str(entry.lease_id)
    return kv

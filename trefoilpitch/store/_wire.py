"""The messages of etcd's v3 JSON gateway that the client uses.

Keys and values are base64; 64-bit integers are decimal strings; fields with
their zero value may be absent.
"""

from __future__ import annotations

import msgspec

from trefoilpitch.store._types import NO_LEASE, Entry

DELETE_TYPE = "DELETE"


class Header(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The header of every response."""

    # The store revision at the time of the response.
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
    """The keys found, sorted."""

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
    """One operation of a transaction; exactly one field is set."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None
    request_range: RangeRequest | None = None


class TxnRequest(msgspec.Struct, kw_only=True):
    """Runs ``success`` if every comparison holds, else ``failure``."""

    compare: list[Compare]
    success: list[RequestOp]
    failure: list[RequestOp]


class ResponseOp(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The response to one operation; only ranges are decoded."""

    response_range: RangeResponse | None = None


class TxnResponse(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The comparisons' result and the responses to the operations run."""

    header: Header = msgspec.field(default_factory=Header)
    succeeded: bool = False
    responses: list[ResponseOp] = msgspec.field(default_factory=list)


class LeaseRequest(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Grants, keeps alive or revokes a lease."""

    TTL: str = "0"
    ID: str = "0"


class LeaseResponse(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A lease's state; a TTL of 0 means that it has expired."""

    header: Header = msgspec.field(default_factory=Header)
    ID: str = "0"
    TTL: str = "0"


class KeepAliveResponse(msgspec.Struct, kw_only=True):
    """The only message of a keep-alive stream."""

    result: LeaseResponse


class WatchCreate(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The keys to watch and the first revision to deliver."""

    key: bytes
    range_end: bytes = b""
    start_revision: str = "0"
    progress_notify: bool = False


class WatchRequest(msgspec.Struct, kw_only=True):
    """Opens a watch."""

    create_request: WatchCreate


class Event(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A change; the type is absent for a put."""

    kv: KeyValue
    type: str = "PUT"


class WatchResponse(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A message of a watch stream."""

    header: Header = msgspec.field(default_factory=Header)
    created: bool = False
    canceled: bool = False
    compact_revision: str = "0"
    events: list[Event] = msgspec.field(default_factory=list)


class WatchMessage(msgspec.Struct, kw_only=True):
    """The envelope of a watch stream's message."""

    result: WatchResponse


class ErrorResponse(msgspec.Struct, kw_only=True, omit_defaults=True):
    """The body of an error response."""

    error: str = ""
    code: int = 0
    message: str = ""


def prefix_range(prefix: str) -> tuple[bytes, bytes]:
    """Returns the range of a prefix: its first key and its exclusive end."""
    # A single zero byte means the lowest key as the start, and no upper limit
    # as the end.
    first = prefix.encode() or b"\x00"
    trimmed = prefix.encode().rstrip(b"\xff")
    if not trimmed:
        return first, b"\x00"
    return first, trimmed[:-1] + bytes([trimmed[-1] + 1])


def entry_of(kv: KeyValue) -> Entry:
    """Converts a key-value pair to an entry."""
    return Entry(
        key=kv.key.decode(),
        value=kv.value,
        revision=int(kv.mod_revision),
        lease_id=int(kv.lease) or NO_LEASE,
    )


def key_value_of(entry: Entry) -> KeyValue:
    """Converts an entry to a key-value pair."""
    kv = KeyValue(
        key=entry.key.encode(),
        value=entry.value,
        mod_revision=str(entry.revision),
    )
    if entry.lease_id != NO_LEASE:
        kv.lease = str(entry.lease_id)
    return kv

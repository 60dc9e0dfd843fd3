"""Turns the gateway's replies into the store's results."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.store import _wire as wire
from trefoilpitch.store._exceptions import (
    ConflictError,
    LeaseNotFoundError,
    NotAppliedError,
    OutcomeUnknownError,
    StoreError,
)
from trefoilpitch.store._types import ABSENT, Entry, Lease, Listing

_MS_PER_S = 1_000
_HTTP_SERVER_ERROR = 500
_GRPC_NOT_FOUND = 5

_T = TypeVar("_T")


def decode(data: bytes, reply_type: type[_T]) -> Result[_T, StoreError]:
    """Decodes a reply; one that makes no sense leaves the outcome open."""
    try:
        return Success(msgspec.json.decode(data, type=reply_type))
    except msgspec.MsgspecError as error:
        detail = f"not etcd's JSON: {error}"
        return Failure(OutcomeUnknownError(detail=detail))


def refusal(status: int, data: bytes) -> StoreError:
    """Turns an HTTP error into ours.

    A server error may come after the effect: etcd answers so when the call
    timed out behind its leader.
    """
    try:
        error = msgspec.json.decode(data, type=wire.ErrorResponse)
    except msgspec.MsgspecError:
        error = wire.ErrorResponse()
    detail = f"HTTP {status}: {error.message or error.error}"
    if error.code == _GRPC_NOT_FOUND:
        return LeaseNotFoundError(detail=detail)
    if status >= _HTTP_SERVER_ERROR:
        return OutcomeUnknownError(detail=detail)
    return NotAppliedError(detail=detail)


def first_entry(found: wire.RangeResponse) -> Entry | None:
    """Returns the entry of a read of one key."""
    return wire.entry_of(found.kvs[0]) if found.kvs else None


def listing_of(found: wire.RangeResponse) -> Listing:
    """Returns the entries of a read of a prefix."""
    return Listing(
        entries=tuple(wire.entry_of(kv) for kv in found.kvs),
        revision=int(found.header.revision),
    )


def lease_of(granted: wire.LeaseResponse) -> Lease:
    """Returns a granted lease."""
    ttl_ms = int(granted.TTL) * _MS_PER_S
    return Lease(lease_id=int(granted.ID), ttl_ms=ttl_ms)


def kept_lease(kept: wire.KeepAliveResponse) -> Result[Lease, StoreError]:
    """Returns a lease that was kept alive, unless it has expired."""
    if int(kept.result.TTL) <= 0:
        detail = f"lease {kept.result.ID} has expired"
        return Failure(LeaseNotFoundError(detail=detail))
    return Success(lease_of(kept.result))


def swap_revision(key: str, done: wire.TxnResponse) -> Result[int, StoreError]:
    """Returns the revision of a compare-and-swap, or the conflict."""
    if done.succeeded:
        return Success(int(done.header.revision))
    found = [
        kv
        for response in done.responses
        if response.response_range is not None
        for kv in response.response_range.kvs
    ]
    current_revision = int(found[0].mod_revision) if found else ABSENT
    return Failure(
        ConflictError(
            detail=f"{key} is at {current_revision}",
            current_revision=current_revision,
        )
    )

"""Converts the gateway's responses to the store's results."""

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


def decode(data: bytes, response_type: type[_T]) -> Result[_T, StoreError]:
    """Decodes a response; if it is malformed, the outcome is unknown."""
    try:
        return Success(msgspec.json.decode(data, type=response_type))
    except msgspec.MsgspecError as error:
        detail = f"malformed response from etcd: {error}"
        return Failure(OutcomeUnknownError(detail=detail))


def error_from_response(status: int, data: bytes) -> StoreError:
    """Converts an HTTP error response to a store error.

    The outcome after a server error is unknown: etcd sends one if the call
    timed out at its leader, which may still have applied it.
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


def first_entry(response: wire.RangeResponse) -> Entry | None:
    """Returns the first entry; None if there is none."""
    return wire.entry_of(response.kvs[0]) if response.kvs else None


def listing_of(response: wire.RangeResponse) -> Listing:
    """Returns the entries and the revision that they were read at."""
    return Listing(
        entries=tuple(wire.entry_of(kv) for kv in response.kvs),
        revision=int(response.header.revision),
    )


def lease_of(response: wire.LeaseResponse) -> Lease:
    """Returns the lease with its TTL in milliseconds."""
    ttl_ms = int(response.TTL) * _MS_PER_S
    return Lease(lease_id=int(response.ID), ttl_ms=ttl_ms)


def renewed_lease(
    response: wire.KeepAliveResponse,
) -> Result[Lease, StoreError]:
    """Returns the renewed lease, or an error if it has expired."""
    if int(response.result.TTL) <= 0:
        detail = f"lease {response.result.ID} has expired"
        return Failure(LeaseNotFoundError(detail=detail))
    return Success(lease_of(response.result))


def compare_and_swap_revision(
    key: str, txn: wire.TxnResponse
) -> Result[int, StoreError]:
    """Returns the revision of the write, or the conflict."""
    if txn.succeeded:
        return Success(int(txn.header.revision))
    found = [
        kv
        for response in txn.responses
        if response.response_range is not None
        for kv in response.response_range.kvs
    ]
    current_revision = int(found[0].mod_revision) if found else ABSENT
    return Failure(
        ConflictError(
            detail=f"{key} is at revision {current_revision}",
            current_revision=current_revision,
        )
    )

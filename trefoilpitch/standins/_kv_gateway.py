"""Translates requests to etcd's JSON gateway into `MemoryStore` calls."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterator
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.store import (
    ABSENT,
    CompactedError,
    ConflictError,
    EventKind,
    Lease,
    LeaseNotFoundError,
    Listing,
    MemoryStore,
    OutcomeUnknownError,
    StoreError,
    UnavailableError,
    Watch,
    WatchBatch,
    WatchEvent,
)
from trefoilpitch.store import _wire as wire

_MS_PER_S = 1_000
_WATCH_POLL_MS = 1_000
_POLLS_PER_PROGRESS = 10
_GRPC_INVALID_ARGUMENT = 3
_GRPC_NOT_FOUND = 5

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GatewayResponse:
    """Status and JSON body of an HTTP response."""

    status: int
    body: bytes


class Gateway:
    """Serves etcd's JSON gateway API from a store.

    Args:
        store: The store, which also injects the faults.
    """

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self._routes: dict[str, Callable[[bytes], GatewayResponse | None]] = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
            "/v3/kv/lease/revoke": self._revoke,
        }

    def call(self, path: str, body: bytes) -> GatewayResponse | None:
        """Handles a call; None means to close the connection instead."""
        route = self._routes.get(path)
        if route is None:
            return _error_response(404, _GRPC_NOT_FOUND, f"no path {path}")
        try:
            return route(body)
        except (msgspec.MsgspecError, ValueError) as error:
            return _error_response(400, _GRPC_INVALID_ARGUMENT, str(error))

    def open_watch(self, body: bytes) -> Watch | None:
        """Opens a watch; None means to close the connection instead."""
        request = msgspec.json.decode(body, type=wire.WatchRequest)
        create = request.create_request
        start_revision = int(create.start_revision)
        result = self._store.watch(
            create.key.rstrip(b"\x00").decode(),
            start_revision or self._store.revision + 1,
        )
        return result.value_or(None)

    def _range(self, body: bytes) -> GatewayResponse | None:
        request = msgspec.json.decode(body, type=wire.RangeRequest)
        key = request.key.rstrip(b"\x00").decode()
        if int(request.limit):
            return _to_response(self._page(request), _range_response)
        result = self._store.list_prefix(key)
        if request.range_end:
            return _to_response(result, _range_response)
        return _to_response(
            result, lambda listing: _range_response(_exact_key(key, listing))
        )

    def _page(self, request: wire.RangeRequest) -> Result[Listing, StoreError]:
        last = request.range_end[-1] - 1
        prefix = request.range_end[:-1] + bytes([last])
        # A trailing zero byte means that the page starts after this key.
        has_start_key = request.key.endswith(b"\x00")
        start_key = request.key[:-1].decode() if has_start_key else ""
        return self._store.list_page(
            prefix.decode(), start_key, int(request.limit)
        )

    def _txn(self, body: bytes) -> GatewayResponse | None:
        request = msgspec.json.decode(body, type=wire.TxnRequest)
        compare = request.compare[0]
        result = self._change(request, int(compare.mod_revision))
        if isinstance(result, Failure):
            error = result.failure()
            if isinstance(error, ConflictError):
                return _ok_response(
                    self._conflict_response(compare.key, error.current_revision)
                )
        return _to_response(result, _txn_response)

    def _change(
        self, request: wire.TxnRequest, expected_revision: int
    ) -> Result[int, StoreError]:
        operation = request.success[0]
        if operation.request_put is not None:
            put = operation.request_put
            return self._store.put_if(
                put.key.decode(), put.value, expected_revision, int(put.lease)
            )
        key = request.compare[0].key.decode()
        return self._store.delete_if(key, expected_revision)

    def _conflict_response(self, key: bytes, revision: int) -> wire.TxnResponse:
        kvs = []
        if revision != ABSENT:
            kvs = [wire.KeyValue(key=key, mod_revision=str(revision))]
        current = wire.RangeResponse(kvs=kvs, count=str(len(kvs)))
        return wire.TxnResponse(
            header=wire.Header(revision=str(self._store.revision)),
            responses=[wire.ResponseOp(response_range=current)],
        )

    def _grant(self, body: bytes) -> GatewayResponse | None:
        request = msgspec.json.decode(body, type=wire.LeaseRequest)
        result = self._store.grant_lease(int(request.TTL) * _MS_PER_S)
        return _to_response(result, _lease_response)

    def _keep_alive(self, body: bytes) -> GatewayResponse | None:
        request = msgspec.json.decode(body, type=wire.LeaseRequest)
        result = self._store.keep_alive(int(request.ID))
        if isinstance(result, Failure) and isinstance(
            result.failure(), LeaseNotFoundError
        ):
            # etcd responds without a TTL if the lease has expired.
            expired = wire.LeaseResponse(ID=request.ID)
            return _ok_response(wire.KeepAliveResponse(result=expired))
        return _to_response(
            result,
            lambda lease: wire.KeepAliveResponse(result=_lease_response(lease)),
        )

    def _revoke(self, body: bytes) -> GatewayResponse | None:
        request = msgspec.json.decode(body, type=wire.LeaseRequest)
        result = self._store.revoke_lease(int(request.ID))
        return _to_response(result, lambda _: wire.LeaseResponse())


def watch_messages(
    watch: Watch, is_disconnected: Callable[[], bool]
) -> Iterator[bytes]:
    """Yields a watch's messages until it ends or the client disconnects.

    A watch without events gets a progress message every
    `_POLLS_PER_PROGRESS` polls.
    """
    yield _encode_watch_message(wire.WatchResponse(created=True))
    polls_without_events = 0
    while not is_disconnected():
        match watch.receive(_WATCH_POLL_MS):
            case Success(WatchBatch() as batch):
                polls_without_events = (
                    0 if batch.events else polls_without_events + 1
                )
                if polls_without_events % _POLLS_PER_PROGRESS == 0:
                    yield _encode_watch_message(_watch_response(batch))
            case Failure(CompactedError(oldest_revision=oldest)):
                yield _encode_watch_message(
                    wire.WatchResponse(
                        canceled=True, compact_revision=str(oldest)
                    )
                )
                return
            case _:
                return


def _watch_response(batch: WatchBatch) -> wire.WatchResponse:
    return wire.WatchResponse(
        header=wire.Header(revision=str(batch.revision)),
        events=[_wire_event(event) for event in batch.events],
    )


def _wire_event(event: WatchEvent) -> wire.Event:
    kv = wire.KeyValue(
        key=event.key.encode(),
        value=event.value,
        mod_revision=str(event.revision),
    )
    if event.kind is EventKind.DELETE:
        return wire.Event(kv=kv, type=wire.DELETE_TYPE)
    return wire.Event(kv=kv)


def _lease_response(lease: Lease) -> wire.LeaseResponse:
    return wire.LeaseResponse(
        ID=str(lease.lease_id), TTL=str(-(-lease.ttl_ms // _MS_PER_S))
    )


def _encode_watch_message(response: wire.WatchResponse) -> bytes:
    return msgspec.json.encode(wire.WatchMessage(result=response)) + b"\n"


def _range_response(listing: Listing) -> wire.RangeResponse:
    return wire.RangeResponse(
        header=wire.Header(revision=str(listing.revision)),
        kvs=[wire.key_value_of(entry) for entry in listing.entries],
        count=str(len(listing.entries)),
    )


def _exact_key(key: str, listing: Listing) -> Listing:
    """Removes the keys that the key is only a prefix of."""
    entries = tuple(entry for entry in listing.entries if entry.key == key)
    return Listing(entries=entries, revision=listing.revision)


def _txn_response(revision: int) -> wire.TxnResponse:
    header = wire.Header(revision=str(revision))
    return wire.TxnResponse(header=header, succeeded=True)


def _to_response(
    result: Result[_T, StoreError],
    to_message: Callable[[_T], msgspec.Struct],
) -> GatewayResponse | None:
    if isinstance(result, Success):
        return _ok_response(to_message(result.unwrap()))
    return _store_error_response(result.failure())


def _ok_response(message: msgspec.Struct) -> GatewayResponse:
    return GatewayResponse(status=200, body=msgspec.json.encode(message))


def _store_error_response(error: StoreError) -> GatewayResponse | None:
    match error:
        case UnavailableError() | OutcomeUnknownError():
            return None
        case LeaseNotFoundError(detail=detail):
            return _error_response(404, _GRPC_NOT_FOUND, detail)
        case _:
            return _error_response(400, _GRPC_INVALID_ARGUMENT, error.detail)


def _error_response(status: int, code: int, message: str) -> GatewayResponse:
    error = wire.ErrorResponse(error=message, code=code, message=message)
    return GatewayResponse(status=status, body=msgspec.json.encode(error))

"""Turns calls in etcd's JSON shapes into calls of a `MemoryStore`."""

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
class Reply:
    """An HTTP reply."""

    # The HTTP status.
    status: int
    # The JSON body.
    body: bytes


class Gateway:
    """Answers calls from a store.

    Args:
        store: Holds the keys and the faults.
    """

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self._routes: dict[str, Callable[[bytes], Reply | None]] = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
            "/v3/kv/lease/revoke": self._revoke,
        }

    def call(self, path: str, body: bytes) -> Reply | None:
        """Answers a call; None drops the connection without a reply."""
        route = self._routes.get(path)
        if route is None:
            return _error_reply(404, _GRPC_NOT_FOUND, f"no path {path}")
        try:
            return route(body)
        except (msgspec.MsgspecError, ValueError) as error:
            return _error_reply(400, _GRPC_INVALID_ARGUMENT, str(error))

    def open_watch(self, body: bytes) -> Watch | None:
        """Opens the watch asked for; None drops the connection."""
        request = msgspec.json.decode(body, type=wire.WatchRequest)
        create = request.create_request
        start_revision = int(create.start_revision)
        result = self._store.watch(
            create.key.rstrip(b"\x00").decode(),
            start_revision or self._store.revision + 1,
        )
        return result.value_or(None)

    def _range(self, body: bytes) -> Reply | None:
        request = msgspec.json.decode(body, type=wire.RangeRequest)
        key = request.key.rstrip(b"\x00").decode()
        if int(request.limit):
            return _answer(self._page(request), _range_response)
        result = self._store.list_prefix(key)
        if request.range_end:
            return _answer(result, _range_response)
        return _answer(
            result, lambda listing: _range_response(_only(key, listing))
        )

    def _page(self, request: wire.RangeRequest) -> Result[Listing, StoreError]:
        last = request.range_end[-1] - 1
        prefix = request.range_end[:-1] + bytes([last])
        # A zero byte marks the key after which to begin.
        is_later = request.key.endswith(b"\x00")
        after = request.key[:-1].decode() if is_later else ""
        return self._store.list_page(prefix.decode(), after, int(request.limit))

    def _txn(self, body: bytes) -> Reply | None:
        request = msgspec.json.decode(body, type=wire.TxnRequest)
        compare = request.compare[0]
        result = self._change(request, int(compare.mod_revision))
        if isinstance(result, Failure):
            error = result.failure()
            if isinstance(error, ConflictError):
                return _reply(
                    self._lost_compare(compare.key, error.current_revision)
                )
        return _answer(result, _txn_response)

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

    def _lost_compare(self, key: bytes, revision: int) -> wire.TxnResponse:
        kvs = []
        if revision != ABSENT:
            kvs = [wire.KeyValue(key=key, mod_revision=str(revision))]
        found = wire.RangeResponse(kvs=kvs, count=str(len(kvs)))
        return wire.TxnResponse(
            header=wire.Header(revision=str(self._store.revision)),
            responses=[wire.ResponseOp(response_range=found)],
        )

    def _grant(self, body: bytes) -> Reply | None:
        request = msgspec.json.decode(body, type=wire.LeaseRequest)
        result = self._store.grant_lease(int(request.TTL) * _MS_PER_S)
        return _answer(result, _lease_response)

    def _keep_alive(self, body: bytes) -> Reply | None:
        request = msgspec.json.decode(body, type=wire.LeaseRequest)
        result = self._store.keep_alive(int(request.ID))
        if isinstance(result, Failure) and isinstance(
            result.failure(), LeaseNotFoundError
        ):
            # etcd answers an expired lease without a time to live.
            expired = wire.LeaseResponse(ID=request.ID)
            return _reply(wire.KeepAliveResponse(result=expired))
        return _answer(
            result,
            lambda lease: wire.KeepAliveResponse(result=_lease_response(lease)),
        )

    def _revoke(self, body: bytes) -> Reply | None:
        request = msgspec.json.decode(body, type=wire.LeaseRequest)
        result = self._store.revoke_lease(int(request.ID))
        return _answer(result, lambda _: wire.LeaseResponse())


def watch_messages(
    watch: Watch, is_disconnected: Callable[[], bool]
) -> Iterator[bytes]:
    """Yields a watch's stream until it ends or the caller disconnects."""
    yield _message(wire.WatchResponse(created=True))
    quiet_polls = 0
    while not is_disconnected():
        match watch.receive(_WATCH_POLL_MS):
            case Success(WatchBatch() as batch):
                quiet_polls = 0 if batch.events else quiet_polls + 1
                if quiet_polls % _POLLS_PER_PROGRESS == 0:
                    yield _message(_watch_response(batch))
            case Failure(CompactedError(oldest_revision=oldest)):
                yield _message(
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


def _message(response: wire.WatchResponse) -> bytes:
    return msgspec.json.encode(wire.WatchMessage(result=response)) + b"\n"


def _range_response(listing: Listing) -> wire.RangeResponse:
    return wire.RangeResponse(
        header=wire.Header(revision=str(listing.revision)),
        kvs=[wire.key_value_of(entry) for entry in listing.entries],
        count=str(len(listing.entries)),
    )


def _only(key: str, listing: Listing) -> Listing:
    """Leaves out the keys that merely start with the key."""
    entries = tuple(entry for entry in listing.entries if entry.key == key)
    return Listing(entries=entries, revision=listing.revision)


def _txn_response(revision: int) -> wire.TxnResponse:
    header = wire.Header(revision=str(revision))
    return wire.TxnResponse(header=header, succeeded=True)


def _answer(
    result: Result[_T, StoreError],
    to_message: Callable[[_T], msgspec.Struct],
) -> Reply | None:
    if isinstance(result, Success):
        return _reply(to_message(result.unwrap()))
    return _refusal(result.failure())


def _reply(message: msgspec.Struct) -> Reply:
    return Reply(status=200, body=msgspec.json.encode(message))


def _refusal(error: StoreError) -> Reply | None:
    match error:
        case UnavailableError() | OutcomeUnknownError():
            return None
        case LeaseNotFoundError(detail=detail):
            return _error_reply(404, _GRPC_NOT_FOUND, detail)
        case _:
            return _error_reply(400, _GRPC_INVALID_ARGUMENT, error.detail)


def _error_reply(status: int, code: int, message: str) -> Reply:
    error = wire.ErrorResponse(error=message, code=code, message=message)
    return Reply(status=status, body=msgspec.json.encode(error))

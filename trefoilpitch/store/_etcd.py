"""A client of etcd's v3 JSON gateway."""

from __future__ import annotations

from types import TracebackType
from typing import Self, TypeVar

import msgspec
from returns.result import Failure, Result

from trefoilpitch.store import _etcd_responses as responses
from trefoilpitch.store import _wire as wire
from trefoilpitch.store._counting import CallCounter
from trefoilpitch.store._etcd_http import GatewayConnectionPool
from trefoilpitch.store._etcd_watch import EtcdWatch
from trefoilpitch.store._exceptions import NotAppliedError, StoreError
from trefoilpitch.store._types import (
    MAX_VALUE_BYTES,
    NO_LEASE,
    Entry,
    Lease,
    Listing,
    StoreCounters,
)

_MS_PER_S = 1_000
_DEFAULT_CONNECT_TIMEOUT_MS = 500
_DEFAULT_READ_TIMEOUT_MS = 1_500
_DEFAULT_IDLE_TIMEOUT_MS = 60_000
_DEFAULT_POOL_SIZE = 4

_T = TypeVar("_T")


class EtcdStore:
    """A client of etcd's v3 JSON gateway; a context manager.

    Calls are never retried, and use a bounded pool of connections.

    Args:
        calls: Connections for all requests but watches.
        watches: Connections for watches, each of which occupies one.
    """

    def __init__(
        self, *, calls: GatewayConnectionPool, watches: GatewayConnectionPool
    ) -> None:
        self._calls = calls
        self._watches = watches
        self._counter = CallCounter()

    @property
    def counters(self) -> StoreCounters:
        """Totals of this client's calls."""
        return self._counter.counters

    def get(self, key: str) -> Result[Entry | None, StoreError]:
        """Reads one key; None if it is absent."""
        request = wire.RangeRequest(key=key.encode())
        return self._range(request).map(responses.first_entry)

    def list_prefix(self, prefix: str) -> Result[Listing, StoreError]:
        """Reads every key that starts with a prefix at one revision."""
        first, end = wire.prefix_range(prefix)
        request = wire.RangeRequest(key=first, range_end=end)
        return self._range(request).map(responses.listing_of)

    def list_page(
        self, prefix: str, after: str, limit: int
    ) -> Result[Listing, StoreError]:
        """Reads one page of the keys that start with a prefix."""
        first, end = wire.prefix_range(prefix)
        if after:
            first = after.encode() + b"\x00"
        request = wire.RangeRequest(key=first, range_end=end, limit=str(limit))
        return self._range(request).map(responses.listing_of)

    def put_if(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: int = NO_LEASE,
    ) -> Result[int, StoreError]:
        """Writes a key if its revision is the expected one."""
        if len(value) > MAX_VALUE_BYTES:
            detail = f"value of {len(value)} bytes exceeds {MAX_VALUE_BYTES}"
            return Failure(NotAppliedError(detail=detail))
        put = wire.PutRequest(
            key=key.encode(), value=value, lease=str(lease_id)
        )
        write = wire.RequestOp(request_put=put)
        return self._compare_and_swap(key, expected_revision, write)

    def delete_if(
        self, key: str, expected_revision: int
    ) -> Result[int, StoreError]:
        """Deletes a key if its revision is the expected one."""
        delete = wire.DeleteRangeRequest(key=key.encode())
        write = wire.RequestOp(request_delete_range=delete)
        return self._compare_and_swap(key, expected_revision, write)

    def grant_lease(self, ttl_ms: int) -> Result[Lease, StoreError]:
        """Grants a lease; its TTL is rounded up to whole seconds."""
        ttl_s = -(-ttl_ms // _MS_PER_S)
        request = wire.LeaseRequest(TTL=str(ttl_s))
        response = self._post("/v3/lease/grant", request, wire.LeaseResponse)
        return self._record_write(response.map(responses.lease_of))

    def keep_alive(self, lease_id: int) -> Result[Lease, StoreError]:
        """Renews a lease for its full TTL."""
        request = wire.LeaseRequest(ID=str(lease_id))
        response = self._post(
            "/v3/lease/keepalive", request, wire.KeepAliveResponse
        )
        return self._record_write(response.bind(responses.renewed_lease))

    def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Revokes a lease and deletes its keys."""
        request = wire.LeaseRequest(ID=str(lease_id))
        response = self._post("/v3/lease/revoke", request, wire.LeaseResponse)
        return self._record_write(response.map(lambda _: None))

    def watch(
        self, prefix: str, from_revision: int
    ) -> Result[EtcdWatch, StoreError]:
        """Watches the changes of a prefix from a revision, inclusive."""
        first, end = wire.prefix_range(prefix)
        create = wire.WatchCreate(
            key=first,
            range_end=end,
            # A start revision of 0 requests only future changes.
            start_revision=str(max(from_revision, 1)),
            progress_notify=True,
        )
        body = msgspec.json.encode(wire.WatchRequest(create_request=create))
        stream = self._watches.open_stream("/v3/watch", body)
        return self._counter.record(stream).map(
            lambda response: EtcdWatch(response, from_revision, self._counter)
        )

    def close(self) -> None:
        """Closes idle connections."""
        self._calls.close()
        self._watches.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def _range(
        self, request: wire.RangeRequest
    ) -> Result[wire.RangeResponse, StoreError]:
        self._counter.count(reads=1)
        response = self._post("/v3/kv/range", request, wire.RangeResponse)
        return self._counter.record(response)

    def _compare_and_swap(
        self, key: str, expected_revision: int, write: wire.RequestOp
    ) -> Result[int, StoreError]:
        """Applies a write if the key's revision is the expected one."""
        compare = wire.Compare(
            key=key.encode(), mod_revision=str(expected_revision)
        )
        read = wire.RequestOp(request_range=wire.RangeRequest(key=key.encode()))
        request = wire.TxnRequest(
            compare=[compare], success=[write], failure=[read]
        )
        response = self._post("/v3/kv/txn", request, wire.TxnResponse)
        return self._record_write(
            response.bind(
                lambda txn: responses.compare_and_swap_revision(key, txn)
            )
        )

    def _record_write(
        self, result: Result[_T, StoreError]
    ) -> Result[_T, StoreError]:
        """Counts a write and its outcome."""
        self._counter.count(writes=1)
        return self._counter.record(result)

    def _post(
        self, path: str, request: msgspec.Struct, response_type: type[_T]
    ) -> Result[_T, StoreError]:
        body = msgspec.json.encode(request)
        return self._calls.post(path, body).bind(
            lambda data: responses.decode(data, response_type)
        )


def etcd_store(
    host: str,
    port: int,
    *,
    connect_timeout_ms: int = _DEFAULT_CONNECT_TIMEOUT_MS,
    read_timeout_ms: int = _DEFAULT_READ_TIMEOUT_MS,
    idle_timeout_ms: int = _DEFAULT_IDLE_TIMEOUT_MS,
    pool_size: int = _DEFAULT_POOL_SIZE,
) -> EtcdStore:
    """Creates a client of the etcd gateway at an address.

    Args:
        host: The gateway's IP address.
        port: The gateway's port.
        connect_timeout_ms: Time to open a connection, or to wait for a free
            one.
        read_timeout_ms: Time to wait for the next bytes of a response.
        idle_timeout_ms: Time without a message after which a watch ends.
        pool_size: The most concurrent calls, and the most open watches.
    """

    def pool() -> GatewayConnectionPool:
        return GatewayConnectionPool(
            host=host,
            port=port,
            connect_timeout_ms=connect_timeout_ms,
            read_timeout_ms=read_timeout_ms,
            idle_timeout_ms=idle_timeout_ms,
            size=pool_size,
        )

    return EtcdStore(calls=pool(), watches=pool())

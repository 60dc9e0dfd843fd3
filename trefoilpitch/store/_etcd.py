"""The adapter to etcd's v3 JSON gateway."""

from __future__ import annotations

from types import TracebackType
from typing import Self, TypeVar

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from trefoilpitch.store import _wire as wire
from trefoilpitch.store._etcd_watch import EtcdWatch
from trefoilpitch.store._exceptions import (
    ConflictError,
    LeaseNotFoundError,
    NotAppliedError,
    OutcomeUnknownError,
    StoreError,
    UnavailableError,
)
from trefoilpitch.store._types import (
    ABSENT,
    MAX_VALUE_BYTES,
    NO_LEASE,
    Entry,
    Lease,
    Listing,
)

_MS_PER_S = 1_000
_DEFAULT_CONNECT_TIMEOUT_MS = 500
_DEFAULT_READ_TIMEOUT_MS = 1_500
_DEFAULT_IDLE_TIMEOUT_MS = 60_000
_DEFAULT_POOL_SIZE = 4
_HTTP_OK = 200
_HTTP_SERVER_ERROR = 500
_GRPC_NOT_FOUND = 5
_JSON_HEADERS = {"Content-Type": "application/json"}
_NEVER_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
)

_T = TypeVar("_T")


class EtcdStore:
    """A client of etcd's v3 JSON gateway; a context manager.

    Calls are made once, never retried, on a bounded pool of connections.

    Args:
        pool: The connections for calls.
        watch_pool: Opens the connections of watches.
        pool_timeout_s: How long a call waits for a connection.
    """

    def __init__(
        self,
        *,
        pool: urllib3.HTTPConnectionPool,
        watch_pool: urllib3.HTTPConnectionPool,
        pool_timeout_s: float,
    ) -> None:
        self._pool = pool
        self._watch_pool = watch_pool
        self._pool_timeout_s = pool_timeout_s

    def get(self, key: str) -> Result[Entry | None, StoreError]:
        """Reads one key; None if it is absent."""
        request = wire.RangeRequest(key=key.encode())
        reply = self._post("/v3/kv/range", request, wire.RangeResponse)
        return reply.map(
            lambda found: wire.entry_of(found.kvs[0]) if found.kvs else None
        )

    def list_prefix(self, prefix: str) -> Result[Listing, StoreError]:
        """Reads every key that starts with a prefix at one revision."""
        request = wire.RangeRequest(
            key=prefix.encode() or b"\x00",
            range_end=wire.range_end_of(prefix.encode()),
        )
        reply = self._post("/v3/kv/range", request, wire.RangeResponse)
        return reply.map(_listing_of)

    def put_if(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: int = NO_LEASE,
    ) -> Result[int, StoreError]:
        """Writes a key if its revision is the expected one."""
        if len(value) > MAX_VALUE_BYTES:
            return Failure(
                NotAppliedError(detail=f"{len(value)} bytes is too big")
            )
        put = wire.PutRequest(
            key=key.encode(), value=value, lease=str(lease_id)
        )
        return self._swap(
            key, expected_revision, wire.RequestOp(request_put=put)
        )

    def delete_if(
        self, key: str, expected_revision: int
    ) -> Result[int, StoreError]:
        """Deletes a key if its revision is the expected one."""
        delete = wire.DeleteRangeRequest(key=key.encode())
        return self._swap(
            key, expected_revision, wire.RequestOp(request_delete_range=delete)
        )

    def grant_lease(self, ttl_ms: int) -> Result[Lease, StoreError]:
        """Grants a lease; the time to live is rounded up to whole seconds."""
        ttl_s = -(-ttl_ms // _MS_PER_S)
        request = wire.LeaseRequest(TTL=str(ttl_s))
        reply = self._post("/v3/lease/grant", request, wire.LeaseResponse)
        return reply.map(_lease_of)

    def keep_alive(self, lease_id: int) -> Result[Lease, StoreError]:
        """Starts a lease's time to live again."""
        request = wire.LeaseRequest(ID=str(lease_id))
        reply = self._post(
            "/v3/lease/keepalive", request, wire.KeepAliveResponse
        )
        return reply.bind(lambda kept: _kept_lease(lease_id, kept.result))

    def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Ends a lease and deletes its keys."""
        request = wire.LeaseRequest(ID=str(lease_id))
        reply = self._post("/v3/lease/revoke", request, wire.LeaseResponse)
        return reply.map(lambda _: None)

    def watch(
        self, prefix: str, from_revision: int
    ) -> Result[EtcdWatch, StoreError]:
        """Watches a prefix from a revision on, that one included."""
        create = wire.WatchCreate(
            key=prefix.encode() or b"\x00",
            range_end=wire.range_end_of(prefix.encode()),
            start_revision=str(from_revision),
            progress_notify=True,
        )
        body = msgspec.json.encode(wire.WatchRequest(create_request=create))
        return self._send(
            self._watch_pool, "/v3/watch", body, preload_content=False
        ).map(lambda response: EtcdWatch(response, from_revision))

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()
        self._watch_pool.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def _swap(
        self, key: str, expected_revision: int, change: wire.RequestOp
    ) -> Result[int, StoreError]:
        """Makes a change if the key's revision is the expected one."""
        read = wire.RangeRequest(key=key.encode())
        request = wire.TxnRequest(
            compare=[
                wire.Compare(
                    key=key.encode(), mod_revision=str(expected_revision)
                )
            ],
            success=[change],
            failure=[wire.RequestOp(request_range=read)],
        )
        reply = self._post("/v3/kv/txn", request, wire.TxnResponse)
        return reply.bind(lambda done: _swap_result(key, done))

    def _post(
        self, path: str, request: msgspec.Struct, reply_type: type[_T]
    ) -> Result[_T, StoreError]:
        body = msgspec.json.encode(request)
        return self._send(self._pool, path, body, preload_content=True).bind(
            lambda response: _decode(response.data, reply_type)
        )

    def _send(
        self,
        pool: urllib3.HTTPConnectionPool,
        path: str,
        body: bytes,
        *,
        preload_content: bool,
    ) -> Result[urllib3.BaseHTTPResponse, StoreError]:
        try:
            response = pool.urlopen(
                "POST",
                path,
                body=body,
                headers=_JSON_HEADERS,
                retries=False,
                redirect=False,
                # Fractions work; the annotation asks for whole seconds.
                pool_timeout=self._pool_timeout_s,  # type: ignore[arg-type]
                preload_content=preload_content,
            )
        except _NEVER_SENT as error:
            return Failure(UnavailableError(detail=str(error)))
        except urllib3.exceptions.HTTPError as error:
            return Failure(OutcomeUnknownError(detail=str(error)))
        if response.status == _HTTP_OK:
            return Success(response)
        return Failure(_refusal(response.status, response.data))


def _decode(data: bytes, reply_type: type[_T]) -> Result[_T, StoreError]:
    try:
        return Success(msgspec.json.decode(data, type=reply_type))
    except msgspec.MsgspecError as error:
        return Failure(OutcomeUnknownError(detail=f"not etcd's JSON: {error}"))


def _refusal(status: int, data: bytes) -> StoreError:
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


def _listing_of(found: wire.RangeResponse) -> Listing:
    return Listing(
        entries=tuple(wire.entry_of(kv) for kv in found.kvs),
        revision=int(found.header.revision),
    )


def _lease_of(granted: wire.LeaseResponse) -> Lease:
    return Lease(lease_id=int(granted.ID), ttl_ms=int(granted.TTL) * _MS_PER_S)


def _kept_lease(
    lease_id: int, kept: wire.LeaseResponse
) -> Result[Lease, StoreError]:
    if int(kept.TTL) <= 0:
        return Failure(
            LeaseNotFoundError(detail=f"lease {lease_id} has expired")
        )
    return Success(_lease_of(kept))


def _swap_result(key: str, done: wire.TxnResponse) -> Result[int, StoreError]:
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


def etcd_store(
    host: str,
    port: int,
    *,
    connect_timeout_ms: int = _DEFAULT_CONNECT_TIMEOUT_MS,
    read_timeout_ms: int = _DEFAULT_READ_TIMEOUT_MS,
    idle_timeout_ms: int = _DEFAULT_IDLE_TIMEOUT_MS,
    pool_size: int = _DEFAULT_POOL_SIZE,
) -> EtcdStore:
    """Creates a client of the gateway at an address.

    Args:
        host: The gateway's IP number.
        port: The gateway's port.
        connect_timeout_ms: Time to open a connection, or to wait for a free
            one.
        read_timeout_ms: Time to wait for the next bytes of a reply.
        idle_timeout_ms: A watch without any message for so long has ended.
        pool_size: Connections used at once for calls, and watches open at
            once.
    """
    connect_timeout_s = connect_timeout_ms / _MS_PER_S

    def pool_with(read_ms: int) -> urllib3.HTTPConnectionPool:
        return urllib3.HTTPConnectionPool(
            host,
            port,
            maxsize=pool_size,
            block=True,
            retries=False,
            timeout=urllib3.Timeout(
                connect=connect_timeout_s, read=read_ms / _MS_PER_S
            ),
        )

    return EtcdStore(
        pool=pool_with(read_timeout_ms),
        watch_pool=pool_with(idle_timeout_ms),
        pool_timeout_s=connect_timeout_s,
    )

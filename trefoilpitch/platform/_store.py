"""HTTP client of the platform's store."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import msgspec

from trefoilpitch.fleet import (
    Condition,
    ConditionFailedError,
    HistoryLostError,
    Item,
    ItemBatch,
    LeaseLostError,
    StoreUnavailableError,
    Write,
)
from trefoilpitch.gateway import (
    ExchangeError,
    HttpConnection,
    ListenAddress,
    connect,
    log_event,
)

# The store usually responds within a few milliseconds, and up to 60 times more
# slowly when it is degraded. A call that takes longer counts as failed.
_CALL_TIMEOUT_MS = 1_500
_CONNECT_TIMEOUT_MS = 500
# How much longer than the requested wait a watch may take to respond: twice as
# long as the degraded store takes. A lost watch delays configurations by it.
_WATCH_MARGIN_MS = 500
_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONDITION_FAILED = 412
# Rises by one each time the store is restored from an older copy.
_ERA = b"store-era"
_JSON = (b"Content-Type", b"application/json")


class PlatformStore:
    """Implements `trefoilpitch.fleet.FleetStore`.

    Watches use a separate connection, because a pending watch blocks it.

    Args:
        address: Address of the store.
        on_call: Called with the name of each call, to count it.
    """

    def __init__(
        self, address: ListenAddress, on_call: Callable[[str], None]
    ) -> None:
        self._address = address
        self._on_call = on_call
        self._host = f"{address.host}:{address.port}".encode()
        self._idle_connections: list[HttpConnection] = []
        self._watch_connection: HttpConnection | None = None
        self._era = 0

    @property
    def era(self) -> int:
        """Highest era in a response so far; 0 before the first response."""
        return self._era

    async def read_all(self) -> ItemBatch:
        """Reads all keys, page by page."""
        items: list[Item] = []
        revision = 0
        after = ""
        era: int | None = None
        while True:
            query = {"path-prefix": ""} | ({"after": after} if after else {})
            status, response = await self._call("kv-range", b"GET", query)
            if status != _OK:
                raise StoreUnavailableError(f"kv-range: status {status}")
            if era is not None and era != self._era:
                raise StoreUnavailableError("restored during the listing")
            era = self._era
            revision = revision or int(response["at"])
            page = [_item(row) for row in response["items"]]
            items.extend(page)
            if not response.get("has-more") or not page:
                return ItemBatch(
                    items=tuple(items),
                    revision=revision,
                    era=era,
                    complete=True,
                )
            if page[-1].key <= after:
                raise StoreUnavailableError("kv-range: pages do not advance")
            after = page[-1].key

    async def watch(self, after: int, wait_ms: int) -> ItemBatch:
        """Waits for changes of any key."""
        query = {
            "path-prefix": "",
            "after": str(after),
            "wait-timeout-ms": str(wait_ms),
        }
        connection = self._watch_connection
        self._watch_connection = None
        if connection is None or not connection.reusable:
            connection = await self._connect()
        status, response = await self._exchange(
            connection, "kv-watch", b"GET", query, wait_ms=wait_ms
        )
        self._watch_connection = connection
        if status == _GONE:
            raise HistoryLostError(
                f"the store has no history after revision {after}"
            )
        if status != _OK:
            raise StoreUnavailableError(f"kv-watch: status {status}")
        items = tuple(_item(row) for row in response["events"])
        return ItemBatch(
            items=items, revision=int(response["at"]), era=self._era
        )

    async def commit(
        self,
        *,
        conditions: tuple[Condition, ...] = (),
        writes: tuple[Write, ...] = (),
        removals: tuple[str, ...] = (),
    ) -> int:
        """Writes and removes keys in one transaction."""
        body = {
            "if-rev": [
                {"key": c.key, "revision": c.revision} for c in conditions
            ],
            "writes": [
                {
                    "key": write.key,
                    "value": base64.b64encode(write.value).decode(),
                    "lease": write.lease_id,
                }
                for write in writes
            ],
            "remove": list(removals),
        }
        status, response = await self._call("kv-txn", b"POST", {}, body)
        if status == _CONDITION_FAILED:
            raise ConditionFailedError
        if status == _NOT_FOUND:
            raise LeaseLostError
        if status != _OK:
            raise StoreUnavailableError(f"kv-txn: status {status}")
        return int(response["revision"])

    async def grant_lease(self, ttl_ms: int) -> int:
        """Grants a lease."""
        status, response = await self._call(
            "kv-lease", b"POST", {}, {"ttl-ms": ttl_ms}
        )
        if status != _OK:
            raise StoreUnavailableError(f"kv-lease: status {status}")
        return int(response["lease"])

    async def renew_lease(self, lease_id: int) -> None:
        """Renews a lease."""
        status, _ = await self._call(f"kv-keep/{lease_id}", b"POST", {})
        if status == _NOT_FOUND:
            raise LeaseLostError
        if status != _OK:
            raise StoreUnavailableError(f"kv-keep: status {status}")

    async def end_lease(self, lease_id: int) -> None:
        """Ends a lease."""
        status, _ = await self._call(f"kv-lease-end/{lease_id}", b"DELETE", {})
        if status not in (_OK, _NOT_FOUND):
            raise StoreUnavailableError(f"kv-lease-end: status {status}")

    async def _call(
        self,
        name: str,
        method: bytes,
        query: dict[str, str],
        body: object = None,
    ) -> tuple[int, dict[str, Any]]:
        connection = None
        while self._idle_connections and connection is None:
            candidate = self._idle_connections.pop()
            if candidate.reusable:
                connection = candidate
            else:
                candidate.close()
        if connection is None:
            connection = await self._connect()
        result = await self._exchange(connection, name, method, query, body)
        if connection.reusable:
            self._idle_connections.append(connection)
        else:
            connection.close()
        return result

    async def _connect(self) -> HttpConnection:
        try:
            return await connect(
                self._address.host, self._address.port, _CONNECT_TIMEOUT_MS
            )
        except ExchangeError as error:
            raise StoreUnavailableError(str(error)) from error

    async def _exchange(
        self,
        connection: HttpConnection,
        name: str,
        method: bytes,
        query: dict[str, str],
        body: object = None,
        *,
        wait_ms: int = 0,
    ) -> tuple[int, dict[str, Any]]:
        self._on_call(name.partition("/")[0])
        target = f"/trefoilpitch/{name}"
        if query:
            target += f"?{urlencode(query, safe='/')}"
        data = msgspec.json.encode(body) if body is not None else b""
        headers = [(b"Host", self._host)]
        if method == b"POST":
            headers.append((b"Content-Length", str(len(data)).encode()))
        if data:
            headers.append(_JSON)
        timeout_ms = _CALL_TIMEOUT_MS
        if wait_ms:
            timeout_ms = wait_ms + _WATCH_MARGIN_MS
        try:
            connection.send(method, target.encode(), headers, data)
            head = await connection.receive_head(timeout_ms)
            received = await connection.receive_body(
                _CALL_TIMEOUT_MS, _MAX_RESPONSE_BYTES
            )
        except BaseException as error:
            # A late response would be taken for that of the next call.
            connection.close()
            if isinstance(error, ExchangeError):
                raise StoreUnavailableError(f"{name}: {error}") from error
            raise
        self._record_era(head.header(_ERA))
        if head.status != _OK:
            return head.status, {}
        try:
            response: dict[str, Any] = msgspec.json.decode(
                received or b"{}", type=dict[str, Any]
            )
        except (msgspec.DecodeError, RecursionError) as error:
            connection.close()
            raise StoreUnavailableError(f"{name}: {error}") from error
        return head.status, response

    def _record_era(self, text: str | None) -> None:
        if text is None:
            return
        if not text.strip().isdecimal():
            log_event("malformed_header", name=_ERA.decode(), value=text)
            return
        era = int(text)
        if era > self._era:
            log_event("store_era", era=era, before=self._era)
            self._era = era


def _item(row: dict[str, Any]) -> Item:
    try:
        value = None
        if not row.get("deleted"):
            value = base64.b64decode(row["value"], validate=True)
        return Item(
            key=str(row["key"]), value=value, revision=int(row["revision"])
        )
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        raise StoreUnavailableError(f"malformed item: {error}") from error

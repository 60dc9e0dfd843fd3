"""An in-memory stand-in for the platform's store and its HTTP API."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import urllib.parse
from types import TracebackType
from typing import Any, Self

import msgspec

from trefoilpitch.fleet import RequestLimits
from trefoilpitch.gateway import (
    HttpRequest,
    HttpServer,
    ListenAddress,
    Responder,
    ServerState,
)
from trefoilpitch.standins._event_loop import event_loop_ms

_LOOPBACK = "127.0.0.1"
_MS_PER_S = 1_000
_PAGE_ITEMS = 500
_JSON = (b"Content-Type", b"application/json")
_PREFIX = "/trefoilpitch/"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _StoredItem:
    key: str
    value: bytes | None
    revision: int
    created: int
    lease: int

    def to_wire(self) -> dict[str, Any]:
        if self.value is None:
            return {
                "key": self.key,
                "revision": self.revision,
                "deleted": True,
            }
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformStoreCopy:
    """A copy of the store's state."""

    items: dict[str, _StoredItem]
    revision: int
    leases: frozenset[int]
    next_lease: int


class PlatformStoreStandIn:
    """Serves keys, watches, conditional writes and leases over HTTP.

    Leases do not expire on their own; `end_lease` ends one.
    """

    def __init__(self) -> None:
        self._items: dict[str, _StoredItem] = {}
        self._history: list[_StoredItem] = []
        self._compacted_revision = 0
        self._revision = 1
        self._leases: set[int] = set()
        self._next_lease = 100
        self._era = 1
        self._changed = asyncio.Event()
        self._server = HttpServer(
            ServerState(
                handler=self._handle, limits=RequestLimits, now_ms=event_loop_ms
            )
        )
        self._port = 0
        # HTTP status to refuse every call with; None for normal service.
        self.refusal_status: int | None = None
        # Body to send in every response; None for the actual one.
        self.response_override: dict[str, Any] | None = None
        # Whether calls get no response and are not executed. Their connections
        # stay silent.
        self.unresponsive = False
        # Whether to execute writes but close the connection without a response.
        self.drop_write_responses = False
        # Number of calls, by the name of the operation.
        self.calls: dict[str, int] = {}

    @property
    def address(self) -> ListenAddress:
        """The address that the stand-in listens on."""
        return ListenAddress(host=_LOOPBACK, port=self._port)

    async def __aenter__(self) -> Self:
        self._server.__enter__()
        self._port = await self._server.listen(_LOOPBACK, 0)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._server.__exit__(exc_type, exc, traceback)

    def value(self, key: str) -> Any:
        """Returns a key's decoded JSON value; None if the key is absent."""
        stored = self._items.get(key)
        if stored is None or stored.value is None:
            return None
        return msgspec.json.decode(stored.value)

    def keys(self, prefix: str) -> list[str]:
        """Returns the keys that start with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def put(self, key: str, value: object) -> int:
        """Writes a value as JSON and returns the new revision."""
        return self._write(key, msgspec.json.encode(value), lease=0)

    def put_bytes(self, key: str, value: bytes) -> int:
        """Writes raw bytes, JSON or not, and returns the new revision."""
        return self._write(key, value, lease=0)

    def remove(self, key: str) -> None:
        """Removes a key, if present."""
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._record(
            _StoredItem(
                key=key,
                value=None,
                revision=self._revision,
                created=0,
                lease=0,
            )
        )

    def discard_history(self) -> None:
        """Compacts all history, as the store may do at any time.

        Watches from an older revision then get status 410.
        """
        self._history.clear()
        self._compacted_revision = self._revision
        self._notify_watches()

    def copy(self) -> PlatformStoreCopy:
        """Copies the present state, for `restore`."""
        return PlatformStoreCopy(
            items=dict(self._items),
            revision=self._revision,
            leases=frozenset(self._leases),
            next_lease=self._next_lease,
        )

    def restore(self, copy: PlatformStoreCopy) -> None:
        """Goes back to an older copy, as the store may do after an outage.

        The era rises; revisions and lease ids are given out again.
        """
        self._items = dict(copy.items)
        self._revision = copy.revision
        self._leases = set(copy.leases)
        self._next_lease = copy.next_lease
        self._history.clear()
        self._compacted_revision = copy.revision
        self._era += 1
        self._notify_watches()

    def end_lease(self, lease_id: int) -> None:
        """Ends a lease and removes the keys bound to it."""
        self._leases.discard(lease_id)
        for key, stored in list(self._items.items()):
            if stored.lease == lease_id:
                self.remove(key)

    def _write(self, key: str, value: bytes, lease: int) -> int:
        self._revision += 1
        current = self._items.get(key)
        stored = _StoredItem(
            key=key,
            value=value,
            revision=self._revision,
            created=current.created if current else self._revision,
            lease=lease,
        )
        self._items[key] = stored
        self._record(stored)
        return self._revision

    def _record(self, stored: _StoredItem) -> None:
        self._history.append(stored)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        url = urllib.parse.urlsplit(request.target.decode())
        name, _, argument = url.path.removeprefix(_PREFIX).partition("/")
        self.calls[name] = self.calls.get(name, 0) + 1
        if self.unresponsive:
            # Until the caller closes the connection.
            await asyncio.Event().wait()
        era = self._era_header()
        if self.refusal_status is not None:
            await responder.respond(self.refusal_status, [era], b"")
            return
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        body = msgspec.json.decode(request.body or b"{}")
        status, result = await self._serve(name, argument, query, body)
        if self.response_override is not None:
            result = self.response_override
        if self.drop_write_responses and request.method == b"POST":
            responder.abort()
            return
        await responder.respond(
            status,
            [_JSON, self._era_header()],
            msgspec.json.encode(result),
        )

    def _era_header(self) -> tuple[bytes, bytes]:
        return (b"Store-Era", str(self._era).encode())

    async def _serve(
        self, name: str, argument: str, query: dict[str, str], body: Any
    ) -> tuple[int, dict[str, Any]]:
        match name:
            case "kv-range":
                return self._range(query)
            case "kv-watch":
                return await self._watch(query)
            case "kv-txn":
                return self._commit(body)
            case "kv-lease":
                lease = self._next_lease
                self._next_lease += 1
                self._leases.add(lease)
                return 200, {"lease": lease, "ttl-ms": body["ttl-ms"]}
            case "kv-keep" | "kv-lease-end":
                is_live = int(argument) in self._leases
                if name == "kv-lease-end":
                    self.end_lease(int(argument))
                return (200, {"ttl-ms": 1}) if is_live else (404, {})
        return 404, {}

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        keys = [
            key
            for key in self.keys(query["path-prefix"])
            if key > query.get("after", "")
        ]
        rows = [self._items[key].to_wire() for key in keys[:_PAGE_ITEMS]]
        more = len(keys) > _PAGE_ITEMS
        return 200, {"items": rows, "has-more": more, "at": self._revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query["wait-timeout-ms"]) / _MS_PER_S
        while True:
            if after < self._compacted_revision or after > self._revision:
                return 410, {}
            events = [
                stored.to_wire()
                for stored in self._history
                if stored.revision > after
                and stored.key.startswith(query["path-prefix"])
            ]
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self._revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _commit(self, body: Any) -> tuple[int, dict[str, Any]]:
        for condition in body.get("if-rev", []):
            current = self._items.get(condition["key"])
            if (current.revision if current else 0) != condition["revision"]:
                return 412, {"items": []}
        for write in body.get("writes", []):
            if write.get("lease") and write["lease"] not in self._leases:
                return 404, {}
        for write in body.get("writes", []):
            value = base64.b64decode(write["value"], validate=True)
            self._write(write["key"], value, write.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self._revision}

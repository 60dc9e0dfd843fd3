"""A stand-in for the platform's store, with leases that run out."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import time
import urllib.parse
from typing import Any

from review.support.http import Message, Reply, port_of, serve

_PREFIX = "/trefoilpitch/"
_PAGE_ITEMS = 500
_LEASE_CHECK_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Item:
    key: str
    # None if the key was removed.
    value: bytes | None
    revision: int
    lease: int = 0

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
            "created": self.revision,
            "lease": self.lease,
        }


class Store:
    """Keeps items, history and leases in memory."""

    def __init__(self) -> None:
        self.port = 0
        # Whether all calls get 503 and nothing is done.
        self.down = False
        self._items: dict[str, _Item] = {}
        self._history: list[_Item] = []
        self._revision = 1
        # By lease: monotonic time of its end, and its time to live.
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to listen on loopback."""
        self._server = await serve(self._handle)
        self.port = port_of(self._server)
        self._task = asyncio.create_task(self._end_leases())

    def put(self, key: str, value: object, lease: int = 0) -> None:
        """Writes a key as JSON."""
        self._write(key, json.dumps(value).encode(), lease)

    def remove(self, key: str) -> None:
        """Removes a key, if present."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._record(_Item(key=key, value=None, revision=self._revision))

    def keys(self, prefix: str) -> list[str]:
        """Returns the keys that begin with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def value(self, key: str) -> Any:
        """Returns a key's decoded value; None if it is absent."""
        item = self._items.get(key)
        if item is None or item.value is None:
            return None
        return json.loads(item.value)

    async def _end_leases(self) -> None:
        # Leases also run out while the store is down; nobody can renew them.
        while True:
            now_s = time.monotonic()
            for lease, (end_s, _) in list(self._leases.items()):
                if now_s >= end_s:
                    self._end_lease(lease)
            await asyncio.sleep(_LEASE_CHECK_S)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item.lease == lease:
                self.remove(key)

    def _write(self, key: str, value: bytes, lease: int) -> None:
        self._revision += 1
        item = _Item(key=key, value=value, revision=self._revision, lease=lease)
        self._items[key] = item
        self._record(item)

    def _record(self, item: _Item) -> None:
        self._history.append(item)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Message) -> Reply | None:
        if self.down:
            return Reply(status=503)
        url = urllib.parse.urlsplit(request.target)
        name, _, argument = url.path.removeprefix(_PREFIX).partition("/")
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        body = json.loads(request.body or b"{}")
        status, result = await self._serve(name, argument, query, body)
        return Reply(
            status=status,
            headers={"Content-Type": "application/json", "Store-Era": "1"},
            body=json.dumps(result).encode(),
        )

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
                return self._grant(body["ttl-ms"])
        return self._serve_lease(name, int(argument or "0"))

    def _grant(self, ttl_ms: int) -> tuple[int, dict[str, Any]]:
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        ttl_s = ttl_ms / 1_000
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"lease": lease, "ttl-ms": ttl_ms}

    def _serve_lease(self, name: str, lease: int) -> tuple[int, dict[str, Any]]:
        if lease not in self._leases:
            return 404, {}
        if name == "kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"ttl-ms": int(ttl_s * 1_000)}

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
        end_s = time.monotonic() + int(query["wait-timeout-ms"]) / 1_000
        while True:
            events = [i.to_wire() for i in self._history if i.revision > after]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _commit(self, body: Any) -> tuple[int, dict[str, Any]]:
        for condition in body.get("if-rev", []):
            current = self._items.get(condition["key"])
            if (current.revision if current else 0) != condition["revision"]:
                return 412, {"items": []}
        writes = body.get("writes", [])
        if any(
            w.get("lease") and w["lease"] not in self._leases for w in writes
        ):
            return 404, {}
        for write in writes:
            value = base64.b64decode(write["value"], validate=True)
            self._write(write["key"], value, write.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self._revision}

"""A store wrapper that injects faults into writes of the head."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

from returns.result import Result

from trefoilpitch.configuration import HEAD_KEY
from trefoilpitch.store import Entry, MemoryStore, StoreError

Put: TypeAlias = Callable[[], Result[int, StoreError]]


class HookedStore:
    """Passes each write of the head to the next hook, while any is left."""

    def __init__(self, inner: MemoryStore) -> None:
        self.inner = inner
        self.hooks: list[Callable[[Put], Result[int, StoreError]]] = []

    def get(self, key: str) -> Result[Entry | None, StoreError]:
        return self.inner.get(key)

    def put_if(
        self, key: str, value: bytes, expected_revision: int
    ) -> Result[int, StoreError]:
        def put() -> Result[int, StoreError]:
            return self.inner.put_if(key, value, expected_revision)

        if key == HEAD_KEY and self.hooks:
            return self.hooks.pop(0)(put)
        return put()

    def delete_if(
        self, key: str, expected_revision: int
    ) -> Result[int, StoreError]:
        return self.inner.delete_if(key, expected_revision)

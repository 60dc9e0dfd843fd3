"""Reads the head from the store and what it stands for."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from returns.result import Failure, Result, Success

from trefoilpitch.configuration._codec import (
    configuration_digest,
    decode_head,
    decode_snapshot,
    encode_head,
)
from trefoilpitch.configuration._deltas import apply_deltas
from trefoilpitch.configuration._exceptions import (
    CommitError,
    StoreDamagedError,
    StoreUnavailableError,
)
from trefoilpitch.configuration._head import HEAD_KEY, HeadRecord
from trefoilpitch.configuration._nodes import (
    EMPTY_CONFIGURATION,
    Configuration,
)
from trefoilpitch.store import ABSENT, Entry, StoreError

EMPTY_HEAD = HeadRecord(
    revision=0, digest=configuration_digest(EMPTY_CONFIGURATION)
)


class HeadStore(Protocol):
    """The part of a key-value store that commits need."""

    def get(self, key: str) -> Result[Entry | None, StoreError]:
        """Reads one key; None if it is absent."""

    def put_if(
        self, key: str, value: bytes, expected_revision: int
    ) -> Result[int, StoreError]:
        """Writes a key if its revision is the expected one."""

    def delete_if(
        self, key: str, expected_revision: int
    ) -> Result[int, StoreError]:
        """Deletes a key if its revision is the expected one."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredHead:
    """The head as the store holds it."""

    # The head, an empty one if the key is absent.
    head: HeadRecord
    # The head's encoding.
    value: bytes
    # The store's revision of the key.
    store_revision: int


class HeadReader:
    """Reads heads, and keeps the configuration of the last one.

    Args:
        store: The platform's key-value service.
    """

    def __init__(self, store: HeadStore) -> None:
        self._store = store
        self._known = EMPTY_CONFIGURATION

    def read(self) -> Result[StoredHead, CommitError]:
        """Reads the head."""
        read = self._store.get(HEAD_KEY)
        if isinstance(read, Failure):
            return unavailable(read.failure())
        entry = read.unwrap()
        if entry is None:
            return Success(
                StoredHead(
                    head=EMPTY_HEAD,
                    value=encode_head(EMPTY_HEAD),
                    store_revision=ABSENT,
                )
            )
        decoded = decode_head(entry.value)
        if isinstance(decoded, Failure):
            return _damaged(decoded.failure().message)
        return Success(
            StoredHead(
                head=decoded.unwrap(),
                value=entry.value,
                store_revision=entry.revision,
            )
        )

    def materialize(
        self, head: HeadRecord
    ) -> Result[Configuration, CommitError]:
        """Returns the configuration that a head stands for."""
        if self._known.revision <= head.revision:
            known = apply_deltas(self._known, head.deltas).value_or(None)
            if known and _matches(known, head):
                self._known = known
                return Success(known)
        return self._load_snapshot(head)

    def remember(self, configuration: Configuration) -> None:
        """Takes note of a configuration that was just committed."""
        self._known = configuration

    def _load_snapshot(
        self, head: HeadRecord
    ) -> Result[Configuration, CommitError]:
        if head.snapshot is None:
            return _damaged("the head names no snapshot")
        read = self._store.get(head.snapshot.key)
        if isinstance(read, Failure):
            return unavailable(read.failure())
        entry = read.unwrap()
        if entry is None:
            return _damaged(f"snapshot {head.snapshot.key} is missing")
        decoded = decode_snapshot(entry.value, head.snapshot.digest)
        if isinstance(decoded, Failure):
            return _damaged(decoded.failure().message)
        current = apply_deltas(decoded.unwrap(), head.deltas).value_or(None)
        if current is None or not _matches(current, head):
            return _damaged(f"the head of {head.revision} does not add up")
        self._known = current
        return Success(current)


def unavailable(error: StoreError) -> Failure[CommitError]:
    """Returns the failure of a call without which nothing can be changed."""
    message = f"the store is unavailable, nothing was changed: {error.detail}"
    return Failure(StoreUnavailableError(message=message))


def _damaged(message: str) -> Failure[CommitError]:
    message = f"the store holds what cannot be read: {message}"
    return Failure(StoreDamagedError(message=message))


def _matches(configuration: Configuration, head: HeadRecord) -> bool:
    return (
        configuration.revision == head.revision
        and configuration_digest(configuration) == head.digest
    )

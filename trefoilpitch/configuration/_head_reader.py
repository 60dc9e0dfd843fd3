"""Reads the head and materializes its configuration from the store."""

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
    StoreCorruptedError,
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
    """The key-value store operations that commits use."""

    def get(self, key: str) -> Result[Entry | None, StoreError]:
        """Reads one key; returns None if it is absent."""

    def put_if(
        self, key: str, value: bytes, expected_revision: int
    ) -> Result[int, StoreError]:
        """Writes a key if its store revision is the expected one."""

    def delete_if(
        self, key: str, expected_revision: int
    ) -> Result[int, StoreError]:
        """Deletes a key if its store revision is the expected one."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredHead:
    """A head with its encoding and its revision in the store."""

    # ``EMPTY_HEAD`` if the key is absent.
    head: HeadRecord
    # The head's encoding.
    value: bytes
    # The store's revision of the head key, ``ABSENT`` if it is absent.
    store_revision: int


class HeadReader:
    """Reads heads and caches the last materialized configuration.

    Args:
        store: The platform's key-value service.
    """

    def __init__(self, store: HeadStore) -> None:
        self._store = store
        self._cached = EMPTY_CONFIGURATION

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
            return _corrupted(decoded.failure().message)
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
        """Returns the configuration at a head's revision.

        Applies the head's deltas to the cached configuration if they follow
        it, and reads the snapshot otherwise.
        """
        if self._cached.revision <= head.revision:
            updated = apply_deltas(self._cached, head.deltas).value_or(None)
            if updated and _matches(updated, head):
                self._cached = updated
                return Success(updated)
        return self._load_snapshot(head)

    def cache(self, configuration: Configuration) -> None:
        """Caches a configuration that was just committed."""
        self._cached = configuration

    def _load_snapshot(
        self, head: HeadRecord
    ) -> Result[Configuration, CommitError]:
        if head.snapshot is None:
            return _corrupted("the head refers to no snapshot")
        read = self._store.get(head.snapshot.key)
        if isinstance(read, Failure):
            return unavailable(read.failure())
        entry = read.unwrap()
        if entry is None:
            return _corrupted(f"snapshot {head.snapshot.key} is missing")
        decoded = decode_snapshot(entry.value, head.snapshot.digest)
        if isinstance(decoded, Failure):
            return _corrupted(decoded.failure().message)
        current = apply_deltas(decoded.unwrap(), head.deltas).value_or(None)
        if current is None or not _matches(current, head):
            return _corrupted(
                f"snapshot and deltas of head revision {head.revision} do not "
                "yield its digest"
            )
        self._cached = current
        return Success(current)


def unavailable(error: StoreError) -> Failure[CommitError]:
    """Returns the failure of a commit whose store call did not succeed."""
    message = f"the store is unavailable, nothing was changed: {error.detail}"
    return Failure(StoreUnavailableError(message=message))


def _corrupted(message: str) -> Failure[CommitError]:
    message = f"the stored configuration cannot be read: {message}"
    return Failure(StoreCorruptedError(message=message))


def _matches(configuration: Configuration, head: HeadRecord) -> bool:
    return (
        configuration.revision == head.revision
        and configuration_digest(configuration) == head.digest
    )

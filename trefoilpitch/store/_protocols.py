"""What the project may assume of the platform's key-value service."""

from __future__ import annotations

from types import TracebackType
from typing import Protocol, Self

from returns.result import Result

from trefoilpitch.store._exceptions import StoreError
from trefoilpitch.store._types import (
    NO_LEASE,
    Entry,
    Lease,
    Listing,
    StoreCounters,
    WatchBatch,
)


class Watch(Protocol):
    """An open watch of a prefix; a context manager that ends it."""

    def receive(self, timeout_ms: int) -> Result[WatchBatch, StoreError]:
        """Waits for changes.

        Args:
            timeout_ms: How long to wait; 0 returns at once.

        Returns:
            The changes since the last call, an empty batch after the timeout,
            or why the watch has ended. A watch that ended stays ended: open
            another one from the revision after the last that was received.
        """

    def cancel(self) -> None:
        """Ends the watch from any thread; a waiting `receive` returns."""

    def __enter__(self) -> Self: ...

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None: ...


class KeyValueStore(Protocol):
    """Single-key compare-and-swap, prefix reads, leases and watches.

    No call retries by itself. Reads may lag behind; writes compare against the
    latest revision.
    """

    @property
    def counters(self) -> StoreCounters:
        """This client's calls so far."""

    def get(self, key: str) -> Result[Entry | None, StoreError]:
        """Reads one key; None if it is absent."""

    def list_prefix(self, prefix: str) -> Result[Listing, StoreError]:
        """Reads every key that starts with a prefix at one revision."""

    def list_page(
        self, prefix: str, after: str, limit: int
    ) -> Result[Listing, StoreError]:
        """Reads some of the keys that start with a prefix.

        Args:
            prefix: What the keys start with.
            after: The key after which to begin; empty for the first.
            limit: The most entries to read; fewer means that no more follow.
        """

    def put_if(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: int = NO_LEASE,
    ) -> Result[int, StoreError]:
        """Writes a key if its revision is the expected one.

        Args:
            key: The key.
            value: At most `MAX_VALUE_BYTES`.
            expected_revision: The key's revision; `ABSENT` if it must not
                exist.
            lease_id: The lease that the key goes with, if any.

        Returns:
            The store revision of the write, or `ConflictError` if another
            revision was found.
        """

    def delete_if(
        self, key: str, expected_revision: int
    ) -> Result[int, StoreError]:
        """Deletes a key if its revision is the expected one."""

    def grant_lease(self, ttl_ms: int) -> Result[Lease, StoreError]:
        """Grants a lease; the store may round its time to live up."""

    def keep_alive(self, lease_id: int) -> Result[Lease, StoreError]:
        """Starts a lease's time to live again.

        Returns:
            The lease, or `LeaseNotFoundError` if it has expired.
        """

    def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Ends a lease and deletes its keys."""

    def watch(
        self, prefix: str, from_revision: int
    ) -> Result[Watch, StoreError]:
        """Watches a prefix from a revision on, that one included."""

"""The interface of the platform's key-value store."""

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
            timeout_ms: How long to wait; 0 returns immediately.

        Returns:
            The changes since the last call, an empty batch after the timeout,
            or the reason the watch ended. A watch that has ended can't be
            resumed: open another one from the revision after the last one
            received.
        """

    def cancel(self) -> None:
        """Ends the watch, from any thread; a blocked `receive` returns."""

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
        """Totals of this client's calls."""

    def get(self, key: str) -> Result[Entry | None, StoreError]:
        """Reads one key; None if it is absent."""

    def list_prefix(self, prefix: str) -> Result[Listing, StoreError]:
        """Reads every key that starts with a prefix at one revision."""

    def list_page(
        self, prefix: str, after: str, limit: int
    ) -> Result[Listing, StoreError]:
        """Reads one page of the keys that start with a prefix.

        Args:
            prefix: The prefix of the keys.
            after: The last key of the previous page; empty for the first page.
            limit: The most entries to return; fewer entries mean that this is
                the last page.
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
            lease_id: The lease to attach the key to; `NO_LEASE` for none.

        Returns:
            The store revision of the write, or `ConflictError` if another
            revision was found.
        """

    def delete_if(
        self, key: str, expected_revision: int
    ) -> Result[int, StoreError]:
        """Deletes a key if its revision is the expected one."""

    def grant_lease(self, ttl_ms: int) -> Result[Lease, StoreError]:
        """Grants a lease; the store may round its TTL up."""

    def keep_alive(self, lease_id: int) -> Result[Lease, StoreError]:
        """Renews a lease for its full TTL.

        Returns:
            The lease, or `LeaseNotFoundError` if it has expired.
        """

    def revoke_lease(self, lease_id: int) -> Result[None, StoreError]:
        """Revokes a lease and deletes its keys."""

    def watch(
        self, prefix: str, from_revision: int
    ) -> Result[Watch, StoreError]:
        """Watches the changes of a prefix from a revision, inclusive."""

"""Caches the entries of a prefix: lists them once, then watches them."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from types import TracebackType
from typing import Self

from returns.result import Failure, Result, Success

from trefoilpitch.store._exceptions import (
    CompactedError,
    OutcomeUnknownError,
    StoreError,
)
from trefoilpitch.store._protocols import KeyValueStore, Watch
from trefoilpitch.store._types import (
    Entry,
    EventKind,
    Listing,
    WatchBatch,
    WatchEvent,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PrefixView:
    """The entries of a prefix at one revision."""

    # The entries by key; the lease is not set on those from watch events.
    entries: Mapping[str, Entry]
    # The store revision; it never decreases.
    revision: int


class PrefixFollower:
    """Follows one prefix; a context manager that ends its watch.

    After a disconnect, it resumes the watch after the last revision that it
    received, so that no change is missed. It lists the prefix again only if
    those changes have been compacted; a listing older than the view is
    rejected. Not thread-safe.

    Args:
        store: The store.
        prefix: The keys to follow.
    """

    def __init__(self, store: KeyValueStore, prefix: str) -> None:
        self._store = store
        self._prefix = prefix
        self._view = PrefixView(entries={}, revision=0)
        self._needs_listing = True
        self._watch: Watch | None = None

    @property
    def view(self) -> PrefixView:
        """The cached entries; at revision 0 before the first listing."""
        return self._view

    def receive(self, timeout_ms: int) -> Result[PrefixView, StoreError]:
        """Waits for changes and applies them.

        Args:
            timeout_ms: How long to wait; 0 returns immediately.

        Returns:
            The view, changed or not, or the error of the listing or watch.
            After a failure, call again to reconnect.
        """
        opened = self._ensure_watch()
        if isinstance(opened, Failure):
            return Failure(opened.failure())
        result = opened.unwrap().receive(timeout_ms)
        if isinstance(result, Success):
            self._apply(result.unwrap())
            return Success(self._view)
        self._close()
        error = result.failure()
        self._needs_listing = isinstance(error, CompactedError)
        return Failure(error)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._close()

    def _ensure_watch(self) -> Result[Watch, StoreError]:
        """Returns the open watch; if there is none, resyncs and opens one."""
        if self._watch is not None:
            return Success(self._watch)
        if self._needs_listing:
            listed = self._store.list_prefix(self._prefix).bind(
                self._apply_listing
            )
            if isinstance(listed, Failure):
                return Failure(listed.failure())
        opened = self._store.watch(self._prefix, self._view.revision + 1)
        if isinstance(opened, Success):
            self._watch = opened.unwrap()
        return opened

    def _apply_listing(self, listing: Listing) -> Result[None, StoreError]:
        """Replaces the view by a listing, unless the listing is older."""
        if listing.revision < self._view.revision:
            detail = f"listing is older than revision {self._view.revision}"
            return Failure(OutcomeUnknownError(detail=detail))
        self._view = PrefixView(
            entries={entry.key: entry for entry in listing.entries},
            revision=listing.revision,
        )
        self._needs_listing = False
        return Success(None)

    def _apply(self, batch: WatchBatch) -> None:
        """Applies the changes that are newer than the view."""
        entries = dict(self._view.entries)
        revision = self._view.revision
        for event in batch.events:
            if event.revision > revision:
                _apply_event(entries, event)
                revision = event.revision
        self._view = PrefixView(
            entries=entries, revision=max(revision, batch.revision)
        )

    def _close(self) -> None:
        if self._watch is not None:
            self._watch.__exit__(None, None, None)
            self._watch = None


def _apply_event(entries: dict[str, Entry], event: WatchEvent) -> None:
    if event.kind is EventKind.DELETE:
        entries.pop(event.key, None)
        return
    entries[event.key] = Entry(
        key=event.key, value=event.value, revision=event.revision
    )


def prefix_follower(store: KeyValueStore, prefix: str) -> PrefixFollower:
    """Creates a follower with an empty view."""
    return PrefixFollower(store, prefix)

"""Keeps a copy of a prefix by listing once and watching from there."""

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
    """What a prefix held at one revision."""

    # The entries by key; those taken from changes name no lease.
    entries: Mapping[str, Entry]
    # The store revision; it never goes back.
    revision: int


class PrefixFollower:
    """Follows one prefix; a context manager that ends its watch.

    After a cut it watches on from the revision it has reached, so that no
    change is missed. Only if those changes are no longer kept does it list the
    prefix again; a listing older than the view is refused. Use it from one
    thread.

    Args:
        store: The store.
        prefix: The keys to follow.
    """

    def __init__(self, store: KeyValueStore, prefix: str) -> None:
        self._store = store
        self._prefix = prefix
        self._view = PrefixView(entries={}, revision=0)
        self._must_list = True
        self._watch: Watch | None = None

    @property
    def view(self) -> PrefixView:
        """What is known so far; revision 0 before the first listing."""
        return self._view

    def receive(self, timeout_ms: int) -> Result[PrefixView, StoreError]:
        """Waits for changes and takes them in.

        Args:
            timeout_ms: How long to wait; 0 returns at once.

        Returns:
            The view, changed or not, or why the store could not be followed.
            After a failure, call again when a retry is due.
        """
        opened = self._open()
        if isinstance(opened, Failure):
            return Failure(opened.failure())
        result = opened.unwrap().receive(timeout_ms)
        if isinstance(result, Success):
            self._apply(result.unwrap())
            return Success(self._view)
        self._close()
        error = result.failure()
        self._must_list = isinstance(error, CompactedError)
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

    def _open(self) -> Result[Watch, StoreError]:
        """Returns the open watch, or lists where needed and opens one."""
        if self._watch is not None:
            return Success(self._watch)
        if self._must_list:
            listed = self._store.list_prefix(self._prefix).bind(self._replace)
            if isinstance(listed, Failure):
                return Failure(listed.failure())
        opened = self._store.watch(self._prefix, self._view.revision + 1)
        if isinstance(opened, Success):
            self._watch = opened.unwrap()
        return opened

    def _replace(self, listing: Listing) -> Result[None, StoreError]:
        """Takes a listing in place of the view unless it is older."""
        if listing.revision < self._view.revision:
            detail = f"the listing is older than {self._view.revision}"
            return Failure(OutcomeUnknownError(detail=detail))
        self._view = PrefixView(
            entries={entry.key: entry for entry in listing.entries},
            revision=listing.revision,
        )
        self._must_list = False
        return Success(None)

    def _apply(self, batch: WatchBatch) -> None:
        """Takes in the changes that the view does not have yet."""
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
    """Creates a follower that has read nothing yet."""
    return PrefixFollower(store, prefix)

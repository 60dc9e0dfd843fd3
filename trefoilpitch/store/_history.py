"""The revisions of every key, for multi-version reads and watches."""

from __future__ import annotations

import bisect
import collections
import dataclasses

from trefoilpitch.store._types import (
    NO_LEASE,
    Entry,
    EventKind,
    Listing,
    WatchEvent,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Change:
    """One write or deletion of a key."""

    # The event that watches receive.
    event: WatchEvent
    # The lease of the key; `NO_LEASE` if none.
    lease_id: int


class History:
    """A log of changes that allows reads at earlier revisions.

    Args:
        max_changes: Changes to retain; older ones are compacted.
    """

    def __init__(self, max_changes: int) -> None:
        self._max_changes = max_changes
        self._changes: collections.deque[_Change] = collections.deque()
        self._base: dict[str, Entry] = {}
        self._current: dict[str, Entry] = {}
        self._base_revision = 0
        self._revision = 0

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    @property
    def oldest_watchable_revision(self) -> int:
        """The lowest revision from which all changes are retained."""
        return self._base_revision + 1

    def put(self, key: str, value: bytes, lease_id: int) -> int:
        """Writes a key and returns the revision of the write."""
        return self._append(EventKind.PUT, key, value, lease_id)

    def delete(self, key: str) -> int:
        """Deletes an existing key and returns the revision of the deletion."""
        return self._append(EventKind.DELETE, key, b"", NO_LEASE)

    def get(self, key: str) -> Entry | None:
        """Returns a key's latest entry."""
        return self._current.get(key)

    def list_prefix(self, prefix: str, revision: int | None = None) -> Listing:
        """Lists a prefix at a revision, the latest by default."""
        if revision is None or revision >= self._revision:
            state, revision = self._current, self._revision
        else:
            revision = max(revision, self._base_revision)
            state = self._state_at(revision)
        keys = sorted(key for key in state if key.startswith(prefix))
        entries = tuple(state[key] for key in keys)
        return Listing(entries=entries, revision=revision)

    def list_page(
        self,
        prefix: str,
        after: str,
        limit: int,
        revision: int | None = None,
    ) -> Listing:
        """Lists one page of a prefix, in the order of the keys."""
        listing = self.list_prefix(prefix, revision)
        later = [entry for entry in listing.entries if entry.key > after]
        return Listing(entries=tuple(later[:limit]), revision=listing.revision)

    def keys_of_lease(self, lease_id: int) -> list[str]:
        """Returns the keys that are attached to a lease."""
        return [
            key
            for key, entry in self._current.items()
            if entry.lease_id == lease_id
        ]

    def events_from(self, revision: int, prefix: str) -> tuple[WatchEvent, ...]:
        """Returns the changes of a prefix from a revision, inclusive."""
        start = bisect.bisect_left(
            self._changes, revision, key=lambda change: change.event.revision
        )
        recent = (
            self._changes[index].event
            for index in range(start, len(self._changes))
        )
        return tuple(event for event in recent if event.key.startswith(prefix))

    def compact(self, keep: int) -> None:
        """Discards all but the latest changes.

        Args:
            keep: Number of changes to retain.
        """
        while len(self._changes) > keep:
            change = self._changes.popleft()
            _apply(self._base, change)
            self._base_revision = change.event.revision

    def _append(
        self, kind: EventKind, key: str, value: bytes, lease_id: int
    ) -> int:
        self._revision += 1
        event = WatchEvent(
            kind=kind, key=key, value=value, revision=self._revision
        )
        change = _Change(event=event, lease_id=lease_id)
        self._changes.append(change)
        _apply(self._current, change)
        self.compact(self._max_changes)
        return self._revision

    def _state_at(self, revision: int) -> dict[str, Entry]:
        state = dict(self._base)
        for change in self._changes:
            if change.event.revision > revision:
                break
            _apply(state, change)
        return state


def _apply(state: dict[str, Entry], change: _Change) -> None:
    event = change.event
    if event.kind is EventKind.DELETE:
        state.pop(event.key, None)
        return
    state[event.key] = Entry(
        key=event.key,
        value=event.value,
        revision=event.revision,
        lease_id=change.lease_id,
    )

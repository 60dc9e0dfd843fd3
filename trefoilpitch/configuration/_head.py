"""The head record, stored under the one key that commits update.

A commit replaces the head by compare-and-swap. The head refers to a snapshot
and lists the newest deltas.
"""

from __future__ import annotations

import dataclasses

from trefoilpitch.configuration._deltas import Delta

KEY_PREFIX = "configuration/"
HEAD_KEY = f"{KEY_PREFIX}head"
_SNAPSHOT_PREFIX = f"{KEY_PREFIX}snapshots/"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotRef:
    """Refers to an immutable snapshot in the store."""

    # The revision of the snapshot.
    revision: int
    # SHA-256 of its encoding, in hexadecimal.
    digest: str

    @property
    def key(self) -> str:
        """The snapshot's key in the store."""
        return f"{_SNAPSHOT_PREFIX}{self.revision}-{self.digest}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeadRecord:
    """The value of the head key."""

    # The newest revision.
    revision: int
    # SHA-256 of that revision's encoding, in hexadecimal.
    digest: str
    # The newest snapshot; None before the first change.
    snapshot: SnapshotRef | None = None
    # The snapshot before it, kept for readers that still hold the previous
    # head.
    previous: SnapshotRef | None = None
    # The newest deltas, contiguous, ending with this revision's.
    deltas: tuple[Delta, ...] = ()

    def find_change(self, change_id: str) -> Delta | None:
        """Returns the listed delta with a change id, None if there is none."""
        for delta in self.deltas:
            if delta.change_id == change_id:
                return delta
        return None

    def covers(self, revision: int) -> bool:
        """Returns whether the deltas list every change after a revision."""
        if revision >= self.revision:
            return True
        return bool(self.deltas) and self.deltas[0].revision <= revision + 1

    def deltas_since(self, revision: int) -> tuple[Delta, ...]:
        """Returns the listed deltas above a revision."""
        return tuple(
            delta for delta in self.deltas if delta.revision > revision
        )

"""The one key that changes by compare-and-swap, and what it refers to."""

from __future__ import annotations

import dataclasses

from trefoilpitch.configuration._deltas import Delta

KEY_PREFIX = "configuration/"
HEAD_KEY = f"{KEY_PREFIX}head"
_SNAPSHOT_PREFIX = f"{KEY_PREFIX}snapshots/"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotRef:
    """Names a snapshot, which is written once and never changed."""

    # The revision that it holds.
    revision: int
    # SHA-256 of its encoding, in hexadecimal.
    digest: str

    @property
    def key(self) -> str:
        """The key that holds it."""
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
    # The snapshot before it, kept for those who read the head just before.
    previous: SnapshotRef | None = None
    # The newest deltas, contiguous, the last of them this revision's.
    deltas: tuple[Delta, ...] = ()

    def find_change(self, change_id: str) -> Delta | None:
        """Returns the recent delta of a change id, None if there is none."""
        for delta in self.deltas:
            if delta.change_id == change_id:
                return delta
        return None

    def covers(self, revision: int) -> bool:
        """Tells whether the deltas hold every change since a revision."""
        if revision >= self.revision:
            return True
        return bool(self.deltas) and self.deltas[0].revision <= revision + 1

    def deltas_since(self, revision: int) -> tuple[Delta, ...]:
        """Returns the recent deltas above a revision."""
        return tuple(
            delta for delta in self.deltas if delta.revision > revision
        )

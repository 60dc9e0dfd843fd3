"""Events and actions of the lease state machine."""

from __future__ import annotations

import dataclasses

from trefoilpitch.store import Entry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """A poll is due; calls that are due may be made."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """The owner has stopped acting under the lease and releases it."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordRead:
    """A read succeeded."""

    # None if the key is absent.
    entry: Entry | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadFailed:
    """A read failed or timed out."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteSucceeded:
    """A write was applied."""

    # The store revision of the write.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteConflicted:
    """A write was rejected because the record had another revision."""

    # The record's revision when the store compared; `ABSENT` if deleted.
    current_revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteNotApplied:
    """A write was not applied and never will be."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteUnknown:
    """A write may have been applied, or may still be."""


Event = (
    Tick
    | Release
    | RecordRead
    | ReadFailed
    | WriteSucceeded
    | WriteConflicted
    | WriteNotApplied
    | WriteUnknown
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadRecord:
    """Read the record."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteRecord:
    """Write the record by compare-and-swap."""

    # The encoded record.
    value: bytes
    # The write succeeds only if the record has this revision.
    expected_revision: int


Action = ReadRecord | WriteRecord

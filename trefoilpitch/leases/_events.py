"""What happens to a candidate and what it asks for."""

from __future__ import annotations

import dataclasses

from trefoilpitch.store import Entry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """The owner has stopped acting and gives the lease up."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordRead:
    """A read came back."""

    # The key's entry; None if it is absent.
    entry: Entry | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadFailed:
    """A read had no answer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteSucceeded:
    """A write took effect."""

    # The store revision of the write.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteConflicted:
    """A write had no effect: the record had another revision."""

    # The record's revision at the comparison; `ABSENT` if it was deleted.
    current_revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteNotApplied:
    """A write certainly had no effect and never will."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteUnknown:
    """A write may have taken effect, or may yet do so."""


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
    """Asks for the record to be read."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WriteRecord:
    """Asks for the record to be written by compare-and-swap."""

    # The encoded record.
    value: bytes
    # The revision that it replaces.
    expected_revision: int


Action = ReadRecord | WriteRecord

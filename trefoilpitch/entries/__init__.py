"""Which addresses a caller should use, and for how long."""

from trefoilpitch.entries._choice import (
    EntriesSettings,
    Entry,
    EntryList,
    NoEntriesReason,
    choose_entries,
)
from trefoilpitch.entries._draining import (
    DrainingPhase,
    DrainingSchedule,
    create_draining_schedule,
)

__all__ = [
    "choose_entries",
    "EntriesSettings",
    "Entry",
    "EntryList",
    "NoEntriesReason",
    "create_draining_schedule",
    "DrainingPhase",
    "DrainingSchedule",
]

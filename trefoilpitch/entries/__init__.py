"""Chooses the entry VMs that callers use, and plans how a VM drains."""

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

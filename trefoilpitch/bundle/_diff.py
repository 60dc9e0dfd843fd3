"""What differs between two bundles, for operators to read."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator, Mapping
from typing import Any

from trefoilpitch.bundle._elements import Table, identify_elements, to_table
from trefoilpitch.bundle._nodes import Bundle


class DifferenceKind(enum.Enum):
    """Whether something came, went or changed."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """One difference between two bundles."""

    # Whether something came, went or changed.
    kind: DifferenceKind
    # Where, ``workspaces[hymn-index].weight``.
    place: str
    # The value before; empty for something that came.
    old: str = ""
    # The value after; empty for something that went.
    new: str = ""

    def __str__(self) -> str:
        if self.kind is DifferenceKind.CHANGED:
            return f"{self.place}: {self.old} -> {self.new}"
        return f"{self.place}: {self.kind.value}"


def diff_bundles(old: Bundle, new: Bundle) -> tuple[Difference, ...]:
    """Returns what differs, in the order of the new bundle.

    Elements are told apart by name, so that moving one is not a difference
    of its contents.
    """
    return tuple(_diff_tables("", to_table(old), to_table(new)))


def _diff_tables(place: str, old: Table, new: Table) -> Iterator[Difference]:
    for key, new_value in new.items():
        where = f"{place}.{key}" if place else key
        yield from _diff_values(where, old[key], new_value)


def _diff_values(place: str, old: Any, new: Any) -> Iterator[Difference]:
    if old == new:
        return
    if isinstance(old, tuple):
        old_elements = identify_elements(old)
        new_elements = identify_elements(new)
        if old_elements is not None and new_elements is not None:
            yield from _diff_elements(place, old_elements, new_elements)
            return
    yield Difference(
        kind=DifferenceKind.CHANGED, place=place, old=_show(old), new=_show(new)
    )


def _diff_elements(
    place: str, old: Mapping[str, Table], new: Mapping[str, Table]
) -> Iterator[Difference]:
    for name, element in new.items():
        where = f"{place}[{name}]"
        if name in old:
            yield from _diff_tables(where, old[name], element)
        else:
            yield Difference(kind=DifferenceKind.ADDED, place=where)
    for name in old:
        if name not in new:
            yield Difference(
                kind=DifferenceKind.REMOVED, place=f"{place}[{name}]"
            )
    kept = [name for name in old if name in new]
    moved = [name for name in new if name in old]
    if kept != moved:
        yield Difference(
            kind=DifferenceKind.CHANGED,
            place=f"order of {place}",
            old=_show(tuple(kept)),
            new=_show(tuple(moved)),
        )


def _show(value: Any) -> str:
    if isinstance(value, tuple):
        return f"[{', '.join(str(element) for element in value)}]"
    return str(value)

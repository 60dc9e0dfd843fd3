"""Lists the differences between two bundles for operators."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator, Mapping
from typing import Any

from trefoilpitch.bundle._elements import Table, identify_elements, to_table
from trefoilpitch.bundle._schema import Bundle


class DifferenceKind(enum.Enum):
    """The type of a difference."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """One difference between two bundles."""

    kind: DifferenceKind
    # Path of the value or element, such as ``workspaces[hymn-index].weight``.
    place: str
    # The old value; empty for an added element.
    old: str = ""
    # The new value; empty for a removed element.
    new: str = ""

    def __str__(self) -> str:
        if self.kind is DifferenceKind.CHANGED:
            return f"{self.place}: {self.old} -> {self.new}"
        return f"{self.place}: {self.kind.value}"


def diff_bundles(old: Bundle, new: Bundle) -> tuple[Difference, ...]:
    """Returns the differences, in the order of the new bundle.

    Elements are matched by name, so that moving an element is not a change of
    its contents.
    """
    return tuple(_diff_tables("", to_table(old), to_table(new)))


def _diff_tables(place: str, old: Table, new: Table) -> Iterator[Difference]:
    for key, new_value in new.items():
        item_place = f"{place}.{key}" if place else key
        yield from _diff_values(item_place, old[key], new_value)


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
        kind=DifferenceKind.CHANGED,
        place=place,
        old=_format_value(old),
        new=_format_value(new),
    )


def _diff_elements(
    place: str, old: Mapping[str, Table], new: Mapping[str, Table]
) -> Iterator[Difference]:
    for name, element in new.items():
        item_place = f"{place}[{name}]"
        if name in old:
            yield from _diff_tables(item_place, old[name], element)
        else:
            yield Difference(kind=DifferenceKind.ADDED, place=item_place)
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
            old=_format_value(tuple(kept)),
            new=_format_value(tuple(moved)),
        )


def _format_value(value: Any) -> str:
    if isinstance(value, tuple):
        return f"[{', '.join(str(element) for element in value)}]"
    return str(value)

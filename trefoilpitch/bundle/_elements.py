"""Identifies the elements of a bundle's lists across versions."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, TypeAlias

import msgspec

from trefoilpitch.bundle._schema import VERSION_SEPARATOR, Bundle

# A bundle as msgspec's built-in types: tables, lists and scalars.
Table: TypeAlias = Mapping[str, Any]


def to_table(bundle: Bundle) -> Table:
    """Converts a bundle to tables, lists and scalars."""
    table: Table = msgspec.to_builtins(bundle)
    return table


def identify_elements(elements: Sequence[Any]) -> dict[str, Table] | None:
    """Returns a list's tables by identity, in order.

    The identity is the name or, for a roll-out plan, the model and target
    version.

    Returns:
        The tables; None if the list has other elements or duplicates.
    """
    found: dict[str, Table] = {}
    for element in elements:
        if not isinstance(element, Mapping):
            return None
        found[_element_identity(element)] = element
    return found if len(found) == len(elements) else None


def _element_identity(element: Table) -> str:
    if "name" in element:
        return str(element["name"])
    return f"{element['model']}{VERSION_SEPARATOR}{element['to_version']}"

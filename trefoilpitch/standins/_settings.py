"""Changes a running stand-in's settings."""

from __future__ import annotations

from typing import Any

import msgspec


def change_settings(settings: msgspec.Struct, changes: dict[str, Any]) -> None:
    """Changes some settings in place, or none if one is wrong.

    Args:
        settings: The settings in force.
        changes: New values by name.

    Raises:
        msgspec.ValidationError: If a name is unknown or a value unfit.
    """
    unknown = set(changes) - set(settings.__struct_fields__)
    if unknown:
        raise msgspec.ValidationError(f"no such settings: {sorted(unknown)}")
    merged = {**msgspec.to_builtins(settings), **changes}
    checked = msgspec.convert(merged, type=type(settings))
    for name in changes:
        setattr(settings, name, getattr(checked, name))

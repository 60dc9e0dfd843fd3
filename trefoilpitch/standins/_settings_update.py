"""Updates the settings of a running stand-in."""

from __future__ import annotations

from typing import Any

import msgspec


def update_settings(settings: msgspec.Struct, changes: dict[str, Any]) -> None:
    """Updates settings in place; changes none of them if any is invalid.

    Args:
        settings: The current settings.
        changes: New values by name.

    Raises:
        msgspec.ValidationError: If a name is unknown or a value invalid.
    """
    unknown = set(changes) - set(settings.__struct_fields__)
    if unknown:
        raise msgspec.ValidationError(f"unknown settings: {sorted(unknown)}")
    merged = {**msgspec.to_builtins(settings), **changes}
    checked = msgspec.convert(merged, type=type(settings))
    for name in changes:
        setattr(settings, name, getattr(checked, name))

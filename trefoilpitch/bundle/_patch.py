"""Binary patches between two bundles.

A bundle with thousands of upstreams takes hundreds of kilobytes, but most
sign-offs change only a few values. A patch contains only these changes.
"""

from __future__ import annotations

import dataclasses
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from trefoilpitch.bundle._elements import Table, identify_elements, to_table
from trefoilpitch.bundle._exceptions import BundleError, Fault
from trefoilpitch.bundle._schema import Bundle


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Patch:
    # New values by field, or new elements by identity.
    values: dict[str, Any] = dataclasses.field(default_factory=dict)
    # Patches of fields, or of elements by identity.
    patches: dict[str, _Patch] = dataclasses.field(default_factory=dict)
    # Identities of the removed elements.
    removed: tuple[str, ...] = ()
    # Identities in their new order; None if added elements come last and the
    # others keep their order.
    order: tuple[str, ...] | None = None


# Keys are not sorted, because their order is that of the added elements.
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Patch)


def make_patch(old: Bundle, new: Bundle) -> bytes:
    """Returns the patch that turns one bundle into another."""
    return _ENCODER.encode(_diff_tables(to_table(old), to_table(new)))


def apply_patch(old: Bundle, patch: bytes) -> Result[Bundle, BundleError]:
    """Returns the patched bundle, whose digest the caller must verify.

    Args:
        old: The bundle that the patch was made from.
        patch: The output of ``make_patch``.

    Returns:
        The new bundle, or an error if the patch does not apply.
    """
    try:
        table = _patch_table(to_table(old), _DECODER.decode(patch))
        return Success(msgspec.convert(table, Bundle))
    except (msgspec.MsgspecError, LookupError, TypeError, ValueError) as error:
        fault = Fault(place="", message=f"the patch does not apply: {error}")
        return Failure(BundleError(faults=(fault,)))


def _diff_tables(old: Table, new: Table) -> _Patch:
    values: dict[str, Any] = {}
    patches: dict[str, _Patch] = {}
    for key, value in new.items():
        if old.get(key) == value:
            continue
        patch = _diff_lists(old.get(key), value)
        if patch is None:
            values[key] = value
        else:
            patches[key] = patch
    return _Patch(values=values, patches=patches)


def _diff_lists(old: Any, new: Any) -> _Patch | None:
    """Returns a patch; None unless both are lists of distinct tables."""
    if not (isinstance(old, tuple) and isinstance(new, tuple)):
        return None
    old_elements = identify_elements(old)
    new_elements = identify_elements(new)
    if not old_elements or not new_elements:
        return None
    return _diff_elements(old_elements, new_elements)


def _diff_elements(old: dict[str, Table], new: dict[str, Table]) -> _Patch:
    added = {name: new[name] for name in new if name not in old}
    patches = {
        name: _diff_tables(old[name], new[name])
        for name in new
        if name in old and old[name] != new[name]
    }
    kept = [name for name in old if name in new]
    in_order = [*kept, *added] == list(new)
    return _Patch(
        values=added,
        patches=patches,
        removed=tuple(name for name in old if name not in new),
        order=None if in_order else tuple(new),
    )


def _patch_table(old: Table, patch: _Patch) -> Table:
    table = {**old, **patch.values}
    for key, inner in patch.patches.items():
        table[key] = _patch_list(old[key], inner)
    return table


def _patch_list(old: Any, patch: _Patch) -> list[Table]:
    elements = identify_elements(old)
    if elements is None:
        raise TypeError("only a list of distinct tables can be patched")
    for name in patch.removed:
        del elements[name]
    for name, inner in patch.patches.items():
        elements[name] = _patch_table(elements[name], inner)
    elements.update(patch.values)
    if patch.order is not None:
        return [elements[name] for name in patch.order]
    return list(elements.values())

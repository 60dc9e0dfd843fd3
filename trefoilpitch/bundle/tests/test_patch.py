from __future__ import annotations

import dataclasses
import pathlib
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpitch.bundle import (
    Bundle,
    apply_patch,
    decode_bundle,
    diff_bundles,
    encode_bundle,
    make_patch,
)

_EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"
_BUNDLES = [
    decode_bundle(path.read_text()).unwrap()
    for path in sorted(_EXAMPLES.glob("*.toml"))
]
_ARCHIVE = _BUNDLES[0]


def _mutate(data: st.DataObject, instance: Any) -> Any:
    """Removes and reorders elements and changes integers, recursively."""
    fields: dict[str, Any] = {}
    for field in dataclasses.fields(instance):
        value = getattr(instance, field.name)
        if isinstance(value, tuple) and value:
            kept = data.draw(st.lists(st.sampled_from(value), unique=True))
            if dataclasses.is_dataclass(value[0]):
                kept = [_mutate(data, element) for element in kept]
            fields[field.name] = tuple(kept)
        elif type(value) is int:
            fields[field.name] = data.draw(st.sampled_from([value, 7]))
    return dataclasses.replace(instance, **fields)


@settings(derandomize=True, deadline=None, max_examples=40)
@given(st.data())
def test_patch_turns_one_bundle_into_the_other(data: st.DataObject) -> None:
    old: Bundle = data.draw(st.sampled_from(_BUNDLES))
    new: Bundle = _mutate(data, data.draw(st.sampled_from(_BUNDLES)))
    assert apply_patch(old, make_patch(old, new)).unwrap() == new
    assert bool(diff_bundles(old, new)) == (old != new)


def test_patch_of_one_value_is_small() -> None:
    workspace = dataclasses.replace(_ARCHIVE.workspaces[2], weight=9)
    workspaces = (
        *_ARCHIVE.workspaces[:2],
        workspace,
        *_ARCHIVE.workspaces[3:],
    )
    new = dataclasses.replace(_ARCHIVE, version=2, workspaces=workspaces)
    assert len(make_patch(_ARCHIVE, new)) * 20 < len(encode_bundle(new))
    assert [str(difference) for difference in diff_bundles(_ARCHIVE, new)] == [
        "version: 1 -> 2",
        "workspaces[hymn-index].weight: 2 -> 9",
    ]


def test_patch_of_another_bundle_is_rejected() -> None:
    upstream = dataclasses.replace(_ARCHIVE.pools[0].upstreams[0], capacity=3)
    pool = dataclasses.replace(_ARCHIVE.pools[0], upstreams=(upstream,))
    new = dataclasses.replace(_ARCHIVE, pools=(pool,))
    patch = make_patch(_ARCHIVE, new)
    assert apply_patch(_BUNDLES[1], patch).failure().faults
    assert apply_patch(_ARCHIVE, patch[:-1]).failure().faults


@settings(derandomize=True, deadline=None)
@given(st.binary())
def test_any_bytes_are_applied_or_refused(data: bytes) -> None:
    error = apply_patch(_ARCHIVE, data).swap().value_or(None)
    assert error is None or error.faults


def test_added_removed_and_moved_elements_are_listed() -> None:
    first, *middle, last = _ARCHIVE.workspaces
    added = dataclasses.replace(first, name="new")
    new = dataclasses.replace(_ARCHIVE, workspaces=(last, *middle, added))
    lines = [str(difference) for difference in diff_bundles(_ARCHIVE, new)]
    assert lines[:2] == [
        "workspaces[new]: added",
        "workspaces[transcription-desk]: removed",
    ]
    assert lines[2].startswith("order of workspaces: [translation-desk, ")

"""Property tests of the settings file."""

from __future__ import annotations

import contextlib
import copy
import json
import math
import tomllib
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpitch.platform._settings import (
    PlatformSettingsError,
    parse_settings,
)

_SETTINGS: dict[str, Any] = {
    "node": "front-a-1",
    "zone": "a",
    "region": "r",
    "ip": "10.1.0.40",
    "port-range": [7340, 7355],
    "seeds": ["10.2.0.29:8229"],
    "listen": {
        "front": "10.1.0.40:8227",
        "ready": "10.1.0.40:8220",
        "directory": "10.1.0.40:8224",
        "control": "10.1.0.40:8229",
    },
    "bounds": {
        "grace-s": 8,
        "config-apply-ms": 2000,
        "retry-ratio": 0.9,
        "retry-window-s": 10,
        "retry-slack": 52,
        "ttl_max_s": 5,
    },
    "platform": {"address": "10.200.1.7:8223"},
}
_paths = st.sampled_from(
    [
        *((name,) for name in _SETTINGS),
        *(
            (name, key)
            for name, table in _SETTINGS.items()
            if isinstance(table, dict)
            for key in table
        ),
    ]
)
_toml_values = st.recursive(
    st.one_of(
        st.booleans(),
        st.integers(),
        st.floats(),
        st.sampled_from(["", ":", "a:70000", "a:-1", "8", "[::1]:80"]),
    ),
    lambda values: st.one_of(
        st.lists(values, max_size=3),
        st.dictionaries(st.sampled_from(["a", "0", "front"]), values),
    ),
    max_leaves=5,
)


def _toml(value: object) -> str:
    """Encodes a value, tables inline."""
    if isinstance(value, dict):
        items = (f"{json.dumps(k)} = {_toml(v)}" for k, v in value.items())
        return "{" + ", ".join(items) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(_toml, value)) + "]"
    if isinstance(value, float):
        return str(value)
    return json.dumps(value)


def _document(table: dict[str, Any]) -> str:
    return "\n".join(f"{json.dumps(k)} = {_toml(v)}" for k, v in table.items())


def _decode_with(path: tuple[str, ...], value: object) -> None:
    table = copy.deepcopy(_SETTINGS)
    parent = table
    for name in path[:-1]:
        parent = parent[name]
    parent[path[-1]] = value
    text = _document(table)
    tomllib.loads(text)
    found = parse_settings(text, "start")
    for address in (
        found.node.callers,
        found.node.readiness,
        found.node.directory,
        found.node.peers,
        found.node.heartbeats,
        found.store,
        *found.node.seeds,
    ):
        assert 0 < address.port < 1 << 16
    for number in (
        found.node.grace_ms,
        found.node.retry_ratio,
        found.node.retry_slack,
        found.node.retry_window_ms,
        found.directory_ttl_s,
    ):
        assert math.isfinite(number)
        assert number >= 0


@settings(derandomize=True, max_examples=600, deadline=None)
@given(_paths, _toml_values)
def test_settings_with_any_value_are_decoded_or_rejected(
    path: tuple[str, ...], value: object
) -> None:
    with contextlib.suppress(PlatformSettingsError):
        _decode_with(path, value)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("port-range",), []),
        (("bounds", "grace-s"), math.inf),
        (("bounds", "grace-s"), -1),
        (("bounds", "config-apply-ms"), -1),
        (("bounds", "config-apply-ms"), "soon"),
        (("bounds", "grace-s"), 1e306),
        (("bounds", "retry-window-s"), 10**400),
        (("bounds", "retry-ratio"), math.nan),
        (("bounds", "retry-slack"), math.inf),
        (("listen", "front"), "10.1.0.40:70000"),
    ],
)
def test_settings_that_no_daemon_can_run_with_are_rejected(
    path: tuple[str, ...], value: object
) -> None:
    with pytest.raises(PlatformSettingsError, match="invalid value"):
        _decode_with(path, value)


def test_deeply_nested_settings_are_rejected() -> None:
    with pytest.raises(PlatformSettingsError):
        parse_settings("a = " + "[" * 20_000, "start")


@pytest.mark.parametrize(
    ("limits", "expected"),
    [
        ({}, (None, None)),
        ({"cores": 2}, (None, None)),
        ({"memory-mb": 150, "max-fds": 4_100}, (150.0, 4_100)),
        ({"memory-mb": 1e306}, (1e9, None)),
    ],
)
def test_limits_of_the_process_are_optional(
    limits: dict[str, float], expected: tuple[float | None, int | None]
) -> None:
    table = {**_SETTINGS, "limits": limits}
    node = parse_settings(_document(table), "start").node
    assert (node.memory_mb, node.max_descriptors) == expected


@pytest.mark.parametrize("limits", [5, {"memory-mb": "x"}, {"max-fds": -1}])
def test_limits_that_are_no_limits_are_rejected(limits: object) -> None:
    table = {**_SETTINGS, "limits": limits}
    with pytest.raises(PlatformSettingsError):
        parse_settings(_document(table), "start")

from __future__ import annotations

import pathlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpitch.bundle import (
    Bundle,
    VersionRef,
    bundle_digest,
    decode_bundle,
    decode_encoded_bundle,
    encode_bundle,
    index_bundle,
    token_digest,
)

_EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"
_ARCHIVE = (_EXAMPLES / "archive.toml").read_text()


def _archive() -> Bundle:
    return decode_bundle(_ARCHIVE).unwrap()


def _faults(text: str) -> list[str]:
    return [str(fault) for fault in decode_bundle(text).failure().faults]


@pytest.mark.parametrize("path", sorted(_EXAMPLES.glob("*.toml")), ids=str)
def test_examples_have_no_fault(path: pathlib.Path) -> None:
    bundle = decode_bundle(path.read_text()).unwrap()
    assert decode_encoded_bundle(encode_bundle(bundle)).unwrap() == bundle


def test_documented_token_identifies_its_workspace() -> None:
    index = index_bundle(_archive())
    digest = token_digest("example-archive-hymn-index")
    workspace = index.workspaces_by_token[digest]
    assert workspace.name == "hymn-index"
    assert index.allowed_versions(workspace.name) == {
        VersionRef("sermon-small", "2026.09"),
        VersionRef("sermon-small", "2026.11"),
    }


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ("weight = 8", "weigth = 8", "workspaces[0].weigth"),
        ("weight = 8", 'weight = "8"', "workspaces[0].weight"),
        ("weight = 8", "weight = 0", "workspaces[0].weight"),
        ("version = 1", "version = true", "version"),
        ('"suva", "nadi"', '"suva", 5', "failure_domains[1]"),
        (
            'failure_domain = "suva"',
            'failure_domain = "labasa"',
            "pools[0].upstreams[0].failure_domain",
        ),
        ("127.0.0.1:19101", "host:19101", "pools[0].upstreams[0].address"),
        ("127.0.0.1:19101", "127.0.0.1:0", "pools[0].upstreams[0].address"),
        ("127.0.0.1:19101", "127.0.0.1", "pools[0].upstreams[0].address"),
        (
            "127.0.0.1:19101",
            "127.0.0.1:19102",
            "pools[0].upstreams[1].address",
        ),
        (
            "cold_capacity = 2",
            "cold_capacity = 99",
            "pools[0].upstreams[0].cold_capacity",
        ),
        ('name = "large-suva"', 'name = ""', "pools[1].upstreams[0].name"),
        (
            'name = "large-suva"',
            'name = "small-suva"',
            "pools[1].upstreams[0].name",
        ),
        (
            'default_version = "2026.09"',
            'default_version = "1"',
            "models[0].default_version",
        ),
        ('default_version = "2026.09"', "", "models[0].default_version"),
        (
            'cascade = ["sermon-small", "sermon-large"]',
            'cascade = ["sermon-small", "sermon-small"]',
            "tasks[0].cascade[1]",
        ),
        (
            "quality_target = 0.9\n",
            "quality_target = nan\n",
            "tasks[0].quality_target",
        ),
        ('priority = "batch"', 'priority = "low"', "tasks[0].priority"),
        (
            '"sermon-small@*", "sermon-large@*"',
            '"sermon-small@*", "sermon-tiny@*"',
            "workspaces[0].allowed[1]",
        ),
        (
            'tasks = ["tag"]',
            'tasks = ["label"]',
            "workspaces[2].tasks[0]",
        ),
        (
            'allowed = ["sermon-large@2026.06"]',
            "allowed = []",
            "workspaces[8].tasks[0]",
        ),
        (
            'serves = ["sermon-large@2026.06"]',
            'serves = ["sermon-small@2026.09"]',
            "workspaces[8].tasks[0]",
        ),
        ('pool = "desk-workers"', 'pool = "small-engines"', "services[0].pool"),
        (
            'serves = ["sermon-large@2026.06"]',
            "serves = []",
            "pools[1].serves",
        ),
        (
            'to_version = "2026.11"',
            'to_version = "3"',
            "rollouts[0].to_version",
        ),
        ("[1, 5, 25, 100]", "[5, 1, 100]", "rollouts[0].steps_percent"),
        ("[1, 5, 25, 100]", "[1, 5]", "rollouts[0].steps_percent"),
        ("tolerance = 0.02", "tolerance = 2", "rollouts[0].tolerance"),
    ],
)
def test_fault_is_reported_with_its_place(
    old: str, new: str, place: str
) -> None:
    assert old in _ARCHIVE
    faults = _faults(_ARCHIVE.replace(old, new, 1))
    assert any(fault.startswith(f"{place}: ") for fault in faults), faults


def test_faults_of_all_kinds_are_reported_together() -> None:
    text = _ARCHIVE.replace("weight = 8", "weigth = 8")
    text = text.replace('default_version = "2026.09"', "")
    text = text.replace("tolerance = 0.02", "tolerance = 2")
    assert _faults(text) == [
        "models[0].default_version: is missing",
        "workspaces[0].weigth: unknown key; did you mean 'weight'?",
        "rollouts[0].tolerance: 2.0 is not from 0 to 1",
    ]


def test_placeholders_cause_no_further_faults() -> None:
    text = _ARCHIVE.replace('"127.0.0.1:19101"', "5")
    text = text.replace('name = "large-suva"\n', "name = 5\n")
    text = text.replace("steps_percent = [1, 5, 25, 100]", "steps_percent = 5")
    assert _faults(text) == [
        "pools[0].upstreams[0].address: expected a string, got 5",
        "pools[1].upstreams[0].name: expected a string, got 5",
        "rollouts[0].steps_percent: expected a list, got 5",
    ]


def test_digest_depends_on_content_and_not_layout() -> None:
    bundle = _archive()
    spaced = decode_bundle(_ARCHIVE.replace("\n\n", "\n\n\n")).unwrap()
    assert bundle_digest(spaced) == bundle_digest(bundle)
    heavier = decode_bundle(_ARCHIVE.replace("weight = 8", "weight = 9"))
    assert bundle_digest(heavier.unwrap()) != bundle_digest(bundle)


@pytest.mark.parametrize(
    "text",
    [
        "x = " + "[" * 100_000,
        "x = " + "9" * 5_000,
        "version = 99999999999999999999999",
        "a = 1\na = 2",
        "\x00",
        "\ud800 = 1",
        "models = 3",
        "models = [3]",
        "name.x = 1979-05-27T07:32:00Z",
    ],
    ids=lambda text: repr(text[:12]),
)
def test_malformed_text_is_rejected(text: str) -> None:
    assert _faults(text)


def test_malformed_encoding_is_rejected() -> None:
    encoded = encode_bundle(_archive())
    assert decode_encoded_bundle(encoded[:-1]).failure().faults
    assert decode_encoded_bundle(b"\x91" * 100_000).failure().faults


_SCALARS = st.one_of(
    st.integers(),
    st.floats(),
    st.booleans(),
    st.text(max_size=8),
    st.sampled_from(["name", "version", "suva", "m@1", "m@*", "engine"]),
)
_KEYS = st.sampled_from(
    [
        "name",
        "version",
        "failure_domains",
        "models",
        "versions",
        "default_version",
        "pools",
        "kind",
        "serves",
        "upstreams",
        "address",
        "capacity",
        "tasks",
        "cascade",
        "services",
        "operations",
        "workspaces",
        "allowed",
        "rollouts",
        "model",
        "to_version",
        "steps_percent",
    ]
)
_VALUES = st.recursive(
    _SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(_KEYS | st.text(max_size=4), inner, max_size=6)
    ),
    max_leaves=30,
)


def _toml(value: object) -> str:
    if isinstance(value, dict):
        pairs = (f"{_toml(key)} = {_toml(item)}" for key, item in value.items())
        return "{" + ", ".join(pairs) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(_toml(item) for item in value) + "]"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return '"' + "".join(f"\\U{ord(char):08x}" for char in value) + '"'
    return str(value)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.dictionaries(_KEYS, _VALUES, max_size=8))
def test_any_toml_is_decoded_or_refused(document: dict[str, object]) -> None:
    lines = [f"{_toml(key)} = {_toml(item)}" for key, item in document.items()]
    result = decode_bundle("\n".join(lines))
    faults = result.swap().value_or(None)
    assert faults is None or faults.faults


@settings(derandomize=True, deadline=None)
@given(st.text())
def test_any_text_is_refused(text: str) -> None:
    assert _faults(text)


@settings(derandomize=True, deadline=None)
@given(st.data())
def test_any_cut_of_an_example_is_decoded_or_refused(
    data: st.DataObject,
) -> None:
    start = data.draw(st.integers(0, len(_ARCHIVE)))
    length = data.draw(st.integers(1, 200))
    text = _ARCHIVE[:start] + _ARCHIVE[start + length :]
    result = decode_bundle(text)
    faults = result.swap().value_or(None)
    assert faults is None or faults.faults

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from trefoilpitch.identity import (
    MAX_KEY_LENGTH,
    HomedKey,
    MalformedKeyError,
    UnprefixedKey,
    create_incarnation,
    issue_key_prefix,
    node_of,
    parse_request_key,
)


def test_key_with_an_issued_prefix_names_its_home() -> None:
    incarnation = create_incarnation("node-1", 7)
    assert node_of(incarnation) == "node-1"
    key = issue_key_prefix(incarnation, 1_234) + "loan-7"
    assert parse_request_key(key) == Success(HomedKey(key, incarnation, 1_234))


@pytest.mark.parametrize("text", ["", "a b", "x" * (MAX_KEY_LENGTH + 1), "é"])
def test_invalid_keys_are_rejected(text: str) -> None:
    with pytest.raises(MalformedKeyError):
        raise parse_request_key(text).failure()


@settings(derandomize=True, deadline=None)
@given(st.text())
def test_any_text_is_a_key_or_a_typed_error(text: str) -> None:
    parsed = parse_request_key(text)
    if isinstance(parsed, Success):
        assert isinstance(parsed.unwrap(), HomedKey | UnprefixedKey)

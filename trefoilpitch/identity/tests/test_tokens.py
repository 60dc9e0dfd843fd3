import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from trefoilpitch.bundle import VersionRef
from trefoilpitch.identity import ResumePoint, Session, TokenSigner

_SESSION = Session(
    workspace="suva-parish", seed="s", pins=(VersionRef("small", "1"),)
)
_POINT = ResumePoint(
    workspace="suva-parish",
    request_id="r",
    upstream="engine-1",
    version=VersionRef("small", "1"),
    task="tag",
)


def test_token_is_valid_after_rotation_of_the_signing_key() -> None:
    token = TokenSigner((b"old",)).sign_session(_SESSION)
    rotated = TokenSigner((b"new", b"old"))
    assert rotated.read_session(token) == Success(_SESSION)


@pytest.mark.parametrize(
    "token",
    [
        "not base64!",
        TokenSigner((b"other",)).sign_session(_SESSION),
        TokenSigner((b"key",)).sign_resume_point(_POINT),
    ],
)
def test_malformed_and_wrongly_signed_and_mistyped_tokens_are_rejected(
    token: str,
) -> None:
    assert isinstance(TokenSigner((b"key",)).read_session(token), Failure)


@settings(derandomize=True, deadline=None)
@given(st.text(), st.integers(0, 200))
def test_altered_tokens_never_pass(noise: str, at: int) -> None:
    token = TokenSigner((b"key",)).sign_session(_SESSION)
    altered = token[:at] + noise + token[at + 1 :]
    if altered != token:
        read = TokenSigner((b"key",)).read_session(altered)
        assert not isinstance(read, Success) or read.unwrap() == _SESSION

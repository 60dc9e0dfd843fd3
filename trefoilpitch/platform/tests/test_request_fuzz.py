"""Property tests of the headers of callers' requests."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpitch.gateway import BadRequestError, HttpRequest
from trefoilpitch.platform._requests import PlatformRequests

_REQUEST_ID = b"X-Trefoilpitch-Request-Attempt-Id"
_NUMBER_HEADERS = (
    b"X-Trefoilpitch-Deadline-Ms",
    b"X-Trefoilpitch-Token-Counts",
    b"X-Trefoilpitch-Length-Hint",
    b"X-Trefoilpitch-Prompt-Prefix-Hash",
)
# Bytes that HTTP permits in the value of a header.
_value_bytes = st.binary(max_size=40).map(
    lambda data: bytes(b for b in data if b >= 0x20 and b != 0x7F)
)
_numbers = st.one_of(
    st.integers().map(str),
    st.floats().map(str),
    st.sampled_from(["", "1e400", "9" * 400, "0x1", "1_0", "\u0663", "-0"]),
).map(lambda text: text.encode())
_number_lists = st.lists(
    st.one_of(_numbers, _numbers.map(lambda number: b"a:" + number)), max_size=6
).map(b",".join)


def _request(headers: list[tuple[bytes, bytes]]) -> HttpRequest:
    return HttpRequest(
        method=b"POST",
        target=b"/plain/x",
        headers=tuple(headers),
        body=b"",
        arrived_ms=0,
    )


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(_NUMBER_HEADERS), _number_lists)))
def test_request_with_any_numbers_is_decoded(
    headers: list[tuple[bytes, bytes]],
) -> None:
    found = PlatformRequests().decode_request(
        _request([(_REQUEST_ID, b"id-1"), *headers])
    )
    assert all(isinstance(part.tokens, int) for part in found.prefix)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(_value_bytes)
def test_refusal_carries_the_id_of_its_request(request_id: bytes) -> None:
    codec = PlatformRequests()
    try:
        found = codec.decode_request(_request([(_REQUEST_ID, request_id)]))
    except BadRequestError:
        assert not request_id
        return
    headers = codec.encode_refusal(found.request_id, None)
    assert dict(headers)[_REQUEST_ID] == request_id

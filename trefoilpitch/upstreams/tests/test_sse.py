import itertools
from collections.abc import Callable

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilpitch.upstreams import Chunk, Finish, UpstreamError
from trefoilpitch.upstreams._response_events import ResponseDecoder
from trefoilpitch.upstreams._sse import SseDecoder, SseEvent, SseFormatError

_LINES = st.one_of(
    st.sampled_from(
        [b"", b"data: a", b"data:b", b"data", b"id: 7", b"event: e", b":c"]
    ),
    st.binary(max_size=20),
)
_STREAMS = st.lists(
    st.tuples(_LINES, st.sampled_from([b"\n", b"\r", b"\r\n"]))
).map(lambda lines: b"".join(line + end for line, end in lines))


def _decode(data: bytes, cuts: list[int]) -> list[SseEvent] | str:
    decoder = SseDecoder(max_event_bytes=100)
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    events: list[SseEvent] = []
    try:
        for start, end in itertools.pairwise(edges):
            events += decoder.feed(data[start:end])
    except SseFormatError as error:
        return str(error)
    return events


@given(_STREAMS, st.lists(st.integers(0, 1000), max_size=8))
@settings(derandomize=True, deadline=None, max_examples=500)
def test_events_do_not_depend_on_where_the_bytes_are_split(
    data: bytes, cuts: list[int]
) -> None:
    assert _decode(data, cuts) == _decode(data, [])


def test_an_empty_part_between_cr_and_lf_changes_nothing() -> None:
    data = b"data: a\r\ndata: b\r\n\r\n"
    for cut in range(len(data)):
        assert _decode(data, [cut, cut]) == _decode(data, [])


@pytest.mark.parametrize(
    ("data", "events"),
    [
        (b"data: a\n\n", ["a"]),
        (b"data: a\r\rdata:b\r\n\r\n", ["a", "b"]),
        (b"data: a\ndata: b\n\n", ["a\nb"]),
        (b"data: a\n", []),
        (b"id: 1\n\n: comment\n\ndata: a\n\n", ["a"]),
        ("data: vinaka \u2028\n\n".encode(), ["vinaka \u2028"]),
    ],
)
def test_events_are_split_as_the_specification_says(
    data: bytes, events: list[str]
) -> None:
    decoded = _decode(data, [])
    assert isinstance(decoded, list)
    assert [event.data for event in decoded] == events


@pytest.mark.parametrize(
    "data",
    [
        b"data: \xff\n\n",
        b"data: " + b"x" * 101,
        b"data: xxxxxxxxxxxxxxx\n" * 9,
        b":" + b"c" * 101,
    ],
)
def test_invalid_bytes_are_a_typed_error(data: bytes) -> None:
    assert isinstance(_decode(data, []), str)
    assert isinstance(_decode(data, list(range(len(data)))), str)


def test_the_id_of_one_event_does_not_leak_into_the_next() -> None:
    decoded = _decode(b"id: 1\ndata: a\n\ndata: b\n\n", [])
    assert isinstance(decoded, list)
    assert [event.event_id for event in decoded] == ["1", ""]


def _event(event_id: str = "", **fields: object) -> SseEvent:
    body = {"id": "r1", "model": "m@1", **fields}
    data = msgspec.json.encode(body).decode()
    return SseEvent(event_id=event_id, name="", data=data)


def _chunk(index: int) -> SseEvent:
    choice = {"delta": {"content": f"text {index}"}}
    return _event(str(index), choices=[choice])


def _finish(**changes: object) -> SseEvent:
    fields: dict[str, object] = {
        "choices": [{"delta": {}, "finish_reason": "stop"}],
        "usage": {"prompt_tokens": 1, "completion_tokens": 4},
        "confidence": 0.5,
    }
    return _event("4", **{**fields, **changes})


_END = SseEvent(event_id="", name="", data="[DONE]")
_RESPONSE = (*(_chunk(index) for index in range(4)), _finish(), _END)


def _decode_all(events: list[SseEvent]) -> list[Chunk | Finish]:
    decoder = ResponseDecoder(
        upstream="e1", request_id="r1", version="m@1", next_index=0
    )
    items = [decoder.decode_event(event) for event in events]
    return [item for item in items if item is not None]


def test_finish_and_usage_may_arrive_in_separate_events() -> None:
    usage = {"prompt_tokens": 1, "completion_tokens": 4}
    events = [
        *_RESPONSE[:4],
        _finish(usage=None),
        _event("", choices=[], usage=usage),
        _END,
    ]
    assert _decode_all(events) == _decode_all(list(_RESPONSE))


@pytest.mark.parametrize("finish_reason", [None, "stop"])
def test_no_chunk_follows_the_finish(finish_reason: str | None) -> None:
    choice = {"delta": {"content": "x"}, "finish_reason": finish_reason}
    with pytest.raises(UpstreamError):
        _decode_all([*_RESPONSE[:5], _event("5", choices=[choice]), _END])


@pytest.mark.parametrize(
    "event",
    [
        _finish(usage={"prompt_tokens": -1, "completion_tokens": 4}),
        _finish(usage=None),
        _finish(confidence=1.5),
        _finish(choices=[]),
        _finish(id="r2"),
        _finish(model="m@2"),
        _finish(error={"message": "out of memory"}),
        _finish(choices=[{"finish_reason": "stop"}] * 2),
        _event("4", choices=[{"delta": {"content": "x"}}], tokens=-1),
    ],
)
def test_a_response_with_an_invalid_end_has_no_finish(event: SseEvent) -> None:
    with pytest.raises(UpstreamError):
        _decode_all([*_RESPONSE[:4], event, _END])


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["id", "error", "x"]), inner)
    ),
    max_leaves=4,
)
_GARBAGE = st.one_of(
    st.text(max_size=20),
    _JSON.map(lambda value: msgspec.json.encode(value).decode()),
    st.integers(0, 5000).map(lambda depth: "[" * depth),
)


def _drop(events: list[SseEvent], at: int, garbage: str) -> None:
    del events[at]


def _duplicate(events: list[SseEvent], at: int, garbage: str) -> None:
    events.insert(at, events[at])


def _swap(events: list[SseEvent], at: int, garbage: str) -> None:
    other = (at + 1) % len(events)
    events[at], events[other] = events[other], events[at]


def _replace(events: list[SseEvent], at: int, garbage: str) -> None:
    events[at] = SseEvent(event_id=str(at), name="", data=garbage)


def _insert(events: list[SseEvent], at: int, garbage: str) -> None:
    events.insert(at, SseEvent(event_id=str(at), name="", data=garbage))


@given(
    st.sampled_from([_drop, _duplicate, _swap, _replace, _insert]),
    st.integers(0, len(_RESPONSE) - 1),
    _GARBAGE,
)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_an_altered_response_never_finishes(
    alter: Callable[[list[SseEvent], int, str], None], at: int, garbage: str
) -> None:
    events = list(_RESPONSE)
    alter(events, at, garbage)
    try:
        decoded = _decode_all(events)
    except UpstreamError:
        return
    assert not any(isinstance(item, Finish) for item in decoded)

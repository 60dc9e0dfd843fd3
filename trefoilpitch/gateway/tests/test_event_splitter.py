"""Tests that the cost of splitting grows with the data, not with its square."""

from __future__ import annotations

import time

import pytest

from trefoilpitch.gateway._events import EventSplitter, EventTooLargeError

_MAX_EVENT_BYTES = 1 << 20
# Processor time far above that of a linear pass, and far below that of a
# quadratic one.
_LINEAR_S = 1.0


def test_many_events_in_one_segment_are_split_in_linear_time() -> None:
    count = 1 << 17
    started = time.thread_time()
    events = EventSplitter().feed(b"\n\n" * count)
    assert len(events) == count
    assert time.thread_time() - started < _LINEAR_S


@pytest.mark.parametrize("size", [16, 1_400])
def test_large_event_in_small_segments_is_split_in_linear_time(
    size: int,
) -> None:
    splitter = EventSplitter()
    started = time.thread_time()
    for _ in range(_MAX_EVENT_BYTES // size):
        assert splitter.feed(b"x" * size) == []
    assert time.thread_time() - started < _LINEAR_S
    with pytest.raises(EventTooLargeError):
        splitter.feed(b"x" * 2 * size)


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
@pytest.mark.parametrize("step", [1, 2, 3])
def test_end_of_an_event_is_found_across_segments(
    end: bytes, step: int
) -> None:
    data = b"id: 1" + end + b"id: 2" + end
    splitter = EventSplitter()
    found = [
        event.event_id
        for start in range(0, len(data), step)
        for event in splitter.feed(data[start : start + step])
    ]
    assert found == [1, 2]
    assert not splitter.pending

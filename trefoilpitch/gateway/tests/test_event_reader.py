"""Tests of stall detection on streams."""

from __future__ import annotations

import asyncio

import pytest

from trefoilpitch.clock import ManualClock
from trefoilpitch.gateway import ExchangeError
from trefoilpitch.gateway._event_reader import EventReader
from trefoilpitch.retries import FailureKind

_GAP_MS = 1_000


class _Connection:
    """Delivers scripted data; each step takes some time."""

    def __init__(
        self, clock: ManualClock, steps: list[tuple[int, bytes | None]]
    ) -> None:
        self._clock = clock
        self._steps = steps

    async def receive_data(self, timeout_ms: float) -> bytes | None:
        delay_ms, data = self._steps[0]
        if delay_ms > timeout_ms:
            self._clock.advance(int(timeout_ms))
            self._steps[0] = (delay_ms - int(timeout_ms), data)
            raise ExchangeError(FailureKind.RESPONSE_TIMEOUT, "no data")
        self._clock.advance(delay_ms)
        self._steps.pop(0)
        return data


def _reader(*steps: tuple[int, bytes | None]) -> EventReader:
    clock = ManualClock(5_000)
    connection = _Connection(clock, list(steps))
    return EventReader(connection, clock)  # type: ignore[arg-type]


def test_slow_stream_is_read_to_its_end() -> None:
    async def scenario() -> None:
        reader = _reader(
            (900, b"id: 1\ndata: a\n\n"),
            (900, b"id: 2\ndata: b\n\n"),
            (900, None),
        )
        for number in (1, 2):
            events = await reader.read(_GAP_MS)
            assert [e.event_id for e in events or []] == [number]
        assert await reader.read(_GAP_MS) is None
        assert not reader.pending

    asyncio.run(scenario())


@pytest.mark.parametrize("trickle", [b"d", b": ping\n\n"])
def test_bytes_without_an_event_do_not_keep_a_stalled_stream_open(
    trickle: bytes,
) -> None:
    async def scenario() -> None:
        reader = _reader(*[(400, trickle)] * 10)
        with pytest.raises(ExchangeError) as raised:
            for _ in range(10):
                await reader.read(_GAP_MS)
        assert raised.value.kind is FailureKind.RESPONSE_TIMEOUT

    asyncio.run(scenario())


def test_reading_continues_after_a_timeout() -> None:
    async def scenario() -> None:
        reader = _reader((1_500, b"id: 1\ndata: a\n\n"))
        with pytest.raises(ExchangeError):
            await reader.read(_GAP_MS)
        events = await reader.read(2 * _GAP_MS)
        assert [e.event_id for e in events or []] == [1]

    asyncio.run(scenario())


def test_endless_comments_are_malformed() -> None:
    """Data that is always at hand never lets a wait expire."""

    async def scenario() -> None:
        reader = _reader(*[(0, b": ping\n\n" * 512)] * 1_000)
        with pytest.raises(ExchangeError) as raised:
            for _ in range(1_000):
                await reader.read(_GAP_MS)
        assert raised.value.kind is FailureKind.MALFORMED_RESPONSE

    asyncio.run(scenario())


@pytest.mark.parametrize("comment", [b"\n\n", b"\r\r", b":\n\n"])
def test_number_of_comments_without_an_event_is_limited(
    comment: bytes,
) -> None:
    """The work for comments depends on their number more than on their size."""

    async def scenario() -> None:
        reader = _reader((0, comment * 2_048), (0, None))
        with pytest.raises(ExchangeError) as raised:
            await reader.read(_GAP_MS)
        assert raised.value.kind is FailureKind.MALFORMED_RESPONSE

    asyncio.run(scenario())


def test_comments_between_events_are_counted_anew() -> None:
    async def scenario() -> None:
        count = 10
        block = b": ping\n\n" * 1_000 + b"id: 1\n\n"
        reader = _reader(*[(0, block)] * count, (0, None))
        total = 0
        while (events := await reader.read(_GAP_MS)) is not None:
            total += len(events)
        assert total == count * 1_001

    asyncio.run(scenario())


def test_comments_before_the_first_event_arrive_with_it() -> None:
    """A stream without any event has not begun and may be sent elsewhere."""

    async def scenario() -> None:
        reader = _reader(
            (100, b": ping\n\n"), (100, b": ping\n\nid: 1\n\n"), (0, None)
        )
        events = await reader.read(_GAP_MS)
        data = b"".join(event.data for event in events or [])
        assert data == b": ping\n\n: ping\n\nid: 1\n\n"
        assert await reader.read(_GAP_MS) is None

    asyncio.run(scenario())


def test_many_events_are_handed_over_in_small_batches() -> None:
    """Forwarding them must not hold the event loop."""

    async def scenario() -> None:
        count = 10_000
        reader = _reader((0, b"id: 1\n\n" * count), (0, None))
        total = 0
        while (events := await reader.read(_GAP_MS)) is not None:
            assert len(events) <= 100
            total += len(events)
        assert total == count

    asyncio.run(scenario())

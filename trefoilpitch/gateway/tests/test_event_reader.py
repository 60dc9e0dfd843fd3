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

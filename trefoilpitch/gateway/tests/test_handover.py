"""Offers of a request to another upstream."""

from __future__ import annotations

import asyncio
import contextlib
import types
from collections.abc import Iterator
from typing import cast

from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway import ExchangeError, HttpConnection, ResponseHead
from trefoilpitch.gateway._handover import HandOver, SentAttempt
from trefoilpitch.gateway._messages import UpstreamResponse
from trefoilpitch.gateway._request_dependencies import RequestDependencies

_ENTRY = cast(UpstreamEntry, types.SimpleNamespace(upstream_id="upstream-1"))
_DEPS = cast(RequestDependencies, None)


class _Sender:
    """Sends attempts that are accepted at once."""

    def __init__(self) -> None:
        self.in_flight = 0

    def find_successor(self) -> UpstreamEntry | str:
        return _ENTRY

    @contextlib.contextmanager
    def counted(self, entry: UpstreamEntry) -> Iterator[None]:
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    async def begin(self, entry: UpstreamEntry) -> SentAttempt:
        return SentAttempt(
            entry=entry, connection=HttpConnection(), started_ms=0
        )

    @contextlib.contextmanager
    def watched(self, attempt: SentAttempt) -> Iterator[None]:
        yield

    async def receive_response(
        self, attempt: SentAttempt, timeout_ms: float
    ) -> UpstreamResponse:
        return UpstreamResponse(
            head=ResponseHead(status=200, headers=()),
            matches=True,
            not_run=False,
            wrong_instance=False,
            sealed=True,
            unencoded=True,
            confidence=None,
            load=None,
        )

    def record_failure(
        self, entry: UpstreamEntry, error: ExchangeError
    ) -> None:
        raise AssertionError(error)

    def record_stall(self, entry: UpstreamEntry) -> None:
        raise AssertionError(entry)

    def record_withdrawn(self, attempt: SentAttempt) -> None:
        raise AssertionError(attempt)


def test_place_of_a_successor_stays_taken_until_it_is_taken_over() -> None:
    async def scenario() -> None:
        sender = _Sender()
        hand_over = HandOver(_DEPS, "id-1", sender)
        await hand_over.offer(_ENTRY)
        assert sender.in_flight == 1
        with sender.counted(_ENTRY):
            assert hand_over.take_successor() is not None
            assert sender.in_flight == 1
        assert sender.in_flight == 0

    asyncio.run(scenario())


def test_place_of_a_successor_that_nobody_takes_is_released() -> None:
    async def scenario() -> None:
        sender = _Sender()
        hand_over = HandOver(_DEPS, "id-1", sender)
        await hand_over.offer(_ENTRY)
        hand_over.close()
        hand_over.close()
        assert sender.in_flight == 0

    asyncio.run(scenario())

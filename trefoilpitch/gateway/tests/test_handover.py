"""Offers of a request to another upstream."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import types
import weakref
from collections.abc import Iterator
from typing import cast

from trefoilpitch.fleet import UpstreamEntry
from trefoilpitch.gateway import ExchangeError, HttpConnection, ResponseHead
from trefoilpitch.gateway._handover import HandOver, SentAttempt
from trefoilpitch.gateway._messages import UpstreamResponse
from trefoilpitch.gateway._request_dependencies import RequestDependencies
from trefoilpitch.retries import FailureKind

_ENTRY = cast(UpstreamEntry, types.SimpleNamespace(upstream_id="upstream-1"))
_DEPS = cast(RequestDependencies, None)


class _Sender:
    """Sends attempts that are accepted at once, or none."""

    def __init__(self, *, connects: bool = True) -> None:
        self.in_flight = 0
        self.credits = 0
        self._connects = connects

    def find_successor(self) -> UpstreamEntry | str:
        self.credits += 1
        return _ENTRY

    @contextlib.contextmanager
    def counted(self, entry: UpstreamEntry) -> Iterator[None]:
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    async def begin(self, entry: UpstreamEntry) -> SentAttempt:
        if not self._connects:
            raise ExchangeError(FailureKind.CONNECT_REFUSED, "refused")
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
        assert not self._connects

    def record_stall(self, entry: UpstreamEntry) -> None:
        raise AssertionError(entry)

    def record_withdrawn(self, attempt: SentAttempt) -> None:
        raise AssertionError(attempt)

    def release_credit(self) -> None:
        self.credits -= 1


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


def test_credit_of_an_offer_that_is_not_sent_is_given_back_at_once() -> None:
    """The stalled response may go on for a long time."""

    async def scenario() -> None:
        sender = _Sender(connects=False)
        hand_over = HandOver(_DEPS, "id-1", sender)
        sender.find_successor()
        decision = await hand_over.offer(_ENTRY)
        assert decision == "kept: upstream-1 connect_refused"
        assert sender.credits == 0

    asyncio.run(scenario())


def test_sender_is_freed_without_the_cyclic_collector() -> None:
    """The sender holds its request's body, and refers to its hand-over."""

    async def scenario() -> None:
        sender = _Sender()
        hand_over = HandOver(_DEPS, "id-1", sender)
        await hand_over.offer(_ENTRY)
        hand_over.close()
        reference = weakref.ref(sender)
        gc.disable()
        try:
            del sender
            assert reference() is None
        finally:
            gc.enable()

    asyncio.run(scenario())

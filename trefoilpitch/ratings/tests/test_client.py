import contextlib
import socket
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from trefoilpitch.bundle import VersionRef
from trefoilpitch.clock import ManualClock
from trefoilpitch.ratings import (
    InvalidRatingError,
    Rating,
    RatingError,
    RatingRequest,
    RatingUnavailableError,
    UnknownTicketError,
    open_rating_client,
)
from trefoilpitch.ratings._client import _decode
from trefoilpitch.standins import RatingSettings, open_rating_stand_in
from trefoilpitch.standins._completions import completion_words

_VERSION = VersionRef("small", "1")


def _request(*, good: bool, dropped_words: int = 0) -> RatingRequest:
    words = completion_words("p", str(_VERSION), good=good, max_tokens=999)
    response = " ".join(words[: len(words) - dropped_words])
    return RatingRequest(
        task="t", version=_VERSION, prompt="p", response=response
    )


@pytest.mark.parametrize(
    ("good", "dropped_words", "low", "high"),
    [(True, 0, 1.0, 1.0), (False, 0, 0.0, 0.4), (True, 1, 0.0, 0.0)],
)
def test_score_distinguishes_good_bad_and_truncated_responses(
    good: bool, dropped_words: int, low: float, high: float
) -> None:
    with (
        open_rating_stand_in(RatingSettings()) as service,
        open_rating_client(address=service.address) as client,
    ):
        ticket = (
            client.submit(_request(good=good, dropped_words=dropped_words))
            .unwrap()
            .ticket
        )
        score = client.fetch(ticket).unwrap().score
    assert score is not None
    assert low <= score <= high


def test_score_is_none_until_the_rating_delay_is_over() -> None:
    clock = ManualClock()
    settings = RatingSettings(delay_ms=1000)
    with (
        open_rating_stand_in(settings, clock=clock) as service,
        open_rating_client(address=service.address) as client,
    ):
        ticket = client.submit(_request(good=True)).unwrap().ticket
        clock.advance(999)
        assert client.fetch(ticket).unwrap() == Rating(
            ticket=ticket, score=None
        )
        clock.advance(1)
        assert client.fetch(ticket).unwrap().score == 1.0
        settings.down = True
        assert isinstance(
            client.fetch(ticket).failure(), RatingUnavailableError
        )
        settings.down = False
        assert isinstance(
            client.fetch("no/such ticket").failure(), UnknownTicketError
        )
    assert isinstance(client.fetch(ticket).failure(), RatingUnavailableError)


@pytest.mark.parametrize(
    "data",
    [
        b'{"ticket":"a","score":1.5}',
        b'{"ticket":"a","score":-0.1}',
        b'{"ticket":"a","score":"1"}',
        b'{"score":0.5}',
        b"",
    ],
)
def test_invalid_response_is_an_error(data: bytes) -> None:
    assert isinstance(_decode(200, data).failure(), InvalidRatingError)


@given(st.integers(100, 599), st.binary())
@settings(derandomize=True, deadline=None)
def test_any_response_is_decoded_or_a_rating_error(
    status: int, data: bytes
) -> None:
    decoded = _decode(status, data)
    if isinstance(decoded, Failure):
        assert isinstance(decoded.failure(), RatingError)


class _RestoredSettings(RatingSettings):
    """Settings of a service that is up again right after a refusal."""

    def __getattribute__(self, name: str) -> Any:
        value = super().__getattribute__(name)
        if name == "down":
            self.down = False
        return value


def test_refusal_of_the_stand_in_is_its_only_response() -> None:
    """A second one would be taken for the next response of the connection."""
    with open_rating_stand_in(_RestoredSettings(down=True)) as service:
        host, _, port = service.address.rpartition(":")
        with socket.create_connection((host, int(port)), 5.0) as caller:
            caller.sendall(b"GET /v1/ratings/t0 HTTP/1.1\r\nHost: a\r\n\r\n")
            received = b""
            caller.settimeout(0.5)
            with contextlib.suppress(TimeoutError):
                while part := caller.recv(65_536):
                    received += part
    assert received.startswith(b"HTTP/1.1 503 ")
    assert received.count(b"HTTP/1.1 ") == 1

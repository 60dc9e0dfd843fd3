"""The client of the rating service."""

from __future__ import annotations

import urllib.parse
from types import TracebackType
from typing import Protocol, Self

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from trefoilpitch.ratings._exceptions import (
    InvalidRatingError,
    RatingError,
    RatingUnavailableError,
    UnknownTicketError,
)
from trefoilpitch.ratings._nodes import Rating, RatingRequest

_RATINGS_PATH = "/v1/ratings"
_MAX_REPLY_BYTES = 64 << 10
_OK = 200
_ACCEPTED = 202
_NOT_FOUND = 404
_MS_PER_S = 1000


class _WireRating(msgspec.Struct, frozen=True):
    ticket: str
    score: float | None = None


class RatingClient(Protocol):
    """Asks for ratings; safe to use from many threads."""

    def __enter__(self) -> Self: ...

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None: ...

    def submit(self, request: RatingRequest) -> Result[Rating, RatingError]:
        """Asks for a rating.

        Returns:
            The rating with its ticket, mostly without a score as yet. After a
            failure the service may still rate the answer; that is harmless.
        """

    def fetch(self, ticket: str) -> Result[Rating, RatingError]:
        """Returns what the service knows of a rating by now."""


class _HttpRatingClient:
    def __init__(self, pool: urllib3.HTTPConnectionPool) -> None:
        self._pool = pool

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._pool.close()

    def submit(self, request: RatingRequest) -> Result[Rating, RatingError]:
        """Asks for a rating."""
        body = msgspec.json.encode(
            {
                "task": request.task,
                "version": str(request.version),
                "prompt": request.prompt,
                "answer": request.answer,
            }
        )
        return self._call("POST", _RATINGS_PATH, body)

    def fetch(self, ticket: str) -> Result[Rating, RatingError]:
        """Returns what the service knows of a rating by now."""
        path = f"{_RATINGS_PATH}/{urllib.parse.quote(ticket, safe='')}"
        rating = self._call("GET", path, None)
        return rating.bind(lambda found: _check_ticket(found, ticket))

    def _call(
        self, method: str, path: str, body: bytes | None
    ) -> Result[Rating, RatingError]:
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=body,
                headers={"Content-Type": "application/json"},
                retries=False,
                redirect=False,
                preload_content=False,
            )
            with response:
                data = response.read(_MAX_REPLY_BYTES + 1)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Failure(RatingUnavailableError(repr(error)))
        return _decode(response.status, data)


def open_rating_client(
    *, address: str, timeout_ms: int = 2_000, max_connections: int = 2
) -> RatingClient:
    """Makes a client of the rating service; connects on first use.

    Args:
        address: IP number and port.
        timeout_ms: How long to wait for a connection and for each read.
        max_connections: Most calls under way at once.

    Returns:
        The client, a context manager that closes its connections.
    """
    host, _, port = address.rpartition(":")
    pool = urllib3.HTTPConnectionPool(
        host,
        int(port),
        maxsize=max_connections,
        timeout=urllib3.Timeout(timeout_ms / _MS_PER_S),
    )
    return _HttpRatingClient(pool)


def _decode(status: int, data: bytes) -> Result[Rating, RatingError]:
    if status == _NOT_FOUND:
        return Failure(UnknownTicketError("the service has no such ticket"))
    if status not in (_OK, _ACCEPTED):
        return Failure(RatingUnavailableError(f"status {status}"))
    try:
        wire = msgspec.json.decode(data, type=_WireRating)
    except msgspec.MsgspecError as error:
        return Failure(InvalidRatingError(str(error)))
    if wire.score is not None and not 0 <= wire.score <= 1:
        return Failure(InvalidRatingError(f"score {wire.score}"))
    return Success(Rating(ticket=wire.ticket, score=wire.score))


def _check_ticket(rating: Rating, ticket: str) -> Result[Rating, RatingError]:
    if rating.ticket != ticket:
        detail = f"ticket {rating.ticket!r} came in place of {ticket!r}"
        return Failure(InvalidRatingError(detail))
    return Success(rating)

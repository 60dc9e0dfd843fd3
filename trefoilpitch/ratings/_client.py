"""The HTTP client of the rating service."""

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
from trefoilpitch.ratings._types import Rating, RatingRequest

_RATINGS_PATH = "/v1/ratings"
_MAX_RESPONSE_BYTES = 64 << 10
_OK = 200
_ACCEPTED = 202
_NOT_FOUND = 404
_MS_PER_S = 1000


class _WireRating(msgspec.Struct, frozen=True):
    ticket: str
    score: float | None = None


class RatingClient(Protocol):
    """Submits responses and fetches their ratings; thread-safe."""

    def __enter__(self) -> Self: ...

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None: ...

    def submit(self, request: RatingRequest) -> Result[Rating, RatingError]:
        """Submits a response to be rated.

        Returns:
            The rating with its ticket, usually still without a score. After a
            failure the service may still rate the response; that is harmless.
        """

    def fetch(self, ticket: str) -> Result[Rating, RatingError]:
        """Fetches the current state of a rating."""


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
        """Submits a response to be rated."""
        body = msgspec.json.encode(
            {
                "task": request.task,
                "version": str(request.version),
                "prompt": request.prompt,
                "answer": request.response,
            }
        )
        return self._call("POST", _RATINGS_PATH, body)

    def fetch(self, ticket: str) -> Result[Rating, RatingError]:
        """Fetches the current state of a rating."""
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
                data = response.read(_MAX_RESPONSE_BYTES + 1)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return Failure(RatingUnavailableError(repr(error)))
        return _decode(response.status, data)


def open_rating_client(
    *, address: str, timeout_ms: int = 2_000, max_connections: int = 2
) -> RatingClient:
    """Creates a client of the rating service; it connects on first use.

    Args:
        address: As ``IP:PORT``.
        timeout_ms: Timeout of connecting and of each read.
        max_connections: Maximum number of concurrent calls.

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
        return Failure(
            UnknownTicketError("the rating service does not know the ticket")
        )
    if status not in (_OK, _ACCEPTED):
        return Failure(
            RatingUnavailableError(
                f"rating service responded with status {status}"
            )
        )
    try:
        wire = msgspec.json.decode(data, type=_WireRating)
    except msgspec.MsgspecError as error:
        return Failure(InvalidRatingError(str(error)))
    if wire.score is not None and not 0 <= wire.score <= 1:
        return Failure(
            InvalidRatingError(f"score {wire.score} is outside 0 to 1")
        )
    return Success(Rating(ticket=wire.ticket, score=wire.score))


def _check_ticket(rating: Rating, ticket: str) -> Result[Rating, RatingError]:
    if rating.ticket != ticket:
        detail = f"got ticket {rating.ticket!r} instead of {ticket!r}"
        return Failure(InvalidRatingError(detail))
    return Success(rating)

"""An in-memory rating service for tests."""

from __future__ import annotations

import itertools
import threading
from types import TracebackType
from typing import Self

from returns.result import Failure, Result, Success

from trefoilpitch.ratings._exceptions import (
    RatingError,
    RatingUnavailableError,
    UnknownTicketError,
)
from trefoilpitch.ratings._types import Rating, RatingRequest


class FakeRatingClient:
    """Keeps submitted responses until a test sets their scores."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._numbers = itertools.count()
        self._requests: dict[str, RatingRequest] = {}
        self._scores: dict[str, float] = {}
        self._available = True

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.set_available(False)

    @property
    def requests(self) -> dict[str, RatingRequest]:
        """The submitted requests by ticket."""
        with self._lock:
            return dict(self._requests)

    def set_available(self, available: bool) -> None:
        """Makes every later call succeed or fail."""
        self._available = available

    def set_score(self, ticket: str, score: float) -> None:
        """Sets the score of a rating, from 0 to 1."""
        with self._lock:
            self._scores[ticket] = score

    def submit(self, request: RatingRequest) -> Result[Rating, RatingError]:
        """Records a response as pending."""
        if not self._available:
            return Failure(
                RatingUnavailableError(
                    "the fake rating service is set unavailable"
                )
            )
        with self._lock:
            ticket = f"t{next(self._numbers)}"
            self._requests[ticket] = request
        return Success(Rating(ticket=ticket, score=None))

    def fetch(self, ticket: str) -> Result[Rating, RatingError]:
        """Returns the rating, with its score if that was set."""
        if not self._available:
            return Failure(
                RatingUnavailableError(
                    "the fake rating service is set unavailable"
                )
            )
        with self._lock:
            if ticket not in self._requests:
                return Failure(UnknownTicketError(ticket))
            score = self._scores.get(ticket)
        return Success(Rating(ticket=ticket, score=score))

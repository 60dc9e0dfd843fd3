"""The service that rates answers, which may be late or never reply."""

from trefoilpitch.ratings._client import RatingClient, open_rating_client
from trefoilpitch.ratings._exceptions import (
    InvalidRatingError,
    RatingError,
    RatingUnavailableError,
    UnknownTicketError,
)
from trefoilpitch.ratings._fake import FakeRatingClient
from trefoilpitch.ratings._nodes import Rating, RatingRequest

__all__ = [
    "FakeRatingClient",
    "InvalidRatingError",
    "Rating",
    "RatingClient",
    "RatingError",
    "RatingRequest",
    "RatingUnavailableError",
    "UnknownTicketError",
    "open_rating_client",
]

"""Client of the service that rates responses, possibly late or never."""

from trefoilpitch.ratings._client import RatingClient, open_rating_client
from trefoilpitch.ratings._exceptions import (
    InvalidRatingError,
    RatingError,
    RatingUnavailableError,
    UnknownTicketError,
)
from trefoilpitch.ratings._fake import FakeRatingClient
from trefoilpitch.ratings._types import Rating, RatingRequest

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

"""Errors of calls to the rating service."""

from __future__ import annotations


class RatingError(Exception):
    """The rating service sent no usable response."""


class RatingUnavailableError(RatingError):
    """The service is unreachable, timed out or reported an error."""


class UnknownTicketError(RatingError):
    """The service does not know the ticket; there will be no score."""


class InvalidRatingError(RatingError):
    """The response is malformed or its score is outside 0 to 1."""

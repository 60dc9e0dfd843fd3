"""Failures of the rating service."""

from __future__ import annotations


class RatingError(Exception):
    """The rating service gave no usable reply."""


class RatingUnavailableError(RatingError):
    """The service cannot be reached, is too slow or reports an error."""


class UnknownTicketError(RatingError):
    """The service does not know the ticket; no score will come."""


class InvalidRatingError(RatingError):
    """The reply is malformed or its score is outside 0 to 1."""

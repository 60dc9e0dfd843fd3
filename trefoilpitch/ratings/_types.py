"""Requests and results of the rating service."""

from __future__ import annotations

import dataclasses

from trefoilpitch.bundle import VersionRef


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RatingRequest:
    """A response to rate."""

    # The kind of work that the caller requested.
    task: str
    # The version that generated the response.
    version: VersionRef
    # The full prompt as one text.
    prompt: str
    # The full text of the response.
    response: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rating:
    """The last known state of a submitted rating."""

    # Identifies the rating at the service.
    ticket: str
    # From 0 (bad) to 1 (good); None while the rating is pending.
    score: float | None

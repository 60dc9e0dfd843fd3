"""What is sent to be rated and what comes back."""

from __future__ import annotations

import dataclasses

from trefoilpitch.bundle import VersionRef


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RatingRequest:
    """An answer to be rated."""

    # The kind of work that it was an answer to.
    task: str
    # The version that answered.
    version: VersionRef
    # The whole prompt.
    prompt: str
    # The whole answer.
    answer: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rating:
    """What is known of a rating that was asked for."""

    # Identifies the rating.
    ticket: str
    # From 0 to 1; None while the service has not decided.
    score: float | None

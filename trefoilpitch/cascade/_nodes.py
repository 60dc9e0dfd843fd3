"""Inputs, plans, verdicts and ratings of cascades."""

from __future__ import annotations

import dataclasses
import enum

from trefoilpitch.bundle import VersionRef


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A version that a task may use, with its figures from the bundle."""

    version: VersionRef
    # Expected cost of one response, in billionths of the accounting currency.
    cost_nano: float
    # Expected quality before any rating is known, from 0 to 1.
    prior_quality: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """Quality target of a task."""

    # Share of responses that must be rated good, from 0 to 1.
    quality: float
    # Confidence with which that share has to be reached, from 0.5 to 1.
    confidence: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CascadeStep:
    """One version to run, and when its response is delivered."""

    # The version to run.
    version: VersionRef
    # Lowest confidence signal of a response that is delivered; 0 delivers
    # every response.
    accept_threshold: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CascadePlan:
    """The versions that a request may run on, in order."""

    # The workspace that sent the request.
    workspace: str
    # The task that it requested.
    task: str
    # At least one step; the last one delivers every response.
    steps: tuple[CascadeStep, ...]
    # Whether the plan deviates from the best known one in order to explore.
    exploring: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """Result of a step that ended with a complete response."""

    # The engine's confidence in its response, from 0 to 1; None when it
    # reported none.
    signal: float | None
    # Cost of the run, in billionths of the accounting currency.
    cost_nano: int


class Verdict(enum.Enum):
    """What to do with a step's complete response."""

    # Deliver it to the caller.
    ACCEPT = "accept"
    # Discard it and run the next step.
    ESCALATE = "escalate"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class ResponseKey:
    """The key by which responses and ratings are counted."""

    # The workspace that sent the request.
    workspace: str
    # The task that it requested.
    task: str
    # The version that produced the response.
    version: VersionRef
    # The version whose response was rejected before; None for a first step.
    rejected_version: VersionRef | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseLabel:
    """Attributes of a delivered response that its rating is counted by."""

    key: ResponseKey
    # The confidence signal of the first step's response, from 0 to 1.
    signal: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rating:
    """The rating service's verdict on one delivered response."""

    # The rated response.
    label: ResponseLabel
    # Whether the response was rated good.
    good: bool

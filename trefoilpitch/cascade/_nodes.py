"""Plans, verdicts and ratings of a cascade."""

from __future__ import annotations

import dataclasses
import enum

from trefoilpitch.bundle import VersionRef


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A version that a task may use, as the bundle describes it."""

    # The version.
    version: VersionRef
    # Expected cost of one answer, in billionths of the accounting currency.
    cost_nano: float
    # Mean quality before any rating has been seen, from 0 to 1.
    prior_quality: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """What the answers of a task must reach."""

    # Share of answers that must be rated good, from 0 to 1.
    quality: float
    # Confidence with which the share is reached, from 0.5 to 1.
    confidence: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CascadeStep:
    """One version to run, and when its answer is delivered."""

    # The version to run.
    version: VersionRef
    # Least confidence signal that is delivered; 0 delivers every answer.
    accept_threshold: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CascadePlan:
    """The versions that a request runs on, one after the other."""

    # The workspace that asked.
    workspace: str
    # The task that it asked for.
    task: str
    # The steps; the last one delivers every answer.
    steps: tuple[CascadeStep, ...]
    # Whether the plan departs from the best known one in order to learn.
    exploring: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """How a step's run ended; it ended with a whole answer."""

    # The engine's confidence in its answer, from 0 to 1; None when it gave
    # none.
    signal: float | None
    # What the run cost, in billionths of the accounting currency.
    cost_nano: int


class Verdict(enum.Enum):
    """What becomes of a step's whole answer."""

    # Deliver it to the caller.
    ACCEPT = "accept"
    # Drop it unseen and run the next step.
    ESCALATE = "escalate"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class ResponseKey:
    """The kind of answer that counts are kept for."""

    # The workspace that asked.
    workspace: str
    # The task that it asked for.
    task: str
    # The version that answered.
    version: VersionRef
    # The version whose answer was rejected before; None for a first step.
    after: VersionRef | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseLabel:
    """What a rating needs to know of a delivered answer."""

    # The kind of answer.
    key: ResponseKey
    # The confidence signal of the first step's answer, from 0 to 1.
    signal: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rating:
    """The rating service's opinion of one delivered answer."""

    # The answer.
    label: ResponseLabel
    # Whether it was good.
    good: bool

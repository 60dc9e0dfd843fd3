"""Simulated workloads of two deployments: workspaces, tasks and quality."""

from __future__ import annotations

import dataclasses
import math
import random

from trefoilpitch.bundle import Priority, VersionRef

WORKSPACES = 10
_WORKSPACE_SPREAD = 0.06
_SIGNAL_NOISE = 0.12


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskProfile:
    """Cost and quality of a task on a cheap and on an expensive version."""

    name: str
    # Share of the deployment's requests, from 0 to 1.
    share: float
    priority: Priority
    # Quality target: share of responses that must be good, from 0 to 1.
    target: float
    # Cost of a run on the cheap and on the expensive version.
    costs: tuple[float, float]
    # Difficulty at which half of the responses of the cheap and of the
    # expensive version are bad.
    reach: tuple[float, float]
    # Exponent that maps the probability of a good response to the mean signal;
    # below 1 the engines are overconfident.
    calibration: float
    # Run time on the cheap and on the expensive version, in milliseconds.
    run_ms: tuple[int, int]
    # Time limit of a request, in milliseconds.
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """One request with the signals and quality of its possible responses."""

    workspace: str
    task: TaskProfile
    # Confidence signals of the cheap and of the expensive response, from 0 to
    # 1.
    signals: tuple[float, float]
    # Probabilities that the cheap and the expensive response are good, from 0
    # to 1.
    chances: tuple[float, float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """The workload of one set of users."""

    name: str
    # The shares add up to 1.
    tasks: tuple[TaskProfile, ...]

    def prompt(self, rng: random.Random) -> Prompt:
        """Draws a random request; workspaces differ in size and difficulty."""
        weights = [1.0 / (rank + 1) for rank in range(WORKSPACES)]
        number = rng.choices(range(WORKSPACES), weights)[0]
        shares = [task.share for task in self.tasks]
        task = rng.choices(self.tasks, shares)[0]
        return draw_prompt(task, number, rng)


def draw_prompt(task: TaskProfile, number: int, rng: random.Random) -> Prompt:
    """Draws a random request of a task for the workspace with a number."""
    offset = _WORKSPACE_SPREAD * math.cos(2.4 * number)
    difficulty = min(max(rng.random() + offset, 0.0), 1.0)
    cheap = _chance(task.reach[0], difficulty)
    expensive = _chance(task.reach[1], difficulty)
    signals = (
        _signal(cheap**task.calibration, rng),
        _signal(expensive**task.calibration, rng),
    )
    return Prompt(f"workspace-{number}", task, signals, (cheap, expensive))


def _chance(reach: float, difficulty: float) -> float:
    return 0.99 / (1.0 + math.exp((difficulty - reach) * 10.0))


def _signal(mean: float, rng: random.Random) -> float:
    return min(max(mean + rng.gauss(0.0, _SIGNAL_NOISE), 0.0), 1.0)


CHEAP = VersionRef("small", "1")
EXPENSIVE = VersionRef("large", "1")

ARCHIVE = Deployment(
    name="archive",
    tasks=(
        TaskProfile(
            name="transcript",
            share=0.15,
            priority=Priority.BATCH,
            target=0.9,
            costs=(40.0, 200.0),
            reach=(0.8, 1.3),
            calibration=0.4,
            run_ms=(8_000, 20_000),
            deadline_ms=600_000,
        ),
        TaskProfile(
            name="summary",
            share=0.15,
            priority=Priority.BATCH,
            target=0.9,
            costs=(8.0, 40.0),
            reach=(0.9, 1.25),
            calibration=1.0,
            run_ms=(2_000, 5_000),
            deadline_ms=300_000,
        ),
        TaskProfile(
            name="translation",
            share=0.3,
            priority=Priority.STANDARD,
            target=0.88,
            costs=(5.0, 30.0),
            reach=(0.55, 1.25),
            calibration=0.6,
            run_ms=(1_000, 3_000),
            deadline_ms=60_000,
        ),
        TaskProfile(
            name="hymn-tag",
            share=0.4,
            priority=Priority.STANDARD,
            target=0.9,
            costs=(0.5, 5.0),
            reach=(1.25, 1.5),
            calibration=2.0,
            run_ms=(200, 500),
            deadline_ms=30_000,
        ),
    ),
)

REPAIR_CAFES = Deployment(
    name="repair-cafes",
    tasks=(
        TaskProfile(
            name="walkthrough",
            share=0.3,
            priority=Priority.INTERACTIVE,
            target=0.92,
            costs=(6.0, 20.0),
            reach=(0.75, 1.35),
            calibration=0.5,
            run_ms=(1_500, 3_000),
            deadline_ms=20_000,
        ),
        TaskProfile(
            name="parts-answer",
            share=0.3,
            priority=Priority.INTERACTIVE,
            target=0.9,
            costs=(4.0, 6.0),
            reach=(0.45, 1.3),
            calibration=1.0,
            run_ms=(1_000, 2_000),
            deadline_ms=20_000,
        ),
        TaskProfile(
            name="fault-label",
            share=0.4,
            priority=Priority.STANDARD,
            target=0.9,
            costs=(0.3, 3.0),
            reach=(1.1, 1.5),
            calibration=1.5,
            run_ms=(150, 500),
            deadline_ms=30_000,
        ),
    ),
)

DEPLOYMENTS = (ARCHIVE, REPAIR_CAFES)

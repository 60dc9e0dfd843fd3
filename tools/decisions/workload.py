"""Workloads of the two deployments: workspaces, tasks and true quality."""

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
    """How a task's answers come out on a cheap and on a dear version."""

    # The task's name.
    name: str
    # Share of the deployment's requests, from 0 to 1.
    share: float
    # How urgently its requests are served.
    priority: Priority
    # Share of answers that must be good, from 0 to 1.
    target: float
    # Costs of a cheap and of a dear answer.
    costs: tuple[float, float]
    # Difficulty at which half of the cheap and of the dear answers fail.
    reach: tuple[float, float]
    # Exponent from chance to signal; below 1 the engines are overconfident.
    calibration: float
    # Time that a cheap and a dear run take, in milliseconds.
    run_ms: tuple[int, int]
    # Time that a request may take in all, in milliseconds.
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """One request with everything that decides its answers."""

    # The workspace that asks.
    workspace: str
    # What it asks for.
    task: TaskProfile
    # Confidence signals of the cheap and of the dear answer, from 0 to 1.
    signals: tuple[float, float]
    # Chances that the cheap and the dear answer are good, from 0 to 1.
    chances: tuple[float, float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """One set of users."""

    # Its name.
    name: str
    # Its tasks; their shares add up to 1.
    tasks: tuple[TaskProfile, ...]

    def prompt(self, rng: random.Random) -> Prompt:
        """Draws a request; workspaces differ in size and difficulty."""
        weights = [1.0 / (rank + 1) for rank in range(WORKSPACES)]
        number = rng.choices(range(WORKSPACES), weights)[0]
        shares = [task.share for task in self.tasks]
        task = rng.choices(self.tasks, shares)[0]
        return draw_prompt(task, number, rng)


def draw_prompt(task: TaskProfile, number: int, rng: random.Random) -> Prompt:
    """Draws a request of one task of the workspace with that number."""
    offset = _WORKSPACE_SPREAD * math.cos(2.4 * number)
    difficulty = min(max(rng.random() + offset, 0.0), 1.0)
    cheap = _chance(task.reach[0], difficulty)
    dear = _chance(task.reach[1], difficulty)
    signals = (
        _signal(cheap**task.calibration, rng),
        _signal(dear**task.calibration, rng),
    )
    return Prompt(f"workspace-{number}", task, signals, (cheap, dear))


def _chance(reach: float, difficulty: float) -> float:
    return 0.99 / (1.0 + math.exp((difficulty - reach) * 10.0))


def _signal(mean: float, rng: random.Random) -> float:
    return min(max(mean + rng.gauss(0.0, _SIGNAL_NOISE), 0.0), 1.0)


CHEAP = VersionRef("small", "1")
DEAR = VersionRef("large", "1")

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

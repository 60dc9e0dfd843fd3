"""Supervision of actors: ticks and restarts."""

from trefoilpitch.supervision._supervisor import (
    INITIAL_DELAY_MS,
    MAX_DELAY_MS,
    STABLE_AFTER_MS,
    ChildSpec,
    ChildState,
    ChildStatus,
    RestartPolicy,
    Supervisor,
    Tick,
)

__all__ = [
    "INITIAL_DELAY_MS",
    "MAX_DELAY_MS",
    "STABLE_AFTER_MS",
    "RestartPolicy",
    "ChildSpec",
    "ChildState",
    "ChildStatus",
    "Supervisor",
    "Tick",
]

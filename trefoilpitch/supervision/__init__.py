"""The supervisor tree: actors, their ticks and their restarts."""

from trefoilpitch.supervision._supervisor import (
    INITIAL_DELAY_MS,
    MAX_DELAY_MS,
    STABLE_AFTER_MS,
    ChildPolicy,
    ChildSpec,
    ChildState,
    ChildStatus,
    Supervisor,
    Tick,
)

__all__ = [
    "INITIAL_DELAY_MS",
    "MAX_DELAY_MS",
    "STABLE_AFTER_MS",
    "ChildPolicy",
    "ChildSpec",
    "ChildState",
    "ChildStatus",
    "Supervisor",
    "Tick",
]

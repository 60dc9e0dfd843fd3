"""The configuration in force, and how changes to it reach every node."""

from trefoilpitch.configuration._nodes import (
    EMPTY_CONFIGURATION,
    Configuration,
    RolloutPhase,
    RolloutState,
)

__all__ = [
    "EMPTY_CONFIGURATION",
    "Configuration",
    "RolloutPhase",
    "RolloutState",
]

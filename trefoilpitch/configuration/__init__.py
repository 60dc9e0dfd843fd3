"""The configuration in force, and how changes to it reach every node."""

from trefoilpitch.configuration._apply import apply_change
from trefoilpitch.configuration._changes import (
    AdvanceRollout,
    Change,
    PauseRollout,
    ResumeRollout,
    RollBack,
    SetFailureDomain,
    SetVm,
    SignOffBundle,
    StartRollout,
    WithdrawVersion,
)
from trefoilpitch.configuration._exceptions import ChangeError, Refusal
from trefoilpitch.configuration._nodes import (
    EMPTY_CONFIGURATION,
    Configuration,
    RolloutPhase,
    RolloutState,
)

__all__ = [
    "EMPTY_CONFIGURATION",
    "AdvanceRollout",
    "Change",
    "ChangeError",
    "Configuration",
    "PauseRollout",
    "Refusal",
    "ResumeRollout",
    "RollBack",
    "RolloutPhase",
    "RolloutState",
    "SetFailureDomain",
    "SetVm",
    "SignOffBundle",
    "StartRollout",
    "WithdrawVersion",
    "apply_change",
]

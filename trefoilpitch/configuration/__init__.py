"""The fleet's configuration: its content, changes, encodings and commits.

``replication`` distributes committed revisions to every node.
"""

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
from trefoilpitch.configuration._deltas import Delta
from trefoilpitch.configuration._describe import describe_delta
from trefoilpitch.configuration._exceptions import (
    ChangeError,
    ChangeRefusedError,
    CommitError,
    CommitUnknownError,
    Refusal,
    RevisionConflictError,
    StaleStoreError,
    StoreCorruptedError,
    StoreUnavailableError,
)
from trefoilpitch.configuration._head import HEAD_KEY, KEY_PREFIX
from trefoilpitch.configuration._head_reader import HeadReader
from trefoilpitch.configuration._nodes import (
    EMPTY_CONFIGURATION,
    Configuration,
    RolloutPhase,
    RolloutState,
)
from trefoilpitch.configuration._writer import (
    Committed,
    ConfigurationWriter,
    configuration_writer,
)

__all__ = [
    "EMPTY_CONFIGURATION",
    "HEAD_KEY",
    "KEY_PREFIX",
    "AdvanceRollout",
    "Change",
    "ChangeError",
    "ChangeRefusedError",
    "CommitError",
    "CommitUnknownError",
    "Committed",
    "Configuration",
    "ConfigurationWriter",
    "Delta",
    "HeadReader",
    "PauseRollout",
    "Refusal",
    "ResumeRollout",
    "RevisionConflictError",
    "RollBack",
    "RolloutPhase",
    "RolloutState",
    "SetFailureDomain",
    "SetVm",
    "SignOffBundle",
    "StartRollout",
    "StaleStoreError",
    "StoreCorruptedError",
    "StoreUnavailableError",
    "WithdrawVersion",
    "apply_change",
    "configuration_writer",
    "describe_delta",
]

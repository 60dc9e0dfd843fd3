"""Describes committed changes for operators."""

from __future__ import annotations

from trefoilpitch.configuration._changes import (
    AdvanceRollout,
    PauseRollout,
    ResumeRollout,
    RollBack,
    SetFailureDomain,
    SetVm,
    StartRollout,
    WithdrawVersion,
)
from trefoilpitch.configuration._deltas import (
    Delta,
    PatchBundle,
    RecordedChange,
    ReplaceBundle,
)


def describe_delta(delta: Delta) -> str:
    """Returns one line with the revision, author, action and change id."""
    change = delta.change
    return (
        f"revision {delta.revision}: {change.author} {_describe(change)} "
        f"(change id {change.change_id})"
    )


def _describe(change: RecordedChange) -> str:
    match change:
        case PatchBundle() | ReplaceBundle():
            return f"signed off a bundle, digest {change.bundle_digest[:12]}"
        case WithdrawVersion():
            return f"withdrew {change.ref}"
        case SetFailureDomain():
            where = _service_verb(change.in_service)
            return f"{where} failure domain {change.failure_domain}"
        case SetVm():
            return f"{_service_verb(change.in_service)} VM {change.vm}"
        case _:
            return _describe_rollout(change)


def _describe_rollout(change: RecordedChange) -> str:
    match change:
        case StartRollout():
            target = f"{change.model} to {change.to_version}"
            return f"started the roll-out of {target}"
        case AdvanceRollout():
            step = change.from_step
            return f"advanced the roll-out of {change.model} from step {step}"
        case PauseRollout():
            return f"paused the roll-out of {change.model}"
        case ResumeRollout():
            return f"resumed the roll-out of {change.model}"
        case RollBack():
            return f"rolled back the roll-out of {change.model}"
        case _:
            return "made a change that this release does not support"


def _service_verb(in_service: bool) -> str:
    return "returned" if in_service else "took out"

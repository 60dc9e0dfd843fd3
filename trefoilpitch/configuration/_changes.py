"""The changes that operators can request."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from trefoilpitch.bundle import Bundle, VersionRef


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeBase:
    """Fields of every change."""

    # Idempotency key chosen by the requester: a retry with the same id has no
    # further effect.
    change_id: str
    # The requester, shown to other operators.
    author: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SignOffBundle(ChangeBase):
    """Puts a bundle in force."""

    # Decoded and validated.
    bundle: Bundle


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawVersion(ChangeBase):
    """Excludes a version from new work permanently."""

    ref: VersionRef


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetFailureDomain(ChangeBase):
    """Takes a failure domain out of service or puts it back."""

    # The failure domain's name.
    failure_domain: str
    # Whether it gets new work.
    in_service: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetVm(ChangeBase):
    """Takes an entry VM or an upstream out of service or puts it back."""

    # The entry VM's or upstream's name.
    vm: str
    # Whether it gets new work.
    in_service: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartRollout(ChangeBase):
    """Starts a roll-out that the bundle plans, at its first step."""

    # The model whose version changes.
    model: str
    # The version to roll out.
    to_version: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdvanceRollout(ChangeBase):
    """Advances a running roll-out by one step; after the last, completes it."""

    # The model whose version changes.
    model: str
    # The step that the requester saw: of two concurrent requests from the
    # same step, only one advances the roll-out.
    from_step: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PauseRollout(ChangeBase):
    """Pauses a running roll-out at its current step."""

    # The model whose version changes.
    model: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResumeRollout(ChangeBase):
    """Resumes a paused roll-out."""

    # The model whose version changes.
    model: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RollBack(ChangeBase):
    """Sends new sessions of a model to its default version again."""

    # The model whose version changes.
    model: str


Change: TypeAlias = (
    SignOffBundle
    | WithdrawVersion
    | SetFailureDomain
    | SetVm
    | StartRollout
    | AdvanceRollout
    | PauseRollout
    | ResumeRollout
    | RollBack
)

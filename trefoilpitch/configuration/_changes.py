"""The changes that operators may ask for."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from trefoilpitch.bundle import Bundle, VersionRef


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeBase:
    """What every change carries."""

    # Chosen by whoever asks; asking again with the same id changes nothing.
    change_id: str
    # Who asked for it.
    author: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SignOffBundle(ChangeBase):
    """Puts a bundle in force."""

    # The bundle, decoded and checked.
    bundle: Bundle


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawVersion(ChangeBase):
    """Bars a version from new work for good."""

    # The version.
    ref: VersionRef


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetFailureDomain(ChangeBase):
    """Takes a failure domain out of service or returns it."""

    # The failure domain's name.
    failure_domain: str
    # Whether it may get new work.
    in_service: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetVm(ChangeBase):
    """Takes an entry VM or an upstream out of service or returns it."""

    # The VM's or upstream's name.
    vm: str
    # Whether it may get new work.
    in_service: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartRollout(ChangeBase):
    """Begins a roll-out that the bundle plans, at its first step."""

    # The model whose version changes.
    model: str
    # The version that takes over.
    to_version: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdvanceRollout(ChangeBase):
    """Moves a running roll-out one step on; past the last step completes it."""

    # The model whose version changes.
    model: str
    # The step that the roll-out stands at, so that two who advance it at
    # once move it by one.
    from_step: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PauseRollout(ChangeBase):
    """Keeps a running roll-out at its step."""

    # The model whose version changes.
    model: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResumeRollout(ChangeBase):
    """Lets a paused roll-out advance again."""

    # The model whose version changes.
    model: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RollBack(ChangeBase):
    """Returns new sessions of a model to its default version."""

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

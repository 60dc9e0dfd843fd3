"""Applies a change to a configuration.

Every node applies the same changes in the same order and must get the same
result, so this module must stay deterministic: no clocks, no settings, and no
checks that differ between releases.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import assert_never

from returns.result import Failure, Result, Success

from trefoilpitch.bundle import VersionRef
from trefoilpitch.configuration._apply_bundle import sign_off
from trefoilpitch.configuration._apply_rollout import (
    advance_rollout,
    pause_rollout,
    resume_rollout,
    roll_back,
    roll_back_withdrawn,
    start_rollout,
)
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
from trefoilpitch.configuration._nodes import Configuration
from trefoilpitch.configuration._refuse import Outcome, refuse


def apply_change(
    configuration: Configuration, change: Change
) -> Result[Configuration, ChangeError]:
    """Returns the next revision, or why the change is refused.

    Args:
        configuration: The configuration to change.
        change: The change; the bundle of a sign-off is already validated.
    """
    if not change.change_id or not change.author:
        return refuse(
            Refusal.UNKNOWN_NAME, "a change needs a change id and an author"
        )
    return _apply(change, configuration).map(
        functools.partial(_next_revision, configuration.revision + 1)
    )


def _next_revision(revision: int, changed: Configuration) -> Configuration:
    return dataclasses.replace(changed, revision=revision)


def _apply(change: Change, configuration: Configuration) -> Outcome:
    match change:
        case SignOffBundle():
            return sign_off(configuration, change)
        case WithdrawVersion():
            return _withdraw(configuration, change.ref)
        case SetFailureDomain():
            return _set_failure_domain(configuration, change)
        case SetVm():
            return _set_vm(configuration, change)
        case _:
            return _apply_to_rollout(change, configuration)


def _apply_to_rollout(
    change: StartRollout
    | AdvanceRollout
    | PauseRollout
    | ResumeRollout
    | RollBack,
    configuration: Configuration,
) -> Outcome:
    match change:
        case StartRollout():
            return start_rollout(configuration, change)
        case AdvanceRollout():
            return advance_rollout(configuration, change)
        case PauseRollout():
            return pause_rollout(configuration, change)
        case ResumeRollout():
            return resume_rollout(configuration, change)
        case RollBack():
            return roll_back(configuration, change)
        case _:
            assert_never(change)


def _withdraw(configuration: Configuration, ref: VersionRef) -> Outcome:
    if configuration.bundle is None:
        return refuse(Refusal.NO_BUNDLE, "no bundle is signed off")
    if ref in configuration.withdrawn:
        return refuse(Refusal.NO_EFFECT, f"{ref} is already withdrawn")
    known = {
        VersionRef(model.name, version.name)
        for model in configuration.bundle.models
        for version in model.versions
    }
    if ref not in known:
        return refuse(
            Refusal.UNKNOWN_NAME, f"the bundle has no model version {ref}"
        )
    return Success(
        dataclasses.replace(
            configuration,
            withdrawn=configuration.withdrawn | {ref},
            rollouts=roll_back_withdrawn(configuration.rollouts, ref),
        )
    )


def _set_failure_domain(
    configuration: Configuration, change: SetFailureDomain
) -> Outcome:
    name = change.failure_domain
    if configuration.bundle is None:
        return refuse(Refusal.NO_BUNDLE, "no bundle is signed off")
    known = {
        *configuration.bundle.failure_domains,
        *configuration.failure_domains_out,
    }
    if name not in known:
        return refuse(
            Refusal.UNKNOWN_NAME,
            f"the bundle has no failure domain called {name!r}",
        )
    return _set_in_service(
        name, configuration.failure_domains_out, change.in_service
    ).map(
        lambda out: dataclasses.replace(configuration, failure_domains_out=out)
    )


def _set_vm(configuration: Configuration, change: SetVm) -> Outcome:
    if not change.vm:
        return refuse(Refusal.UNKNOWN_NAME, "the VM's name is empty")
    return _set_in_service(
        change.vm, configuration.vms_out, change.in_service
    ).map(lambda out: dataclasses.replace(configuration, vms_out=out))


def _set_in_service(
    name: str, out: frozenset[str], in_service: bool
) -> Result[frozenset[str], ChangeError]:
    if in_service != (name in out):
        state = "in service" if in_service else "out of service"
        return Failure(
            ChangeError(
                refusal=Refusal.NO_EFFECT, message=f"{name} is already {state}"
            )
        )
    return Success(out - {name} if in_service else out | {name})

"""Replaces the bundle of a configuration."""

from __future__ import annotations

import dataclasses

from returns.result import Success

from trefoilpitch.bundle import Bundle, VersionRef
from trefoilpitch.configuration._apply_rollout import find_plan
from trefoilpitch.configuration._changes import SignOffBundle
from trefoilpitch.configuration._exceptions import Refusal
from trefoilpitch.configuration._nodes import (
    Configuration,
    RolloutPhase,
    RolloutState,
)
from trefoilpitch.configuration._refuse import Outcome, refuse


def sign_off(configuration: Configuration, change: SignOffBundle) -> Outcome:
    """Puts a newer bundle in force.

    Withdrawals and out-of-service states are kept. The new bundle must keep
    the plan of an active roll-out unchanged. For a completed one it must keep
    a plan or make the rolled-out version the default.
    """
    bundle = change.bundle
    problem = _find_version_problem(configuration.bundle, bundle)
    if problem:
        return refuse(Refusal.NOT_NEWER, problem)
    returned = _find_withdrawn(configuration, bundle)
    if returned:
        return refuse(
            Refusal.WITHDRAWN,
            f"the bundle lists withdrawn versions: {', '.join(returned)}",
        )
    for state in configuration.rollouts:
        problem = _find_rollout_problem(configuration, bundle, state)
        if problem:
            return refuse(Refusal.WRONG_PHASE, problem)
    kept = tuple(
        state
        for state in configuration.rollouts
        if find_plan(bundle, state.model, state.to_version) is not None
    )
    return Success(
        dataclasses.replace(configuration, bundle=bundle, rollouts=kept)
    )


def _find_version_problem(current: Bundle | None, new: Bundle) -> str | None:
    if current is None:
        return None
    if new.name != current.name:
        return (
            f"the bundle in force is named {current.name!r}, this one "
            f"{new.name!r}"
        )
    if new.version <= current.version:
        return (
            f"version {current.version} of {current.name!r} is in force; a "
            f"sign-off needs a higher version than {new.version}"
        )
    return None


def _find_withdrawn(configuration: Configuration, bundle: Bundle) -> list[str]:
    refs = [
        VersionRef(model.name, version.name)
        for model in bundle.models
        for version in model.versions
    ]
    return [str(ref) for ref in refs if ref in configuration.withdrawn]


def _find_rollout_problem(
    configuration: Configuration, bundle: Bundle, state: RolloutState
) -> str | None:
    if state.phase is RolloutPhase.ROLLED_BACK:
        return None
    name = f"the roll-out of {state.model} to {state.to_version}"
    new_plan = find_plan(bundle, state.model, state.to_version)
    if state.phase is RolloutPhase.COMPLETED:
        if new_plan or _is_default(bundle, state):
            return None
        return (
            f"{name} is completed: the bundle must make that version the "
            "default or keep the plan"
        )
    old_plan = find_plan(configuration.bundle, state.model, state.to_version)
    if new_plan is None or new_plan != old_plan:
        return (
            f"{name} is active and the bundle changes or drops its plan; "
            "complete it or roll it back first"
        )
    return None


def _is_default(bundle: Bundle, state: RolloutState) -> bool:
    return any(
        (model.name, model.default_version) == (state.model, state.to_version)
        for model in bundle.models
    )

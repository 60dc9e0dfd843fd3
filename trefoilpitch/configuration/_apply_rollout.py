"""Phase and step transitions of roll-outs."""

from __future__ import annotations

import dataclasses

from returns.result import Success

from trefoilpitch.bundle import Bundle, RolloutPlan, VersionRef
from trefoilpitch.configuration._changes import (
    AdvanceRollout,
    PauseRollout,
    ResumeRollout,
    RollBack,
    StartRollout,
)
from trefoilpitch.configuration._exceptions import Refusal
from trefoilpitch.configuration._nodes import (
    Configuration,
    RolloutPhase,
    RolloutState,
)
from trefoilpitch.configuration._refuse import Outcome, refuse


def find_plan(
    bundle: Bundle | None, model: str, to_version: str
) -> RolloutPlan | None:
    """Returns a bundle's plan for a roll-out, None if it has none."""
    for plan in bundle.rollouts if bundle else ():
        if (plan.model, plan.to_version) == (model, to_version):
            return plan
    return None


def start_rollout(
    configuration: Configuration, change: StartRollout
) -> Outcome:
    """Starts a planned roll-out, also one that was rolled back before."""
    ref = VersionRef(change.model, change.to_version)
    if find_plan(configuration.bundle, ref.model, ref.version) is None:
        return refuse(
            Refusal.UNKNOWN_NAME, f"the bundle plans no roll-out to {ref}"
        )
    if ref in configuration.withdrawn:
        return refuse(Refusal.WITHDRAWN, f"{ref} is withdrawn")
    current = _find(configuration, change.model)
    if current and current.phase is not RolloutPhase.ROLLED_BACK:
        return _refuse_phase(current)
    return _with_rollout(
        configuration,
        RolloutState(
            model=change.model,
            to_version=change.to_version,
            step=0,
            phase=RolloutPhase.RUNNING,
        ),
    )


def advance_rollout(
    configuration: Configuration, change: AdvanceRollout
) -> Outcome:
    """Advances a running roll-out if it is at the step the requester saw."""
    current = _find(configuration, change.model)
    if current is None:
        return _refuse_unknown(change.model)
    if current.phase is not RolloutPhase.RUNNING:
        return _refuse_phase(current)
    if current.step != change.from_step:
        return refuse(
            Refusal.WRONG_PHASE,
            f"the roll-out of {change.model} is at step {current.step}, "
            f"not {change.from_step}",
        )
    plan = find_plan(configuration.bundle, current.model, current.to_version)
    if plan is None or current.step + 1 >= len(plan.steps_percent):
        return _with_phase(configuration, current, RolloutPhase.COMPLETED)
    return _with_rollout(
        configuration, dataclasses.replace(current, step=current.step + 1)
    )


def pause_rollout(
    configuration: Configuration, change: PauseRollout
) -> Outcome:
    """Pauses a running roll-out at its current step."""
    current = _find(configuration, change.model)
    if current is None:
        return _refuse_unknown(change.model)
    if current.phase is not RolloutPhase.RUNNING:
        return _refuse_phase(current)
    return _with_phase(configuration, current, RolloutPhase.PAUSED)


def resume_rollout(
    configuration: Configuration, change: ResumeRollout
) -> Outcome:
    """Resumes a paused roll-out."""
    current = _find(configuration, change.model)
    if current is None:
        return _refuse_unknown(change.model)
    if current.phase is not RolloutPhase.PAUSED:
        return _refuse_phase(current)
    return _with_phase(configuration, current, RolloutPhase.RUNNING)


def roll_back(configuration: Configuration, change: RollBack) -> Outcome:
    """Sends new sessions to the default version again, from any phase."""
    current = _find(configuration, change.model)
    if current is None:
        return _refuse_unknown(change.model)
    if current.phase is RolloutPhase.ROLLED_BACK:
        return refuse(
            Refusal.NO_EFFECT,
            f"the roll-out of {change.model} is already rolled back",
        )
    return _with_phase(configuration, current, RolloutPhase.ROLLED_BACK)


def roll_back_withdrawn(
    rollouts: tuple[RolloutState, ...], ref: VersionRef
) -> tuple[RolloutState, ...]:
    """Returns the roll-outs, rolling back any to the withdrawn version."""
    return tuple(
        dataclasses.replace(state, phase=RolloutPhase.ROLLED_BACK)
        if VersionRef(state.model, state.to_version) == ref
        else state
        for state in rollouts
    )


def _find(configuration: Configuration, model: str) -> RolloutState | None:
    for state in configuration.rollouts:
        if state.model == model:
            return state
    return None


def _with_phase(
    configuration: Configuration, state: RolloutState, phase: RolloutPhase
) -> Outcome:
    return _with_rollout(configuration, dataclasses.replace(state, phase=phase))


def _with_rollout(configuration: Configuration, state: RolloutState) -> Outcome:
    others = [
        other for other in configuration.rollouts if other.model != state.model
    ]
    rollouts = sorted([*others, state], key=lambda each: each.model)
    return Success(dataclasses.replace(configuration, rollouts=tuple(rollouts)))


def _refuse_unknown(model: str) -> Outcome:
    return refuse(
        Refusal.UNKNOWN_NAME, f"no roll-out of {model!r} has been started"
    )


def _refuse_phase(state: RolloutState) -> Outcome:
    phase = state.phase.value.replace("_", " ")
    return refuse(
        Refusal.WRONG_PHASE,
        f"the roll-out of {state.model} to {state.to_version} is {phase}",
    )

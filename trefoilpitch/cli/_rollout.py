"""The ``trefoilpitch rollout`` and ``trefoilpitch version`` commands."""

from __future__ import annotations

from trefoilpitch.administration import (
    FleetStatus,
    RolloutAdvanceBody,
    RolloutBackBody,
    RolloutPauseBody,
    RolloutResumeBody,
    RolloutStartBody,
    WithdrawBody,
)
from trefoilpitch.bundle import VERSION_SEPARATOR
from trefoilpitch.cli._change import change_header, send_change
from trefoilpitch.cli._context import Context, fetch
from trefoilpitch.cli._exceptions import CommandError, ExitStatus, UsageError
from trefoilpitch.cli._output import Table

_PERCENT = 100


def withdraw(context: Context) -> ExitStatus:
    """Excludes a version from new work permanently."""
    version = _version_argument(context)
    body = WithdrawBody(version=version, **change_header(context).fields())
    return send_change(context, body, f"{version} withdrawn")


def start(context: Context) -> ExitStatus:
    """Starts a roll-out that the bundle plans."""
    version = _version_argument(context)
    body = RolloutStartBody(version=version, **change_header(context).fields())
    return send_change(context, body, f"roll-out to {version} started")


def advance(context: Context) -> ExitStatus:
    """Advances a running roll-out by one step."""
    model = context.arguments[0]
    step = _current_step(context, model)
    body = RolloutAdvanceBody(
        model=model, from_step=step, **change_header(context).fields()
    )
    summary = f"roll-out of {model} advanced from step {step}"
    return send_change(context, body, summary)


def pause(context: Context) -> ExitStatus:
    """Pauses a running roll-out at its current step."""
    model = context.arguments[0]
    body = RolloutPauseBody(model=model, **change_header(context).fields())
    return send_change(context, body, f"roll-out of {model} paused")


def resume(context: Context) -> ExitStatus:
    """Lets a paused roll-out advance again."""
    model = context.arguments[0]
    body = RolloutResumeBody(model=model, **change_header(context).fields())
    return send_change(context, body, f"roll-out of {model} resumed")


def back(context: Context) -> ExitStatus:
    """Returns new sessions to the default version."""
    model = context.arguments[0]
    body = RolloutBackBody(model=model, **change_header(context).fields())
    return send_change(context, body, f"roll-out of {model} rolled back")


def status(context: Context) -> ExitStatus:
    """Shows the roll-outs and their progress."""
    response = fetch(context, "/v1/status", FleetStatus)
    table = Table(
        headings=("MODEL", "TO VERSION", "STEP", "PHASE", "NEW SESSIONS"),
        rows=tuple(
            (
                line.model,
                line.to_version,
                str(line.step),
                line.phase,
                f"{line.share * _PERCENT:.0f}%",
            )
            for line in response.rollouts
        ),
        empty="no roll-out has been started",
    )
    context.console.show(table)
    context.console.record(
        revision=response.revision, rollouts=response.rollouts
    )
    return ExitStatus.DONE


def _version_argument(context: Context) -> str:
    text = context.arguments[0]
    model, separator, version = text.partition(VERSION_SEPARATOR)
    if not (model and separator and version):
        raise UsageError(
            f"{text!r} names no version", "Write it as MODEL@VERSION."
        )
    return text


def _current_step(context: Context, model: str) -> int:
    if context.settings.from_step is not None:
        return context.settings.from_step
    response = fetch(context, "/v1/status", FleetStatus)
    for line in response.rollouts:
        if line.model == model:
            return line.step
    raise CommandError(
        ExitStatus.REFUSED,
        f"no roll-out of {model!r} has been started",
        "See trefoilpitch rollout status.",
    )

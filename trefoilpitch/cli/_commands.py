"""The commands and how the words of a command line name them."""

from __future__ import annotations

import dataclasses
import difflib
from collections.abc import Callable, Sequence

from trefoilpitch.cli import (
    _bundle,
    _fleet,
    _reports,
    _rollout,
)
from trefoilpitch.cli._context import Context
from trefoilpitch.cli._exceptions import ExitStatus, UsageError

_CONNECTION = ("admin_address", "admin_token", "timeout_ms", "format")
_CHANGE = (
    *_CONNECTION,
    "dry_run",
    "expected_revision",
    "change_id",
    "author",
    "wait",
    "wait_ms",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """One command."""

    # The words that name it, ``bundle check``.
    name: str
    # The arguments that follow, all required.
    parameters: tuple[str, ...]
    # What it does, in one line.
    summary: str
    # Runs it.
    run: Callable[[Context], ExitStatus]
    # The flags that it heeds.
    flags: tuple[str, ...]

    @property
    def usage(self) -> str:
        """How the command is written."""
        return " ".join(("trefoilpitch", self.name, *self.parameters))


COMMANDS = (
    Command(
        "bundle check",
        ("FILE",),
        "Print every fault of a bundle file; needs no daemon.",
        _bundle.check,
        ("format",),
    ),
    Command(
        "bundle diff",
        ("FILE",),
        "Compare a bundle file with the bundle in force.",
        _bundle.diff,
        _CONNECTION,
    ),
    Command(
        "bundle sign-off",
        ("FILE",),
        "Show the differences, then put a bundle file in force.",
        _bundle.sign_off,
        _CHANGE,
    ),
    Command(
        "bundle show",
        (),
        "Show the bundle in force.",
        _bundle.show,
        _CONNECTION,
    ),
    Command(
        "bundle history",
        (),
        "List the accepted changes, newest first.",
        _bundle.history,
        _CONNECTION,
    ),
    Command(
        "domain out",
        ("FAILURE_DOMAIN",),
        "Give a failure domain no new work.",
        _fleet.domain_out,
        _CHANGE,
    ),
    Command(
        "domain in",
        ("FAILURE_DOMAIN",),
        "Return a failure domain to service.",
        _fleet.domain_in,
        _CHANGE,
    ),
    Command(
        "vm out",
        ("VM",),
        "Give an entry VM or an upstream no new work.",
        _fleet.vm_out,
        (*_CHANGE, "allow_unknown"),
    ),
    Command(
        "vm in",
        ("VM",),
        "Return an entry VM or an upstream to service.",
        _fleet.vm_in,
        _CHANGE,
    ),
    Command(
        "version withdraw",
        ("MODEL@VERSION",),
        "Bar a version from new work for good.",
        _rollout.withdraw,
        _CHANGE,
    ),
    Command(
        "rollout start",
        ("MODEL@VERSION",),
        "Begin a roll-out that the bundle plans.",
        _rollout.start,
        _CHANGE,
    ),
    Command(
        "rollout advance",
        ("MODEL",),
        "Move a running roll-out one step on.",
        _rollout.advance,
        (*_CHANGE, "from_step"),
    ),
    Command(
        "rollout pause",
        ("MODEL",),
        "Keep a running roll-out at its step.",
        _rollout.pause,
        _CHANGE,
    ),
    Command(
        "rollout resume",
        ("MODEL",),
        "Let a paused roll-out advance again.",
        _rollout.resume,
        _CHANGE,
    ),
    Command(
        "rollout back",
        ("MODEL",),
        "Return new sessions to the default version.",
        _rollout.back,
        _CHANGE,
    ),
    Command(
        "rollout status",
        (),
        "Show the roll-outs and how far they have come.",
        _rollout.status,
        _CONNECTION,
    ),
    Command(
        "status",
        (),
        "Show the revision in force and the VMs that lack it.",
        _reports.status,
        _CONNECTION,
    ),
    Command(
        "dump",
        (),
        "Print the state of the answering daemon as JSON.",
        _reports.dump,
        _CONNECTION,
    ),
    Command(
        "ledger",
        (),
        "Show what each workspace owes.",
        _reports.ledger,
        (*_CONNECTION, "workspace"),
    ),
    Command(
        "entries",
        (),
        "Show the addresses that callers are told to use.",
        _reports.entries,
        ("entry_address", "failure_domain", "timeout_ms", "format"),
    ),
)


def commands_under(words: Sequence[str]) -> tuple[Command, ...]:
    """Returns the commands whose names begin with the words."""
    count = len(words)
    return tuple(
        command
        for command in COMMANDS
        if command.name.split()[:count] == list(words)
    )


def find_command(words: Sequence[str]) -> tuple[Command, tuple[str, ...]]:
    """Returns the command that the words name, and its arguments.

    Raises:
        UsageError: If there is no such command or arguments do not fit it.
    """
    for command in COMMANDS:
        name = command.name.split()
        if list(words[: len(name)]) == name:
            arguments = tuple(words[len(name) :])
            _check_arguments(command, arguments)
            return command, arguments
    raise _unknown_command(words)


def _check_arguments(command: Command, arguments: tuple[str, ...]) -> None:
    expected = len(command.parameters)
    advice = f"Write: {command.usage}"
    if len(arguments) < expected:
        missing = command.parameters[len(arguments)]
        raise UsageError(f"{command.name} needs {missing}", advice)
    if len(arguments) > expected:
        surplus = " ".join(arguments[expected:])
        raise UsageError(f"{command.name} does not take {surplus!r}", advice)
    for parameter, argument in zip(command.parameters, arguments, strict=True):
        if not argument:
            raise UsageError(f"{parameter} is empty", advice)


def _unknown_command(words: Sequence[str]) -> UsageError:
    if not words:
        return UsageError("no command was given", "See trefoilpitch --help.")
    group = commands_under(words[:1])
    if group:
        verbs = [command.name.split()[1] for command in group]
        choices = ", ".join(verbs)
        if len(words) == 1:
            message = f"{words[0]} needs one of: {choices}"
        else:
            message = f"{words[0]} has no {words[1]!r}; one of: {choices}"
        advice = f"See trefoilpitch {words[0]} --help."
        return UsageError(message, advice)
    firsts = sorted({command.name.split()[0] for command in COMMANDS})
    close = difflib.get_close_matches(words[0], firsts, n=1)
    hint = f"; did you mean {close[0]}?" if close else ""
    return UsageError(
        f"there is no command {words[0]!r}{hint}", "See trefoilpitch --help."
    )

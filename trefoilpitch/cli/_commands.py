"""The commands, and the lookup of a command by its words."""

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

_CONNECTION_FLAGS = ("admin_address", "admin_token", "timeout_ms", "format")
_CHANGE_FLAGS = (
    *_CONNECTION_FLAGS,
    "dry_run",
    "expected_revision",
    "change_id",
    "author",
    "wait",
    "wait_ms",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A command and its parameters and flags."""

    # The words of the command, for example ``bundle check``.
    name: str
    # Names of the positional arguments, all of which are required.
    parameters: tuple[str, ...]
    # Help text, one line.
    summary: str
    run: Callable[[Context], ExitStatus]
    # Names of the flags that it accepts; others are refused.
    flags: tuple[str, ...]

    @property
    def usage(self) -> str:
        """The usage line, without flags."""
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
        _CONNECTION_FLAGS,
    ),
    Command(
        "bundle sign-off",
        ("FILE",),
        "Show the differences, then sign off a bundle file.",
        _bundle.sign_off,
        _CHANGE_FLAGS,
    ),
    Command(
        "bundle show",
        (),
        "Show the bundle in force.",
        _bundle.show,
        _CONNECTION_FLAGS,
    ),
    Command(
        "bundle history",
        (),
        "List the accepted changes, newest first.",
        _bundle.history,
        _CONNECTION_FLAGS,
    ),
    Command(
        "domain out",
        ("FAILURE_DOMAIN",),
        "Take a failure domain out of service.",
        _fleet.domain_out,
        _CHANGE_FLAGS,
    ),
    Command(
        "domain in",
        ("FAILURE_DOMAIN",),
        "Return a failure domain to service.",
        _fleet.domain_in,
        _CHANGE_FLAGS,
    ),
    Command(
        "vm out",
        ("VM",),
        "Take an entry VM or an upstream out of service.",
        _fleet.vm_out,
        (*_CHANGE_FLAGS, "allow_unknown"),
    ),
    Command(
        "vm in",
        ("VM",),
        "Return an entry VM or an upstream to service.",
        _fleet.vm_in,
        _CHANGE_FLAGS,
    ),
    Command(
        "version withdraw",
        ("MODEL@VERSION",),
        "Exclude a version from new work permanently.",
        _rollout.withdraw,
        _CHANGE_FLAGS,
    ),
    Command(
        "rollout start",
        ("MODEL@VERSION",),
        "Start a roll-out that the bundle plans.",
        _rollout.start,
        _CHANGE_FLAGS,
    ),
    Command(
        "rollout advance",
        ("MODEL",),
        "Advance a running roll-out by one step.",
        _rollout.advance,
        (*_CHANGE_FLAGS, "from_step"),
    ),
    Command(
        "rollout pause",
        ("MODEL",),
        "Pause a running roll-out at its current step.",
        _rollout.pause,
        _CHANGE_FLAGS,
    ),
    Command(
        "rollout resume",
        ("MODEL",),
        "Let a paused roll-out advance again.",
        _rollout.resume,
        _CHANGE_FLAGS,
    ),
    Command(
        "rollout back",
        ("MODEL",),
        "Return new sessions to the default version.",
        _rollout.back,
        _CHANGE_FLAGS,
    ),
    Command(
        "rollout status",
        (),
        "Show the roll-outs and their progress.",
        _rollout.status,
        _CONNECTION_FLAGS,
    ),
    Command(
        "status",
        (),
        "Show the revision in force and the VMs that lack it.",
        _reports.status,
        _CONNECTION_FLAGS,
    ),
    Command(
        "dump",
        (),
        "Print the state of the responding daemon as JSON.",
        _reports.dump,
        _CONNECTION_FLAGS,
    ),
    Command(
        "ledger",
        (),
        "Show the cost of each workspace, or the bills of one.",
        _reports.ledger,
        (*_CONNECTION_FLAGS, "workspace"),
    ),
    Command(
        "entries",
        (),
        "Show the entry addresses that callers are given.",
        _reports.entries,
        ("entry_address", "failure_domain", "timeout_ms", "format"),
    ),
)


def commands_under(words: Sequence[str]) -> tuple[Command, ...]:
    """Returns the commands whose names start with the words."""
    count = len(words)
    return tuple(
        command
        for command in COMMANDS
        if command.name.split()[:count] == list(words)
    )


def find_command(words: Sequence[str]) -> tuple[Command, tuple[str, ...]]:
    """Returns the command that the words name, and its arguments.

    Raises:
        UsageError: If there is no such command, or the arguments do not
            match its parameters.
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
        extra = " ".join(arguments[expected:])
        raise UsageError(f"{command.name} does not take {extra!r}", advice)
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
    first_words = sorted({command.name.split()[0] for command in COMMANDS})
    close = difflib.get_close_matches(words[0], first_words, n=1)
    hint = f"; did you mean {close[0]}?" if close else ""
    return UsageError(
        f"there is no command {words[0]!r}{hint}", "See trefoilpitch --help."
    )

"""Help texts."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from trefoilpitch.cli._commands import COMMANDS, Command, commands_under
from trefoilpitch.cli._flags import FLAGS, FlagSpec, environment_variable

_INDENT = "  "


def help_text(words: Sequence[str]) -> str:
    """Returns the help of a command, of a group, or of the program."""
    for command in COMMANDS:
        name = command.name.split()
        if list(words[: len(name)]) == name:
            return _command_help(command)
    return _list_commands(commands_under(words[:1]) or COMMANDS)


def _list_commands(commands: Iterable[Command]) -> str:
    lines = ["Usage: trefoilpitch COMMAND [ARGUMENT] [--flag=value ...]", ""]
    for command in commands:
        name = " ".join((command.name, *command.parameters))
        lines.append(f"{_INDENT}{name:<32}{command.summary}")
    lines += ["", "trefoilpitch COMMAND --help lists the command's flags."]
    return "\n".join(lines)


def _command_help(command: Command) -> str:
    lines = [f"Usage: {command.usage}", "", command.summary, ""]
    for flag in FLAGS:
        if flag.name in command.flags:
            lines += _flag_help(flag)
    return "\n".join(lines)


def _flag_help(flag: FlagSpec) -> list[str]:
    default = f" (default: {flag.default})" if flag.default else ""
    value = "" if flag.is_switch else "=VALUE"
    return [
        f"{_INDENT}--{flag.name}{value}",
        f"{_INDENT * 3}{flag.description}{default}",
        f"{_INDENT * 3}Environment: {environment_variable(flag.name)}",
    ]

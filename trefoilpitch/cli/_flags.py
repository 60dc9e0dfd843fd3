"""The command-line flags and their parsing."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence

from absl import flags

from trefoilpitch.cli._exceptions import UsageError

ENVIRONMENT_PREFIX = "TREFOILPITCH_"


@dataclasses.dataclass(frozen=True, slots=True)
class FlagSpec:
    """One flag."""

    # The name with underscores, without the leading hyphens.
    name: str
    # The value if neither the flag nor the environment variable is set.
    default: str
    # Help text, one line.
    description: str
    # Whether it is a Boolean flag, which may be given without a value.
    is_switch: bool = False


FLAGS = (
    FlagSpec(
        "admin_address",
        "127.0.0.1:8081",
        "Administration addresses, host:port, separated by commas.",
    ),
    FlagSpec(
        "admin_token",
        "",
        "The administration token; prefer the environment variable.",
    ),
    FlagSpec(
        "entry_address",
        "127.0.0.1:8080",
        "Caller addresses, host:port, separated by commas.",
    ),
    FlagSpec(
        "failure_domain", "", "Show entries for callers in this failure domain."
    ),
    FlagSpec(
        "timeout_ms", "10000", "Timeout of a request to one address, in ms."
    ),
    FlagSpec("format", "table", "Either table or json."),
    FlagSpec(
        "dry_run", "false", "Validate the change without committing it.", True
    ),
    FlagSpec(
        "expected_revision",
        "",
        "Refuse the change unless this revision is the newest.",
    ),
    FlagSpec(
        "change_id", "", "Identifies the change; reuse it to retry one safely."
    ),
    FlagSpec(
        "author",
        "",
        "Author of the change (default: $USER or the account's name).",
    ),
    FlagSpec(
        "wait",
        "false",
        "Wait until the change is in force on every live VM.",
        True,
    ),
    FlagSpec("wait_ms", "30000", "Maximum duration of --wait, in ms."),
    FlagSpec(
        "allow_unknown",
        "false",
        "Accept a VM name that the daemon does not know.",
        True,
    ),
    FlagSpec("workspace", "", "List the bills of this workspace."),
    FlagSpec(
        "from_step",
        "",
        "The current step of the roll-out (default: read from the daemon).",
    ),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommandLine:
    """A parsed command line."""

    # The arguments that are not flags, without the program's name.
    words: tuple[str, ...]
    # Whether ``--help`` or ``-h`` was given.
    wants_help: bool
    # Values of the flags that were given, by flag name.
    given_flags: Mapping[str, str]


def parse_command_line(argv: Sequence[str]) -> CommandLine:
    """Separates flags from words; flags may occur anywhere.

    Args:
        argv: The command line, starting with the program's name.

    Raises:
        UsageError: If a flag is unknown or lacks its value.
    """
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    for flag in FLAGS:
        define = flags.DEFINE_bool if flag.is_switch else flags.DEFINE_string
        define(flag.name, None, flag.description, flag_values=values)
    flags.DEFINE_bool("help", False, "Print help.", flag_values=values)
    try:
        words = values(_normalize_flags(argv))
    except flags.Error as error:
        raise UsageError(str(error), "See trefoilpitch --help.") from error
    given_flags = {
        flag.name: str(values[flag.name].value)
        for flag in FLAGS
        if values[flag.name].value is not None
    }
    return CommandLine(
        words=tuple(words[1:]),
        wants_help=bool(values["help"].value),
        given_flags=given_flags,
    )


def environment_variable(flag: str) -> str:
    """Returns the name of the environment variable that sets a flag."""
    return ENVIRONMENT_PREFIX + flag.upper()


def _normalize_flags(argv: Sequence[str]) -> list[str]:
    """Replaces hyphens in flag names by underscores, ``-h`` by ``--help``."""
    normalized = list(argv)
    for index, argument in enumerate(argv):
        if argument == "--":
            break
        if argument.startswith("--"):
            name, equals, value = argument[2:].partition("=")
            normalized[index] = f"--{name.replace('-', '_')}{equals}{value}"
    return ["--help" if each == "-h" else each for each in normalized]

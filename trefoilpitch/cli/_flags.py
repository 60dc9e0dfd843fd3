"""The flags of the command line and how they are told from its words."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence

from absl import flags

from trefoilpitch.cli._exceptions import UsageError

ENVIRONMENT_PREFIX = "TREFOILPITCH_"


@dataclasses.dataclass(frozen=True, slots=True)
class FlagSpec:
    """One flag."""

    # The flag's name.
    name: str
    # Its value where neither flag nor environment gives one.
    default: str
    # What it does, in one line.
    description: str
    # Whether it may be given without a value.
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
        "The administration token; better given in the environment.",
    ),
    FlagSpec(
        "entry_address",
        "127.0.0.1:8080",
        "Caller addresses, host:port, separated by commas.",
    ),
    FlagSpec("failure_domain", "", "Ask for entries near this failure domain."),
    FlagSpec(
        "timeout_ms", "10000", "Time for a request to one address, in ms."
    ),
    FlagSpec("format", "table", "Either table or json."),
    FlagSpec(
        "dry_run", "false", "Say what would change; change nothing.", True
    ),
    FlagSpec(
        "expected_revision", "", "Refuse unless this revision is the newest."
    ),
    FlagSpec(
        "change_id", "", "Identifies the change; give it again to repeat one."
    ),
    FlagSpec(
        "author",
        "",
        "Who asks for the change (default: $USER or the account's name).",
    ),
    FlagSpec(
        "wait", "false", "Wait until the change is in force everywhere.", True
    ),
    FlagSpec("wait_ms", "30000", "The longest wait, in ms."),
    FlagSpec(
        "allow_unknown", "false", "Take out a VM that is not known.", True
    ),
    FlagSpec("workspace", "", "List the bills of this workspace."),
    FlagSpec(
        "from_step", "", "The step that the roll-out stands at (advance)."
    ),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommandLine:
    """A command line whose flags have been told from its words."""

    # The words that are not flags, without the program's name.
    words: tuple[str, ...]
    # Whether help was asked for.
    wants_help: bool
    # The flags that were given, by name.
    given: Mapping[str, str]


def parse_command_line(argv: Sequence[str]) -> CommandLine:
    """Tells flags from words; flags may stand anywhere.

    Args:
        argv: The command line with the program's name first.

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
        words = values(_with_underscores(argv))
    except flags.Error as error:
        raise UsageError(str(error), "See trefoilpitch --help.") from error
    given = {
        flag.name: str(values[flag.name].value)
        for flag in FLAGS
        if values[flag.name].value is not None
    }
    return CommandLine(
        words=tuple(words[1:]),
        wants_help=bool(values["help"].value),
        given=given,
    )


def environment_variable(flag: str) -> str:
    """Returns the name of the environment variable of a flag."""
    return ENVIRONMENT_PREFIX + flag.upper()


def _with_underscores(argv: Sequence[str]) -> list[str]:
    """Lets flags be written with hyphens as well."""
    normal = list(argv)
    for index, argument in enumerate(argv):
        if argument == "--":
            break
        if argument.startswith("--"):
            name, equals, value = argument[2:].partition("=")
            normal[index] = f"--{name.replace('-', '_')}{equals}{value}"
    return ["--help" if each == "-h" else each for each in normal]
